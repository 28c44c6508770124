/** Decides until when a request may start at a gate. */

/** A request that is offered, and the gate as it is. */
export interface GateOffer {
  readonly nowMs: number;
  /** Time until the caller gives up. */
  readonly leftMs: number;
  /** Time in which a response is of full use. */
  readonly usefulMs: number;
  readonly running: number;
  readonly waiting: number;
  readonly limit: number;
}

/**
 * Share of the limit below which a gate has room for requests that will be
 * late; the rest is kept for those that arrive next and can be in time.
 */
const FREE_SHARE = 0.7;

/**
 * A late response is worth more to its caller than none, but under load it
 * takes the slot of one that could be in time. So only a gate with room runs
 * requests past the time in which they are of full use.
 */
export function computeGateDeadline(offer: GateOffer): number {
  const {nowMs, leftMs, usefulMs, running, waiting, limit} = offer;
  const hasRoom = waiting === 0 && running < FREE_SHARE * limit;
  return nowMs + (hasRoom ? leftMs : Math.min(leftMs, usefulMs));
}
