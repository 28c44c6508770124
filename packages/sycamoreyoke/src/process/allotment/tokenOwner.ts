/**
 * The owner's side of the allotments: lends tokens of the accounts that this
 * node owns. Holds a bucket for each account that was asked for recently.
 */
import {LendingBucket} from './lendingBucket.js';
import type {Allotment, TokenAsk, TokenGrant} from './types.js';

/** Lends tokens of accounts. */
export class TokenOwner {
  private readonly buckets = new Map<string, LendingBucket>();

  /**
   * Answers an ask. `sinceMs` tells since when this node lends the account; a
   * bucket from before that time belongs to an earlier ownership.
   */
  answer(
    nowMs: number,
    {account, wanted, returned}: TokenAsk,
    allotment: Allotment,
    sinceMs: number,
  ): TokenGrant {
    let bucket = this.buckets.get(account);
    if (!bucket || bucket.sinceMs !== sinceMs) {
      bucket = new LendingBucket(allotment, sinceMs, nowMs);
      this.buckets.set(account, bucket);
    }
    bucket.apply(nowMs, allotment);
    if (returned > 0) bucket.accept(nowMs, returned);
    return {
      account,
      granted: bucket.take(nowMs, wanted),
      lifetimeMs: bucket.readLifetimeMs(),
      nextTokenMs: bucket.computeNextTokenMs(),
    };
  }

  /** Applies the allotments of a new version at once. */
  update(
    nowMs: number,
    readAllotment: (account: string) => Allotment | undefined,
  ): void {
    for (const [account, bucket] of this.buckets) {
      const allotment = readAllotment(account);
      if (allotment) bucket.apply(nowMs, allotment);
      else this.buckets.delete(account);
    }
  }

  /** Drops the buckets that equal new ones. */
  expire(nowMs: number): void {
    for (const [account, bucket] of this.buckets) {
      if (bucket.isIdle(nowMs)) this.buckets.delete(account);
    }
  }

  countBuckets(): number {
    return this.buckets.size;
  }
}
