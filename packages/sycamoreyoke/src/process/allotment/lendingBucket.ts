/**
 * The bucket of an account at its owner. It bounds the requests that the
 * account can run in any window to rate x window + burst.
 *
 * Tokens lent before a window can be used in it. With those that are lent and
 * not expired, the bucket never holds more than the burst. Its capacity alone
 * does not ensure that: each token that is returned before it expires makes room
 * for one that is lent for a whole lifetime.
 */
import {
  MIN_CAPACITY_MS,
  MIN_TOKEN_LIFETIME_MS,
  TOKEN_LIFETIME_MS,
} from './constants.js';
import {LentTokens} from './lentTokens.js';
import {TokenBucket} from './tokenBucket.js';
import type {Allotment} from './types.js';

/** Validity of a lent token: half of the time that gains the burst, clamped. */
export function computeLifetimeMs({ratePerS, burst}: Allotment): number {
  const halfMs = (1000 * burst) / ratePerS / 2;
  return Math.max(MIN_TOKEN_LIFETIME_MS, Math.min(TOKEN_LIFETIME_MS, halfMs));
}

/**
 * Tokens that the owner may hold: the burst, less what is gained within a
 * lifetime as far as the deployment does not tolerate it.
 */
export function computeCapacity(allotment: Allotment): number {
  const {ratePerS, burst, excess = 0} = allotment;
  const gained = (ratePerS * computeLifetimeMs(allotment)) / 1000;
  return Math.max(
    1,
    (ratePerS * MIN_CAPACITY_MS) / 1000,
    burst - Math.max(0, gained - excess),
  );
}

/** Lends the tokens of one account. */
export class LendingBucket {
  private readonly bucket: TokenBucket;
  private readonly lent = new LentTokens();

  constructor(
    private allotment: Allotment,
    /** Since when the owner lends; the bucket was empty then. */
    readonly sinceMs: number,
    nowMs: number,
  ) {
    const gained = ((nowMs - sinceMs) * allotment.ratePerS) / 1000;
    this.bucket = new TokenBucket(createSize(allotment), nowMs, gained);
  }

  /** Applies a changed allotment; tokens that are lent expire by themselves. */
  apply(nowMs: number, allotment: Allotment): void {
    const {ratePerS, burst, excess} = this.allotment;
    const isSame =
      ratePerS === allotment.ratePerS &&
      burst === allotment.burst &&
      excess === allotment.excess;
    if (isSame) return;
    this.advance(nowMs);
    this.allotment = allotment;
    this.bucket.apply(nowMs, createSize(allotment));
  }

  /** Lends whole tokens, at most as many as wanted. */
  take(nowMs: number, wanted: number): number {
    this.advance(nowMs);
    const granted = this.bucket.take(wanted);
    this.lent.add(nowMs, granted, this.readLifetimeMs());
    return granted;
  }

  /** Credits returned tokens, unless they have expired. */
  accept(nowMs: number, returned: number): void {
    this.advance(nowMs);
    this.bucket.add(this.lent.remove(nowMs, returned));
  }

  readLifetimeMs(): number {
    return computeLifetimeMs(this.allotment);
  }

  /** Time until there is a whole token, ms. */
  computeNextTokenMs(): number {
    return this.bucket.computeNextTokenMs();
  }

  /** Whether the bucket equals one that is created later. */
  isIdle(nowMs: number): boolean {
    this.advance(nowMs);
    return this.bucket.isFull() && this.lent.compute(nowMs) === 0;
  }

  private advance(nowMs: number): void {
    const {ratePerS, burst} = this.allotment;
    const lifetimeGain = (ratePerS * this.readLifetimeMs()) / 1000;
    const most = Math.max(
      burst,
      computeCapacity(this.allotment) + lifetimeGain,
    );
    this.bucket.advance(nowMs, most - this.lent.compute(nowMs));
  }
}

function createSize(allotment: Allotment) {
  return {
    ratePerS: allotment.ratePerS,
    capacity: computeCapacity(allotment),
  };
}
