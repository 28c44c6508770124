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

/** Length of the next wait of a node, ms. */
export function chooseWatchMs(random: Random, nodes: number): number {
  const meanMs = Math.min(
    LONGEST_MEAN_MS,
    Math.max(SHORTEST_MEAN_MS, nodes * CHECK_INTERVAL_MS),
  );
  return Math.round(meanMs * (1 - SPREAD + 2 * SPREAD * random()));
}
