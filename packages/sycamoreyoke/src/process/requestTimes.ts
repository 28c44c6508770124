/** Estimates how long a request of a route may take. */

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.125;
/** Weight of a new sample in the moving average of the deviation. */
const DEVIATION_WEIGHT = 0.25;
/** Mean deviations above the mean that few requests exceed. */
const RESERVED_DEVIATIONS = 4;

interface Estimate {
  readonly meanMs: number;
  readonly deviationMs: number;
}

/**
 * Estimates the time of requests by route, as TCP estimates its retransmission
 * timeout (RFC 6298): mean plus four mean deviations.
 */
export class RequestTimes {
  private readonly estimates = new Map<string, Estimate>();

  /** Records how long a request took until its response. */
  observe(route: string, elapsedMs: number): void {
    const previous = this.estimates.get(route);
    if (!previous) {
      const deviationMs = elapsedMs / 2;
      this.estimates.set(route, {meanMs: elapsedMs, deviationMs});
      return;
    }
    const {meanMs, deviationMs} = previous;
    const errorMs = elapsedMs - meanMs;
    const deviationErrorMs = Math.abs(errorMs) - deviationMs;
    this.estimates.set(route, {
      meanMs: meanMs + SAMPLE_WEIGHT * errorMs,
      deviationMs: deviationMs + DEVIATION_WEIGHT * deviationErrorMs,
    });
  }

  /** Returns a time that few requests exceed, ms; undefined without samples. */
  computeUpperMs(route: string): number | undefined {
    const estimate = this.estimates.get(route);
    if (!estimate) return undefined;
    return estimate.meanMs + RESERVED_DEVIATIONS * estimate.deviationMs;
  }
}
