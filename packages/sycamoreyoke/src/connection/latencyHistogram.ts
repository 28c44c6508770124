/** Tracks recent latencies of one member, to derive the response timeout. */
import type {Clock} from '../clock.js';
import {LATENCY_GENERATION_MS, MIN_LATENCY_SAMPLES} from './constants.js';

/** Buckets cover latencies from 0.25 ms to 16 s, four per doubling. */
const BUCKETS_PER_DOUBLING = 4;
const BUCKET_COUNT = 64;
const MIN_BUCKET_MS = 0.25;
/** Number of new samples after which the quantile is recomputed. */
const SAMPLES_PER_COMPUTATION = 32;

/**
 * Histogram of latencies with logarithmic buckets, in two generations of which
 * the older one is dropped as a whole. A quantile is rounded up to the bound of
 * its bucket, by at most 19%.
 */
export class LatencyHistogram {
  private current = new Uint32Array(BUCKET_COUNT);
  private previous = new Uint32Array(BUCKET_COUNT);
  private generation: number;
  private samples = 0;
  private samplesSinceComputation = SAMPLES_PER_COMPUTATION;
  private p99Ms: number | undefined;

  constructor(private readonly clock: Clock) {
    this.generation = this.readGeneration();
  }

  /** Adds a latency, or for an unanswered request the time it has waited. */
  record(latencyMs: number): void {
    this.advance();
    const index = findBucket(latencyMs);
    this.current[index] = (this.current[index] ?? 0) + 1;
    this.samples += 1;
    this.samplesSinceComputation += 1;
  }

  /** The 99th percentile, ms; undefined with fewer than 20 samples. */
  readP99Ms(): number | undefined {
    this.advance();
    if (this.samples < MIN_LATENCY_SAMPLES) return undefined;
    if (this.samplesSinceComputation >= SAMPLES_PER_COMPUTATION) {
      this.p99Ms = this.computeQuantile(0.99);
      this.samplesSinceComputation = 0;
    }
    return this.p99Ms;
  }

  private computeQuantile(quantile: number): number {
    let remaining = Math.ceil(this.samples * quantile);
    for (let index = 0; index < BUCKET_COUNT; index += 1) {
      remaining -= (this.current[index] ?? 0) + (this.previous[index] ?? 0);
      if (remaining <= 0) return computeUpperBound(index);
    }
    return computeUpperBound(BUCKET_COUNT - 1);
  }

  private advance(): void {
    const generation = this.readGeneration();
    if (generation === this.generation) return;
    const isNext = generation === this.generation + 1;
    const oldest = this.previous;
    this.previous = this.current;
    this.current = oldest.fill(0);
    if (!isNext) this.previous.fill(0);
    this.samples = this.previous.reduce((sum, count) => sum + count, 0);
    this.samplesSinceComputation = SAMPLES_PER_COMPUTATION;
    this.generation = generation;
  }

  private readGeneration(): number {
    return Math.floor(this.clock.readMs() / LATENCY_GENERATION_MS);
  }
}

function findBucket(latencyMs: number): number {
  const doublings = Math.log2(
    Math.max(latencyMs, MIN_BUCKET_MS) / MIN_BUCKET_MS,
  );
  const index = Math.ceil(doublings * BUCKETS_PER_DOUBLING);
  return Math.min(index, BUCKET_COUNT - 1);
}

function computeUpperBound(index: number): number {
  return MIN_BUCKET_MS * 2 ** (index / BUCKETS_PER_DOUBLING);
}
