/** Chooses the node that a request is sent to. */

/** Load of an upstream, as reported by its node. */
export interface UpstreamLoad {
  readonly isAvailable: boolean;
  readonly isDraining: boolean;
  /** Maximum number of requests that the gate runs concurrently. */
  readonly limit: number;
  readonly running: number;
  readonly waiting: number;
  /** Mean time that a request holds a slot, ms; 0 if not yet known. */
  readonly meanServiceMs: number;
}

/** A node that a request may be sent to. */
export interface PlacementCandidate {
  readonly node: string;
  readonly isSameDataCentre: boolean;
  readonly load: UpstreamLoad;
  /** Requests sent to the node since its latest load report. */
  readonly sentSinceReport: number;
  /** Smoothed time of requests of this kind at the node, ms, if known. */
  readonly observedMs: number | undefined;
  /** Sender's time, ms, until which the node is used only as a last resort. */
  readonly avoidedUntilMs: number;
}

/**
 * Extra expected time, ms, that justifies sending a request to another data
 * centre. The round trip takes only a millisecond, but traffic between data
 * centres is billed and shares a link.
 */
const REMOTE_COST_MS = 40;
/** Body bytes that add 1 ms to the cost of another data centre. */
const REMOTE_BYTES_PER_MS = 500;
/** Assumed service time of a node without observations, ms. */
const DEFAULT_SERVICE_MS = 50;
/** Utilisation above which a gate slows down and further slots cost extra. */
const CROWDED_SHARE = 0.7;

/** The request to place. */
export interface Placement {
  readonly bodyBytes: number;
  readonly nowMs: number;
}

/** Returns the available candidate with the lowest cost, if there is one. */
export function choosePlacement(
  candidates: readonly PlacementCandidate[],
  placement: Placement,
): PlacementCandidate | undefined {
  const available = candidates.filter(({load}) => load.isAvailable);
  const pool = narrowCandidates(available, placement.nowMs);
  let best: PlacementCandidate | undefined;
  let bestMs = Infinity;
  for (const candidate of pool) {
    const costMs = computeCostMs(candidate, placement);
    if (costMs >= bestMs) continue;
    best = candidate;
    bestMs = costMs;
  }
  return best;
}

/** Leaves out draining and avoided nodes unless there are no others. */
function narrowCandidates(
  candidates: readonly PlacementCandidate[],
  nowMs: number,
): readonly PlacementCandidate[] {
  const notDraining = candidates.filter(({load}) => !load.isDraining);
  const pool = notDraining.length > 0 ? notDraining : candidates;
  const notAvoided = pool.filter(({avoidedUntilMs}) => avoidedUntilMs <= nowMs);
  return notAvoided.length > 0 ? notAvoided : pool;
}

/**
 * Returns the expected time of the request at the node plus the cost of sending
 * it to another data centre, ms.
 */
export function computeCostMs(
  {load, sentSinceReport, isSameDataCentre, observedMs}: PlacementCandidate,
  {bodyBytes}: Placement,
): number {
  const limit = Math.max(1, load.limit);
  const pending = load.running + load.waiting + sentSinceReport;
  const serviceMs = observedMs ?? (load.meanServiceMs || DEFAULT_SERVICE_MS);
  const waitMs = (Math.max(0, pending - limit) / limit) * serviceMs;
  const crowdedMs =
    (Math.max(0, pending / limit - CROWDED_SHARE) * serviceMs) / 2;
  const remoteCostMs = isSameDataCentre
    ? 0
    : REMOTE_COST_MS + bodyBytes / REMOTE_BYTES_PER_MS;
  return serviceMs + waitMs + crowdedMs + remoteCostMs;
}
