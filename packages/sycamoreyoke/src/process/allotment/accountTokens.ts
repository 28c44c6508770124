/** What an origin holds for one account with recent requests. */
import type {Random} from '../../random.js';
import {ASK_TIMEOUT_MS, LOW_TOKENS_MS, NO_OWNER_RETRY_MS} from './constants.js';
import {Demand} from './demand.js';
import {computeFallbackRate, createFallbackBucket} from './fallbackBucket.js';
import {HeldTokens} from './heldTokens.js';
import type {TokenBucket} from './tokenBucket.js';
import type {ChargeHandler} from './tokenHolder.js';
import type {Allotment, AllotmentTolerance} from './types.js';

/** A request that waits for a token. */
export interface Waiter {
  readonly untilMs: number;
  readonly handle: ChargeHandler;
  /** Whether an owner that lends has answered an ask for it. */
  hasAnswer: boolean;
}

/** State of one account at an origin. */
export class AccountTokens {
  readonly held = new HeldTokens();
  readonly demand = new Demand();
  readonly waiters: Waiter[] = [];
  /** Owner set in the order of the account, once it was needed. */
  order: readonly string[] | undefined;
  /** The ask without an answer, if any. */
  asked: {readonly owner: string; readonly sentMs: number} | undefined;
  /** When the owner gains its next token. */
  nextTokenMs = 0;
  /** No ask is sent before, since the owner had no token. */
  notBeforeMs = 0;
  private readonly pausedUntilMs = new Map<string, number>();
  private fallback: TokenBucket | undefined;
  private fallbackRate = 0;

  constructor(public allotment: Allotment) {}

  /**
   * Time until the token for a position behind the waiting requests, as far as
   * it is known; 0 if an ask may bring one now.
   */
  computeDelayMs(nowMs: number, position: number): number {
    if (nowMs >= this.notBeforeMs) return 0;
    const gainMs = (position * 1000) / this.allotment.ratePerS;
    return Math.max(0, this.nextTokenMs - nowMs) + gainMs;
  }

  /** Time after which a refused request finds a token, at least one gain. */
  computeRetryMs(nowMs: number, position: number): number {
    const gainMs = 1000 / this.allotment.ratePerS;
    const nextMs = Math.max(0, this.nextTokenMs - nowMs) + position * gainMs;
    return Math.max(gainMs, nextMs);
  }

  /**
   * Stops to ask until the owner has a token. Others may return theirs earlier,
   * so the pause is short.
   */
  pauseAsks(nowMs: number, nextTokenMs: number): void {
    this.notBeforeMs = nowMs + Math.min(LOW_TOKENS_MS, nextTokenMs);
  }

  pauseOwner(owner: string, untilMs: number): void {
    this.pausedUntilMs.set(owner, untilMs);
  }

  isPaused(owner: string, nowMs: number): boolean {
    return (this.pausedUntilMs.get(owner) ?? -Infinity) > nowMs;
  }

  isAskLost(nowMs: number): boolean {
    return (
      this.asked !== undefined && nowMs - this.asked.sentMs >= ASK_TIMEOUT_MS
    );
  }

  /** Removes the requests whose wait is over. */
  takeEndedWaiters(nowMs: number): readonly Waiter[] {
    return this.takeWaiters(({untilMs}) => untilMs <= nowMs);
  }

  /** Removes the requests whose token is expected after their wait. */
  takeLateWaiters(nowMs: number): readonly Waiter[] {
    return this.takeWaiters(
      ({untilMs}, index) => nowMs + this.computeDelayMs(nowMs, index) > untilMs,
    );
  }

  private takeWaiters(
    isTaken: (waiter: Waiter, index: number) => boolean,
  ): readonly Waiter[] {
    if (this.waiters.length === 0) return [];
    const taken: Waiter[] = [];
    const kept: Waiter[] = [];
    for (const waiter of this.waiters) {
      if (isTaken(waiter, kept.length)) taken.push(waiter);
      else kept.push(waiter);
    }
    this.waiters.splice(0, this.waiters.length, ...kept);
    return taken;
  }

  /** Takes a request from this origin's part of the tolerance. */
  takeTolerance(
    nowMs: number,
    tolerance: AllotmentTolerance,
    nodes: number,
    random: Random,
  ): boolean {
    const ratePerS = computeFallbackRate(this.allotment, tolerance, nodes);
    if (ratePerS <= 0) return false;
    this.fallback ??= createFallbackBucket(nowMs, ratePerS, random);
    if (ratePerS !== this.fallbackRate) {
      this.fallbackRate = ratePerS;
      this.fallback.apply(nowMs, {ratePerS, capacity: 1});
    }
    this.fallback.advance(nowMs);
    return this.fallback.take(1) > 0;
  }

  /** Time after which a request is worth a try without an owner, ms. */
  readFallbackDelayMs(): number {
    const delayMs = this.fallback?.computeNextTokenMs() ?? Infinity;
    return Math.min(NO_OWNER_RETRY_MS, delayMs);
  }

  /** Whether a new state would behave in the same way. */
  isIdle(nowMs: number): boolean {
    this.fallback?.advance(nowMs);
    return (
      this.waiters.length === 0 &&
      this.asked === undefined &&
      this.held.count(nowMs) === 0 &&
      this.demand.isOver(nowMs) &&
      (this.fallback?.isFull() ?? true)
    );
  }
}
