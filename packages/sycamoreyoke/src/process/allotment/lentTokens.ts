/** Counts the tokens that were lent and have not expired. */

/** Parts of the lifetime to which expiry is rounded up, to bound the memory. */
const SLICES = 8;

interface Slice {
  expiresMs: number;
  count: number;
}

/** Number of lent tokens, rounded up in time. */
export class LentTokens {
  /** Sorted by expiry. */
  private slices: Slice[] = [];
  private total = 0;

  add(nowMs: number, count: number, lifetimeMs: number): void {
    if (count === 0) return;
    this.total += count;
    const expiresMs = nowMs + lifetimeMs;
    const last = this.slices.at(-1);
    const firstMs = last ? last.expiresMs : -Infinity;
    if (last && expiresMs <= firstMs) last.count += count;
    else {
      const roundedMs = expiresMs + lifetimeMs / SLICES;
      this.slices.push({expiresMs: roundedMs, count});
    }
  }

  /**
   * Removes returned tokens, the oldest first; returns how many were counted.
   * A token may be younger than the one that is removed for it, so that the
   * number stays an upper bound.
   */
  remove(nowMs: number, count: number): number {
    const removed = Math.min(count, this.compute(nowMs));
    let left = removed;
    for (const slice of this.slices) {
      const part = Math.min(left, slice.count);
      slice.count -= part;
      left -= part;
    }
    this.total -= removed;
    return removed;
  }

  compute(nowMs: number): number {
    while (this.slices[0] && this.slices[0].expiresMs <= nowMs) {
      this.total -= this.slices.shift()?.count ?? 0;
    }
    return this.total;
  }
}
