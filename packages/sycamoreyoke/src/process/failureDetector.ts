/** Detects that requests fail far more often than usual. */

/** Weight of a new sample in the usual share of failures. */
const USUAL_WEIGHT = 0.02;
/** Bounds of the failure share that is still taken as usual. */
const MIN_EXPECTED = 0.05;
const MAX_EXPECTED = 0.45;
/** The expected failure share, as a multiple of the usual one. */
const EXPECTED_FACTOR = 2;
/** Failure share that the detector looks for. */
const FAULT_SHARE = 0.5;
/**
 * Likelihood ratio of a fault to the expected failures at which a fault is
 * detected; two failures in a row of a request that usually succeeds.
 */
const DETECTION_LEVEL = Math.log(50);

/**
 * Cumulative sum test (CUSUM) of the results of one kind of request. A kind
 * that often fails for reasons of its own has a higher usual share, so that it
 * takes more failures in a row.
 */
export class FailureDetector {
  private usualShare = 0;
  private level = 0;
  private sinceMs = -Infinity;

  /** Records a result; returns whether a fault is detected. */
  observe(succeeded: boolean, startedMs: number): boolean {
    if (startedMs < this.sinceMs) return false;
    const expected = Math.min(
      MAX_EXPECTED,
      Math.max(MIN_EXPECTED, EXPECTED_FACTOR * this.usualShare),
    );
    this.level += succeeded
      ? Math.log((1 - FAULT_SHARE) / (1 - expected))
      : Math.log(FAULT_SHARE / expected);
    this.level = Math.max(0, this.level);
    this.usualShare += USUAL_WEIGHT * ((succeeded ? 0 : 1) - this.usualShare);
    return this.level >= DETECTION_LEVEL;
  }

  /** Whether there are more failures than usual, but not yet a fault. */
  isSuspicious(): boolean {
    return this.level >= DETECTION_LEVEL / 2;
  }

  /** Ignores the results of requests that started before. */
  reset(nowMs: number): void {
    this.level = 0;
    this.sinceMs = nowMs;
  }
}
