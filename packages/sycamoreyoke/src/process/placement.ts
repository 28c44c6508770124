/** Chooses the node that a request is sent to. */
import type {Random} from '../random.js';

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
/** Assumed service time if no node has observations, ms. */
const DEFAULT_SERVICE_MS = 50;
/**
 * Nodes whose costs differ by less than this are chosen at random. Otherwise
 * all origins choose the same node until its next load report. It is well below
 * the cost of another data centre.
 */
const NEAR_COST_SHARE = 0.1;
const MAX_NEAR_COST_MS = 10;
/** Utilisation above which a gate slows down and further slots cost extra. */
const CROWDED_SHARE = 0.7;

/** The request to place. */
export interface Placement {
  readonly bodyBytes: number;
  readonly nowMs: number;
  /** Chooses between nodes with nearly the same cost. */
  readonly random: Random;
}

/**
 * Returns an available candidate with the lowest cost, or nearly the lowest, if
 * there is one.
 */
export function choosePlacement(
  candidates: readonly PlacementCandidate[],
  placement: Placement,
): PlacementCandidate | undefined {
  const available = candidates.filter(({load}) => load.isAvailable);
  const pool = narrowCandidates(available, placement.nowMs);
  const usualMs = computeUsualMs(pool);
  const costs = pool.map((candidate) =>
    computeCostMs(candidate, placement, usualMs),
  );
  const lowestMs = Math.min(...costs);
  const nearMs = Math.min(MAX_NEAR_COST_MS, lowestMs * NEAR_COST_SHARE);
  const near = pool.filter(
    (_candidate, index) => (costs[index] ?? Infinity) <= lowestMs + nearMs,
  );
  return near[Math.floor(placement.random() * near.length)];
}

/**
 * Mean observed time of the candidates, assumed for those without observations:
 * a low default would send the next request of each origin to an upstream that
 * has just started.
 */
function computeUsualMs(candidates: readonly PlacementCandidate[]): number {
  const observed = candidates.flatMap(({observedMs}) => observedMs ?? []);
  if (observed.length === 0) return DEFAULT_SERVICE_MS;
  return observed.reduce((sum, value) => sum + value, 0) / observed.length;
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
  {bodyBytes}: Pick<Placement, 'bodyBytes'>,
  usualMs = DEFAULT_SERVICE_MS,
): number {
  const limit = Math.max(1, load.limit);
  const pending = load.running + load.waiting + sentSinceReport;
  const serviceMs = observedMs ?? (load.meanServiceMs || usualMs);
  const waitMs = (Math.max(0, pending - limit) / limit) * serviceMs;
  const crowdedMs =
    (Math.max(0, pending / limit - CROWDED_SHARE) * serviceMs) / 2;
  const remoteCostMs = isSameDataCentre
    ? 0
    : REMOTE_COST_MS + bodyBytes / REMOTE_BYTES_PER_MS;
  return serviceMs + waitMs + crowdedMs + remoteCostMs;
}
