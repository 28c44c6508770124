/** How long one call waits for changes of the store. */
import type {Random} from '../random.js';

/**
 * The end of a wait is what shows a silent connection. Some node of the
 * deployment ends one this often, whatever the number of nodes, and tells the
 * others what it learns; ms.
 */
const CHECK_INTERVAL_MS = 150;
/**
 * Bounds of the mean wait. A node of a small deployment notices silence by
 * itself, within the time after which its machine counts as healthy again.
 */
const SHORTEST_MEAN_MS = 1_600;
const LONGEST_MEAN_MS = 16_000;
/** Spread around the mean, so that waits do not end together. */
const SPREAD = 0.25;

/** Mean wait of each node of a deployment, ms. */
export function computeMeanWatchMs(nodes: number): number {
  const meanMs = Math.max(SHORTEST_MEAN_MS, nodes * CHECK_INTERVAL_MS);
  return Math.min(LONGEST_MEAN_MS, meanMs);
}

/** Length of the next wait of a node, ms. */
export function chooseWatchMs(random: Random, meanMs: number): number {
  return Math.round(meanMs * (1 - SPREAD + 2 * SPREAD * random()));
}

/** Nodes that ask the store when all of them see links fall silent. */
const DOUBTING_NODES = 32;

/**
 * Whether a node whose link fell silent asks the store too. When a data centre
 * is cut off, all nodes of a large deployment see silent links at once.
 */
export function isDoubtful(random: Random, nodes: number): boolean {
  return random() * nodes < DOUBTING_NODES;
}
