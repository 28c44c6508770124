/** Decides which node removes the table rows of lost nodes. */

/**
 * Returns the unreachable nodes whose closest reachable predecessor in the
 * circular order of names is this node, so that exactly one node removes each
 * row. If a row is removed because of a partition, its owner writes it again.
 */
export function chooseRemovals(
  self: string,
  names: readonly string[],
  unreachable: ReadonlySet<string>,
): readonly string[] {
  const order = [...new Set([...names, self])].sort();
  const start = order.indexOf(self);
  const removals: string[] = [];
  for (let step = 1; step < order.length; step += 1) {
    const name = order[(start + step) % order.length] ?? self;
    if (!unreachable.has(name)) break;
    removals.push(name);
  }
  return removals;
}
