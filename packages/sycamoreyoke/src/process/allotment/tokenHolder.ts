/**
 * The origin's side of the allotments: holds tokens that owners have lent, and
 * charges each request of a limited account with one. Holds state only for
 * accounts with recent requests.
 */
import type {Random} from '../../random.js';
import {AccountTokens} from './accountTokens.js';
import {
  LOW_TOKENS_MS,
  MAX_ASKED_OWNERS,
  MAX_WAIT_MS,
  RETURN_MARGIN_MS,
  OWNER_PAUSE_MS,
} from './constants.js';
import type {TokenBatch} from './heldTokens.js';
import {computeLifetimeMs} from './lendingBucket.js';
import {sortOwners} from './ownerSet.js';
import type {
  Allotment,
  AllotmentTolerance,
  TokenAsk,
  TokenGrant,
} from './types.js';

/** How the charge of a request ended. */
export enum ChargeEnd {
  GRANTED = 'granted',
  /** The account has used its allotment. */
  OVER_LIMIT = 'over-limit',
  /** No owner answers, and the tolerance is used up. */
  NO_OWNER = 'no-owner',
}

/** The result of a charge. */
export interface ChargeResult {
  readonly end: ChargeEnd;
  /** Batch of the token, to return it; undefined for the tolerance. */
  readonly batch: TokenBatch | undefined;
  /** Time until a token is expected, ms; 0 if the request is granted. */
  readonly retryAfterMs: number;
}

/** Handles the result of a charge; called once. */
export type ChargeHandler = (result: ChargeResult) => void;

/** Dependencies of the holder. */
export interface TokenHolderParts {
  readonly random: Random;
  /** Whether an owner can be asked. */
  readonly isReachable: (owner: string) => boolean;
  readonly countNodes: () => number;
  readonly readTolerance: () => AllotmentTolerance | undefined;
}

/** Holds the tokens of an origin. */
export class TokenHolder {
  private readonly accounts = new Map<string, AccountTokens>();
  /** Accounts that may need an ask. */
  private readonly pending = new Set<string>();
  private owners: readonly string[] = [];

  constructor(private readonly parts: TokenHolderParts) {}

  /** Sets the nodes of the owner set. */
  updateOwners(owners: readonly string[]): void {
    this.owners = owners;
    for (const state of this.accounts.values()) state.order = undefined;
  }

  /**
   * Charges a request. The handler is called at once if there is a token, or if
   * none can be expected within the wait.
   */
  take(
    nowMs: number,
    account: string,
    allotment: Allotment,
    usefulUntilMs: number,
    handle: ChargeHandler,
  ): void {
    const state = this.open(account, allotment);
    state.allotment = allotment;
    state.demand.observe(nowMs);
    const batch = state.waiters.length === 0 && state.held.take(nowMs);
    if (batch) {
      if (isLow(state, nowMs)) this.pending.add(account);
      handle({end: ChargeEnd.GRANTED, batch, retryAfterMs: 0});
      return;
    }
    const untilMs = Math.min(nowMs + MAX_WAIT_MS, usefulUntilMs);
    const delayMs = state.computeDelayMs(nowMs, state.waiters.length);
    if (nowMs + delayMs > untilMs) {
      const retryMs = state.computeRetryMs(nowMs, state.waiters.length);
      refuse(handle, ChargeEnd.OVER_LIMIT, retryMs);
      return;
    }
    state.waiters.push({untilMs, handle, hasAnswer: false});
    this.pending.add(account);
  }

  /** Takes back the token of a request that has not run. */
  release(nowMs: number, account: string, batch: TokenBatch): void {
    const state = this.accounts.get(account);
    state?.held.release(batch, nowMs);
    if (state) serveWaiters(state, nowMs);
  }

  /** Collects the asks to send now, by owner. */
  collectAsks(
    nowMs: number,
    mayAsk: (owner: string) => boolean,
  ): ReadonlyMap<string, readonly TokenAsk[]> {
    const asks = new Map<string, TokenAsk[]>();
    for (const account of [...this.pending]) {
      const state = this.accounts.get(account);
      if (!state || state.asked) {
        this.pending.delete(account);
        continue;
      }
      this.endWaits(state, nowMs);
      if (nowMs < state.notBeforeMs) continue;
      const reachable = this.listReachable(account, state);
      if (reachable.length === 0) {
        this.pending.delete(account);
        this.settleWithoutOwner(state, nowMs);
        continue;
      }
      const owner = reachable.find((each) => !state.isPaused(each, nowMs));
      if (owner === undefined || !mayAsk(owner)) continue;
      this.pending.delete(account);
      const ask = createAsk(account, state, owner, nowMs);
      if (ask.wanted === 0 && ask.returned === 0) continue;
      state.asked = {owner, sentMs: nowMs};
      const list = asks.get(owner);
      if (list) list.push(ask);
      else asks.set(owner, [ask]);
    }
    return asks;
  }

  /** Handles an owner's answer to asks that were sent together. */
  handleAnswer(
    nowMs: number,
    owner: string,
    sentMs: number,
    accounts: Iterable<string>,
    grants: readonly TokenGrant[],
  ): void {
    const byAccount = new Map(grants.map((grant) => [grant.account, grant]));
    for (const account of accounts) {
      const state = this.accounts.get(account);
      const {asked} = state ?? {};
      if (!state || asked?.owner !== owner || asked.sentMs !== sentMs) continue;
      state.asked = undefined;
      const grant = byAccount.get(account);
      if (grant) applyGrant(state, grant, owner, sentMs, nowMs);
      else state.pauseOwner(owner, nowMs + OWNER_PAUSE_MS);
      if (state.waiters.length > 0) this.pending.add(account);
    }
  }

  /** Handles the loss of the link to an owner; its asks get no answer. */
  handleLost(nowMs: number, owner: string): void {
    for (const [account, state] of this.accounts) {
      if (state.asked?.owner === owner) this.endAsk(account, state, nowMs);
    }
  }

  /** Ends waits that are over, and asks for tokens that expire unused. */
  tick(nowMs: number): void {
    for (const [account, state] of this.accounts) {
      const isLost = state.isAskLost(nowMs);
      if (isLost) this.endAsk(account, state, nowMs);
      this.endWaits(state, nowMs);
      if (state.held.readExpiryMs() - nowMs < RETURN_MARGIN_MS) {
        this.pending.add(account);
      }
      if (state.isIdle(nowMs)) {
        this.accounts.delete(account);
        this.pending.delete(account);
      }
    }
  }

  /** Whether accounts wait for an ask to be sent. */
  hasPending(): boolean {
    return this.pending.size > 0;
  }

  countAccounts(): number {
    return this.accounts.size;
  }

  private open(account: string, allotment: Allotment): AccountTokens {
    let state = this.accounts.get(account);
    if (!state) {
      state = new AccountTokens(allotment);
      this.accounts.set(account, state);
    }
    return state;
  }

  /** Lists the first owners in the order of the account that can be asked. */
  private listReachable(
    account: string,
    state: AccountTokens,
  ): readonly string[] {
    state.order ??= sortOwners(account, this.owners);
    return state.order
      .filter((owner) => this.parts.isReachable(owner))
      .slice(0, MAX_ASKED_OWNERS);
  }

  private endAsk(account: string, state: AccountTokens, nowMs: number): void {
    if (state.asked)
      state.pauseOwner(state.asked.owner, nowMs + OWNER_PAUSE_MS);
    state.asked = undefined;
    if (state.waiters.length > 0) this.pending.add(account);
  }

  private endWaits(state: AccountTokens, nowMs: number): void {
    const ended = state.takeEndedWaiters(nowMs);
    for (const {handle, hasAnswer} of ended) {
      if (hasAnswer) {
        const retryMs = state.computeRetryMs(nowMs, 0);
        refuse(handle, ChargeEnd.OVER_LIMIT, retryMs);
      } else this.takeFromTolerance(state, nowMs, handle);
    }
  }

  private settleWithoutOwner(state: AccountTokens, nowMs: number): void {
    const waiters = state.waiters.splice(0);
    for (const {handle} of waiters)
      this.takeFromTolerance(state, nowMs, handle);
  }

  private takeFromTolerance(
    state: AccountTokens,
    nowMs: number,
    handle: ChargeHandler,
  ): void {
    const {random, countNodes, readTolerance} = this.parts;
    const tolerance = readTolerance();
    const isGranted =
      tolerance !== undefined &&
      state.takeTolerance(nowMs, tolerance, countNodes(), random);
    if (isGranted) {
      handle({end: ChargeEnd.GRANTED, batch: undefined, retryAfterMs: 0});
    } else refuse(handle, ChargeEnd.NO_OWNER, state.readFallbackDelayMs());
  }
}

/** Whether the held tokens last only for a short time. */
function isLow({held, demand}: AccountTokens, nowMs: number): boolean {
  return held.count(nowMs) < demand.compute(nowMs, LOW_TOKENS_MS);
}

function createAsk(
  account: string,
  state: AccountTokens,
  owner: string,
  nowMs: number,
): TokenAsk {
  const {held, demand, waiters, allotment} = state;
  const returned = held.takeExpiring(nowMs, owner, nowMs + RETURN_MARGIN_MS);
  const lifetimeMs = computeLifetimeMs(allotment);
  const most = Math.ceil((allotment.ratePerS * lifetimeMs) / 1000);
  const isNeeded = waiters.length > 0 || isLow(state, nowMs);
  const expected = Math.min(most, demand.compute(nowMs, lifetimeMs));
  const wanted = waiters.length + expected - held.count(nowMs);
  return {account, wanted: isNeeded ? Math.max(0, wanted) : 0, returned};
}

/** Serves the waiting requests; refuses those whose token comes too late. */
function applyGrant(
  state: AccountTokens,
  {granted, lifetimeMs, nextTokenMs}: TokenGrant,
  owner: string,
  sentMs: number,
  nowMs: number,
): void {
  const {held, waiters} = state;
  state.nextTokenMs = nowMs + nextTokenMs;
  const expiresMs = sentMs + lifetimeMs;
  if (granted > 0) held.add({lender: owner, expiresMs, count: granted});
  serveWaiters(state, nowMs);
  if (waiters.length === 0) {
    state.notBeforeMs = nowMs;
    return;
  }
  for (const waiter of waiters) waiter.hasAnswer = true;
  state.pauseAsks(nowMs, nextTokenMs);
  const late = state.takeLateWaiters(nowMs);
  for (const [index, {handle}] of late.entries()) {
    const position = waiters.length + index;
    const retryMs = state.computeRetryMs(nowMs, position);
    refuse(handle, ChargeEnd.OVER_LIMIT, retryMs);
  }
}

function serveWaiters({waiters, held}: AccountTokens, nowMs: number): void {
  while (waiters.length > 0) {
    const batch = held.take(nowMs);
    if (!batch) return;
    const handle = waiters.shift()?.handle;
    handle?.({end: ChargeEnd.GRANTED, batch, retryAfterMs: 0});
  }
}

function refuse(
  handle: ChargeHandler,
  end: ChargeEnd,
  retryAfterMs: number,
): void {
  handle({end, batch: undefined, retryAfterMs});
}
