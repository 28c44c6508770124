/** Computes the deadline by which a request must finish at a gate. */

/** Time limits of an offered request, and the current load of the gate. */
export interface GateOffer {
  readonly nowMs: number;
  /** Time until the caller times out. */
  readonly leftMs: number;
  /** Time within which a response still has its full value to the caller. */
  readonly usefulMs: number;
  readonly running: number;
  readonly waiting: number;
  readonly limit: number;
}

/**
 * Share of the concurrency limit up to which a gate also runs requests that
 * will be late; the rest is reserved for requests that can finish in time.
 */
const MAX_LATE_REQUEST_UTILIZATION = 0.7;

/**
 * Computes the deadline of a request, in ms on the clock of `nowMs`. A late
 * response is worth more to its caller than none, but under load it takes the
 * slot of a request that could finish in time. So the deadline extends past
 * `usefulMs` only while nothing waits and less than 70% of the limit is in use.
 */
export function computeGateDeadline(offer: GateOffer): number {
  const {nowMs, leftMs, usefulMs, running, waiting, limit} = offer;
  const hasSpareCapacity =
    waiting === 0 && running < MAX_LATE_REQUEST_UTILIZATION * limit;
  return nowMs + (hasSpareCapacity ? leftMs : Math.min(leftMs, usefulMs));
}
