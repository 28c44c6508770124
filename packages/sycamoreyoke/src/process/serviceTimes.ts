import {Completion} from './types.js';

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.05;
/** An estimate without samples for this long starts to decay. */
const DECAY_DELAY_MS = 250;
/** Half-life of a decaying estimate. */
const DECAY_HALF_LIFE_MS = 250;
/** Bounds of a relative cost, so that no estimate shuts out an account. */
const MIN_COST = 0.125;
const MAX_COST = 8;

interface Estimate {
  readonly meanMs: number;
  readonly deviationMs: number;
  readonly sampledMs: number;
}

/**
 * Estimates the service time of each kind of request. An estimate decays while
 * no request of its kind finishes. Otherwise, after a slow phase the gate could
 * refuse the kind forever, without new samples to correct the estimate.
 */
export class ServiceTimes {
  private readonly estimates = new Map<string, Estimate>();
  private overallMs = 0;

  /** Records a request that held a slot until it finished. */
  observe(
    kind: string,
    latencyMs: number,
    completion: Completion,
    nowMs: number,
  ): void {
    const isMeasured =
      completion === Completion.SUCCEEDED ||
      completion === Completion.TIMED_OUT;
    this.overallMs =
      this.overallMs === 0
        ? latencyMs
        : computeAverage(this.overallMs, latencyMs);
    if (!isMeasured) return;
    const previous = this.estimates.get(kind);
    this.estimates.set(kind, computeEstimate(previous, latencyMs, nowMs));
  }

  /** Returns the mean time for which a request holds a slot, ms. */
  readOverallMs(): number {
    return this.overallMs;
  }

  /**
   * Returns the mean service time of a kind as a multiple of that of all, within
   * bounds; 1 without samples.
   */
  computeCost(kind: string): number {
    const meanMs = this.estimates.get(kind)?.meanMs;
    if (!meanMs || !this.overallMs) return 1;
    return Math.min(MAX_COST, Math.max(MIN_COST, meanMs / this.overallMs));
  }

  /**
   * Returns the time to reserve for a request, ms: the mean plus a number of
   * mean deviations; 0 without samples.
   */
  computeNeedMs(kind: string, deviations: number, nowMs: number): number {
    const estimate = this.estimates.get(kind);
    if (!estimate) return 0;
    const needMs = estimate.meanMs + deviations * estimate.deviationMs;
    const decayingMs = nowMs - estimate.sampledMs - DECAY_DELAY_MS;
    return decayingMs <= 0
      ? needMs
      : needMs * 0.5 ** (decayingMs / DECAY_HALF_LIFE_MS);
  }
}

function computeEstimate(
  previous: Estimate | undefined,
  latencyMs: number,
  nowMs: number,
): Estimate {
  if (!previous) {
    return {meanMs: latencyMs, deviationMs: 0, sampledMs: nowMs};
  }
  const difference = Math.abs(latencyMs - previous.meanMs);
  return {
    meanMs: computeAverage(previous.meanMs, latencyMs),
    deviationMs: computeAverage(previous.deviationMs, difference),
    sampledMs: nowMs,
  };
}

function computeAverage(average: number, sample: number): number {
  return average + SAMPLE_WEIGHT * (sample - average);
}
