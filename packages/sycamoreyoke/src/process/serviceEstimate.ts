/**
 * Estimates how long a request takes at an upstream.
 *
 * Load: an upstream slows down or recovers while an origin sends it nothing.
 * Its own samples are old then, but the node beside the upstream reports the
 * mean over the requests of all origins, which has moved since.
 */

/** What an origin has measured for one kind of request at one node. */
export interface ServiceObservation {
  /** Moving average of its samples, ms. */
  readonly meanMs: number;
  /** Mean that the node reported at the last sample, ms; 0 if unknown. */
  readonly reportedMs: number;
  /** Time of the last sample, ms. */
  readonly sampledMs: number;
}

/** Weight of a new sample in the moving average. */
const SAMPLE_WEIGHT = 0.15;
/** Until this age the origin's own samples say more than the node's mean. */
const FRESH_MS = 1_000;
/**
 * Bounds of the correction. The node's mean covers all kinds of request, so it
 * also moves with their mix.
 */
const MIN_CORRECTION = 0.2;
const MAX_CORRECTION = 5;

/** Adds a sample to what was observed before. */
export function updateObservation(
  known: ServiceObservation | undefined,
  sample: Pick<ServiceObservation, 'reportedMs' | 'sampledMs'> & {
    readonly elapsedMs: number;
  },
): ServiceObservation {
  const {elapsedMs, reportedMs, sampledMs} = sample;
  const meanMs = known?.meanMs ?? elapsedMs;
  return {
    meanMs: meanMs + SAMPLE_WEIGHT * (elapsedMs - meanMs),
    reportedMs,
    sampledMs,
  };
}

/** Estimates the time of the next request, ms; undefined without samples. */
export function computeServiceMs(
  observation: ServiceObservation | undefined,
  reportedMs: number,
  nowMs: number,
): number | undefined {
  if (!observation) return undefined;
  const {meanMs, sampledMs} = observation;
  const isFresh = nowMs - sampledMs < FRESH_MS;
  if (isFresh || reportedMs === 0 || observation.reportedMs === 0) {
    return meanMs;
  }
  const correction = reportedMs / observation.reportedMs;
  return (
    meanMs * Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, correction))
  );
}
