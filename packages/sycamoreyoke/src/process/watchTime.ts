/** Duration of long-polling calls that wait for changes of the store. */
import type {Random} from '../random.js';

/**
 * Mean interval, ms, at which a wait of some node in the deployment ends,
 * regardless of the number of nodes. A silent connection is noticed only when a
 * wait ends; that node then informs the others.
 */
const CHECK_INTERVAL_MS = 150;
/**
 * Bounds of the mean wait. The lower one applies to small deployments: there,
 * each node detects a silent connection itself, within the time after which its
 * VM counts as healthy again.
 */
const MIN_MEAN_WAIT_MS = 1_600;
const MAX_MEAN_WAIT_MS = 16_000;
/** Relative jitter around the mean, so that waits do not end together. */
const JITTER = 0.25;

/** Returns the mean wait of each node of a deployment, ms. */
export function computeMeanWatchMs(nodes: number): number {
  const meanMs = Math.max(MIN_MEAN_WAIT_MS, nodes * CHECK_INTERVAL_MS);
  return Math.min(MAX_MEAN_WAIT_MS, meanMs);
}

/** Returns the duration of the next wait of a node, ms. */
export function chooseWatchMs(random: Random, meanMs: number): number {
  return Math.round(meanMs * (1 - JITTER + 2 * JITTER * random()));
}

/** First pause between two reads of a list that keeps changing. */
const MIN_LIST_PAUSE_MS = 3_000;
/** Longest pause, and the share of it for each node of the deployment. */
const MAX_LIST_PAUSE_MS = 15_000;
const LIST_PAUSE_MS_PER_NODE = 75;

/**
 * Returns the pause before the next wait for changes of the node list, ms. Each
 * change wakes the waits of all nodes, so the reads of a list that keeps
 * changing would grow with the square of the deployment. The first pauses are
 * short, since the list is incomplete while all nodes start.
 */
export function computeListPauseMs(
  nodes: number,
  changesInARow: number,
): number {
  const longestMs = Math.max(MIN_LIST_PAUSE_MS, nodes * LIST_PAUSE_MS_PER_NODE);
  const growingMs = MIN_LIST_PAUSE_MS * 2 ** Math.max(0, changesInARow - 1);
  return Math.min(growingMs, longestMs, MAX_LIST_PAUSE_MS);
}

/** Mean number of nodes that query the store when all see silent links. */
const QUERYING_NODES = 32;

/**
 * Decides at random whether a node with a silent link queries the store. When a
 * data centre is partitioned, all nodes of a large deployment see silent links
 * at once, so only some of them query.
 */
export function isChosenToQuery(random: Random, nodes: number): boolean {
  return random() * nodes < QUERYING_NODES;
}
