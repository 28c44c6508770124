import type {WaitingOrder} from '../waitQueue.js';
import {WaitQueue} from '../waitQueue.js';

/** Share of the served share of all that each account gets at least. */
const GUARANTEED_SHARE = 0.25;
/** Bounds the guaranteed starts after a phase in which nothing could start. */
const MAX_CREDIT = 4;
/** Weight of a new sample in the moving averages of a flow. */
const SAMPLE_WEIGHT = 0.2;
/** Position of an account with a guaranteed start: before all rounds. */
const FIRST_ROUND = -1;

/**
 * The requests of one account at one importance, and what the account has used
 * of the capacity. Virtual times are in starts of mean cost for each account.
 */
export class AccountFlow {
  readonly requests: WaitQueue;
  /** Virtual time from which the account's next request may start. */
  startTag = 0;
  /** Since when no request of the account waits; undefined while one does. */
  idleSinceMs: number | undefined;
  /** Guaranteed starts that the account has not had yet. */
  private credit = 0;
  /** Mean cost of a request of the account. */
  private meanCost = 1;
  /** Mean number of starts of all accounts for each one of a waiting account. */
  private startsPerOwn = 1;
  /** Number of the account's latest start, if requests have waited since. */
  private lastStart: number | undefined;

  constructor(
    readonly account: string | undefined,
    order: WaitingOrder,
  ) {
    this.requests = new WaitQueue(order);
  }

  /** Records an offered request, given the recent served share of all. */
  recordOffer(servedShare: number): void {
    const credit = this.credit + GUARANTEED_SHARE * servedShare;
    this.credit = Math.min(MAX_CREDIT, credit);
  }

  /** Whether the next start of the account is a guaranteed one. */
  hasGuarantee(): boolean {
    return this.credit >= 1;
  }

  /** Charges a start, unless it is a guaranteed one. */
  recordStart(cost: number, startCount: number): void {
    if (!this.hasGuarantee()) this.startTag += cost;
    this.credit = Math.max(0, this.credit - 1);
    this.meanCost += SAMPLE_WEIGHT * (cost - this.meanCost);
    const starts = startCount - (this.lastStart ?? startCount - 1);
    this.startsPerOwn += SAMPLE_WEIGHT * (starts - this.startsPerOwn);
    this.lastStart = startCount;
  }

  /** Records that no request of the account waits any more. */
  recordIdle(nowMs: number): void {
    this.idleSinceMs = nowMs;
    this.startsPerOwn = 1;
    this.lastStart = undefined;
  }

  /** Returns the round in which the account's next request starts. */
  readFirstRound(): number {
    return this.hasGuarantee() ? FIRST_ROUND : Math.floor(this.startTag);
  }

  /** Returns the round in which a request behind all waiting ones starts. */
  computeLastRound(): number {
    return Math.floor(this.startTag + this.requests.count() * this.meanCost);
  }

  /**
   * Estimates how many requests start before a further one of this account,
   * from the starts of all accounts while its waiting requests started.
   */
  computeStartsAhead(): number {
    return this.requests.count() * this.startsPerOwn;
  }
}
