/** Recent latencies of one member, for the response timeout. */
import type {Clock} from '../clock.js';
import {LATENCY_GENERATION_MS, MIN_LATENCY_SAMPLES} from './constants.js';

/** Four buckets for each doubling, from 0.25 ms to 16 s. */
const BUCKETS_PER_DOUBLING = 4;
const BUCKET_COUNT = 64;
const LOWEST_MS = 0.25;
/** Samples after which the quantile is computed again. */
const SAMPLES_PER_COMPUTATION = 32;

/**
 * Two generations of logarithmic buckets; the older one is dropped whole.
 * A quantile is rounded up to its bucket, by at most 19%.
 */
export class LatencyWindow {
  private current = new Uint32Array(BUCKET_COUNT);
  private previous = new Uint32Array(BUCKET_COUNT);
  private generation: number;
  private samples = 0;
  private samplesSince = SAMPLES_PER_COMPUTATION;
  private p99: number | undefined;

  constructor(private readonly clock: Clock) {
    this.generation = this.readGeneration();
  }

  /** Adds a latency; of a request that is given up, the time it waited. */
  record(latencyMs: number): void {
    this.advance();
    const index = findBucket(latencyMs);
    this.current[index] = (this.current[index] ?? 0) + 1;
    this.samples += 1;
    this.samplesSince += 1;
  }

  /** The 99th percentile; undefined with too few samples. */
  readP99(): number | undefined {
    this.advance();
    if (this.samples < MIN_LATENCY_SAMPLES) return undefined;
    if (this.samplesSince >= SAMPLES_PER_COMPUTATION) {
      this.p99 = this.computeQuantile(0.99);
      this.samplesSince = 0;
    }
    return this.p99;
  }

  private computeQuantile(quantile: number): number {
    let left = Math.ceil(this.samples * quantile);
    for (let index = 0; index < BUCKET_COUNT; index += 1) {
      left -= (this.current[index] ?? 0) + (this.previous[index] ?? 0);
      if (left <= 0) return computeUpperBound(index);
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
    this.samplesSince = SAMPLES_PER_COMPUTATION;
    this.generation = generation;
  }

  private readGeneration(): number {
    return Math.floor(this.clock.readMs() / LATENCY_GENERATION_MS);
  }
}

function findBucket(latencyMs: number): number {
  const doublings = Math.log2(Math.max(latencyMs, LOWEST_MS) / LOWEST_MS);
  const index = Math.ceil(doublings * BUCKETS_PER_DOUBLING);
  return Math.min(index, BUCKET_COUNT - 1);
}

function computeUpperBound(index: number): number {
  return LOWEST_MS * 2 ** (index / BUCKETS_PER_DOUBLING);
}
