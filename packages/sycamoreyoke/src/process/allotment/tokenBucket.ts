/** A token bucket that gains tokens when it is read. */

/** Absorbs the rounding errors of a level that is the sum of many gains. */
const ROUNDING = 1e-6;

/** Rate and size of a bucket. */
export interface BucketSize {
  readonly ratePerS: number;
  readonly capacity: number;
}

/** Holds the tokens that a rate has gained, up to its capacity. */
export class TokenBucket {
  private level: number;

  constructor(
    private size: BucketSize,
    private updatedMs: number,
    level = 0,
  ) {
    this.level = Math.min(size.capacity, level);
  }

  /** Changes rate and capacity; what exceeds the new capacity is lost. */
  apply(nowMs: number, size: BucketSize): void {
    this.advance(nowMs);
    this.size = size;
    this.level = Math.min(this.level, size.capacity);
  }

  /** Adds what was gained since the last time, up to a ceiling. */
  advance(nowMs: number, ceiling = this.size.capacity): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    this.updatedMs = Math.max(nowMs, this.updatedMs);
    this.add((elapsedMs * this.size.ratePerS) / 1000, ceiling);
  }

  /** Adds tokens, as many as fit below the capacity and a ceiling. */
  add(tokens: number, ceiling = this.size.capacity): void {
    const limit = Math.min(ceiling, this.size.capacity);
    this.level = Math.max(this.level, Math.min(limit, this.level + tokens));
  }

  /** Takes whole tokens, at most as many as wanted; returns their number. */
  take(wanted: number): number {
    const taken = Math.min(wanted, Math.floor(this.level + ROUNDING));
    this.level = Math.max(0, this.level - taken);
    return taken;
  }

  isFull(): boolean {
    return this.level >= this.size.capacity - ROUNDING;
  }

  /** Time until there is a whole token, ms. */
  computeNextTokenMs(): number {
    const missing = Math.max(0, 1 - this.level);
    return (missing * 1000) / this.size.ratePerS;
  }
}
