import {Completion} from './types.js';

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.05;
/** An estimate without new samples for this long starts to halve. */
const FRESH_MS = 250;
/** Period of halving of an estimate without samples. */
const HALVING_MS = 250;

interface Estimate {
  readonly meanMs: number;
  readonly deviationMs: number;
  readonly sampledMs: number;
}

/**
 * Observed service time of each kind of request. An estimate fades when no
 * request of its kind finishes; otherwise a slow phase that made the gate
 * refuse the whole kind would never be seen to end.
 */
export class ServiceTimes {
  private readonly estimates = new Map<string, Estimate>();
  private overallMs = 0;

  /** Takes note of a request that held a slot until it finished. */
  observe(
    kind: string,
    latencyMs: number,
    completion: Completion,
    nowMs: number,
  ): void {
    const isMeasured =
      completion === Completion.SUCCEEDED ||
      completion === Completion.TIMED_OUT;
    this.overallMs = computeAverage(this.overallMs, latencyMs);
    if (!isMeasured) return;
    const previous = this.estimates.get(kind);
    this.estimates.set(kind, computeEstimate(previous, latencyMs, nowMs));
  }

  /** Mean time that a request holds a slot, over all kinds. */
  readOverallMs(): number {
    return this.overallMs;
  }

  /** Time to reserve for a request: mean and some mean deviations. */
  computeNeedMs(kind: string, deviations: number, nowMs: number): number {
    const estimate = this.estimates.get(kind);
    if (!estimate) return 0;
    const needMs = estimate.meanMs + deviations * estimate.deviationMs;
    const staleMs = nowMs - estimate.sampledMs - FRESH_MS;
    return staleMs <= 0 ? needMs : needMs * 0.5 ** (staleMs / HALVING_MS);
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
  return average === 0 ? sample : average + SAMPLE_WEIGHT * (sample - average);
}
