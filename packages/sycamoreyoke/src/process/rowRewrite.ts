/**
 * Decides when a node writes a row again that a restored store has lost, such
 * that not all nodes write at once. Handles a load of up to 23,000 nodes that
 * see the same loss in the same moment, at a store that takes 1,200 writes per
 * second from all of them.
 */
import type {Random} from '../random.js';
import {computeRendezvousWeight} from '../rendezvous.js';

/**
 * Rows that all nodes together write again in a second. It is half of what the
 * store takes; nodes that start or stop need the rest.
 */
export const REWRITES_PER_S = 600;
/**
 * Time in which few rows are written again, ms. With the call to the store, a
 * node's own record is written within a second.
 */
export const MIN_SPREAD_MS = 700;
/**
 * Time after which other holders of a row write it, ms. By then its owner has
 * written it, if it runs, and the others have read that.
 */
export const OWNER_LEAD_MS = 4_000;
/**
 * Time after which more holders follow, ms; nodes read changes of their list
 * every 3 s.
 */
export const HOLDER_STEP_MS = 4_000;

/** Weights are below this. */
const WEIGHT_LIMIT = 2 ** 32;

/** A row that a node holds and the store has lost. */
export interface LostRow {
  readonly key: string;
  /** Name of the node that holds the row. */
  readonly holder: string;
  /** Whether the holder is the node that the row belongs to or its writer. */
  readonly isOwner: boolean;
  /** Number of listed nodes; each may hold the row. */
  readonly nodes: number;
  /** Rows that the store has lost, as far as the holder knows. */
  readonly lostRows: number;
}

/** Time over which the writes of lost rows are spread, ms. */
export function computeSpreadMs(lostRows: number): number {
  return Math.max(MIN_SPREAD_MS, (lostRows / REWRITES_PER_S) * 1_000);
}

/**
 * Returns the delay after which a holder writes a lost row, unless it has read
 * the row by then. The owner writes first. The other holders follow in groups
 * that double in size, in an order that differs for each row: one node, two,
 * four, and so on. So few nodes write the same row although none knows which
 * others hold it, and of 23,000 nodes the last ones follow after 15 groups.
 */
export function chooseRewriteDelayMs(row: LostRow, random: Random): number {
  const spreadMs = random() * computeSpreadMs(row.lostRows);
  if (row.isOwner) return spreadMs;
  const group = Math.floor(Math.log2(1 + computeExpectedRank(row)));
  const longestOwnerMs = computeSpreadMs(row.lostRows) - MIN_SPREAD_MS;
  return OWNER_LEAD_MS + longestOwnerMs + group * HOLDER_STEP_MS + spreadMs;
}

/**
 * Estimates how many nodes come before the holder in the order for the row,
 * from the share of the weights above its own. Counting them would cost time
 * for each row in proportion to the nodes.
 */
function computeExpectedRank({key, holder, nodes}: LostRow): number {
  const share = computeRendezvousWeight(key, holder) / WEIGHT_LIMIT;
  return Math.max(0, nodes - 1) * (1 - share);
}
