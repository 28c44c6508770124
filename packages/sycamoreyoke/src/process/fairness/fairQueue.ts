/**
 * Order of the waiting requests of one importance: start-time fair queueing
 * between client accounts, the given order within an account.
 *
 * Load that it handles: one account or a few that send many times their usual
 * load, among up to 10,000 accounts. Each operation is logarithmic on average
 * in the number of waiting accounts and requests. Requests without an account
 * are one account of their own; if there are no others, the order is the given
 * one.
 */
import type {WaitingOrder, WaitingRequest} from '../waitQueue.js';
import {WaitQueue} from '../waitQueue.js';
import {AccountFlow} from './accountFlow.js';
import {BacklogCounts} from './backlogCounts.js';
import {IndexedHeap} from './indexedHeap.js';
import {ServedShare} from './servedShare.js';

/** Time after which an account without requests is forgotten. */
const RECENT_MS = 2_000;
/** Accounts forgotten for each offer, so that the work of an offer is bounded. */
const FORGOTTEN_PER_OFFER = 2;

/** What waits at one importance, as an operator sees it beside a refusal. */
export interface AccountBacklog {
  /** Waiting requests of the account. */
  readonly accountWaiting: number;
  /** Accounts with waiting requests. */
  readonly waitingAccounts: number;
}

/** Queue of one importance that shares capacity between accounts. */
export class FairQueue {
  private readonly flows = new Map<string | undefined, AccountFlow>();
  /** Flows without waiting requests, those that are idle the longest first. */
  private readonly idleFlows = new Map<string | undefined, AccountFlow>();
  private readonly firstFlows: IndexedHeap<AccountFlow>;
  private readonly lastFlows: IndexedHeap<AccountFlow>;
  /** All waiting requests in the given order, to find those that expire. */
  private readonly requests: WaitQueue;
  private readonly backlogs = new BacklogCounts();
  private readonly servedShare = new ServedShare();
  /** Virtual time: the round of the latest start that was charged. */
  private round = 0;
  private startCount = 0;
  private nowMs = 0;

  constructor(private readonly order: WaitingOrder) {
    this.requests = new WaitQueue(order);
    this.firstFlows = new IndexedHeap((first, second) =>
      compareFirst(first, second, order),
    );
    this.lastFlows = new IndexedHeap((first, second) =>
      compareLast(first, second, order),
    );
  }

  /** Records an arrival, whether it will wait or be refused at once. */
  recordOffer(account: string | undefined, nowMs: number): void {
    this.nowMs = nowMs;
    this.removeIdle(nowMs, FORGOTTEN_PER_OFFER);
    this.servedShare.recordOffer(nowMs);
    const flow = this.getFlow(account);
    flow.recordOffer(this.servedShare.read());
    if (flow.requests.count() === 0) this.markIdle(flow);
    else this.firstFlows.update(flow);
  }

  add(request: WaitingRequest): void {
    const flow = this.getFlow(request.arrival.account);
    if (flow.requests.count() === 0) {
      flow.startTag = Math.max(this.round, flow.startTag);
      flow.idleSinceMs = undefined;
      this.idleFlows.delete(flow.account);
    }
    flow.requests.add(request);
    this.requests.add(request);
    this.backlogs.add(flow.requests.count());
    this.updateOrder(flow);
  }

  remove(request: WaitingRequest): void {
    const flow = this.getFlow(request.arrival.account);
    this.backlogs.remove(flow.requests.count());
    flow.requests.remove(request);
    this.requests.remove(request);
    this.updateOrder(flow);
    if (flow.requests.count() === 0) this.markIdle(flow);
  }

  /**
   * Charges an account for a request that starts.
   *
   * @param cost expected service time, as a multiple of the mean.
   */
  recordStart(account: string | undefined, cost: number, nowMs: number): void {
    this.nowMs = nowMs;
    const flow = this.getFlow(account);
    this.round = Math.max(this.round, flow.readFirstRound());
    this.startCount += 1;
    this.servedShare.recordStart(nowMs);
    flow.recordStart(cost, this.startCount);
    if (flow.requests.count() === 0) this.markIdle(flow);
    else this.updateOrder(flow);
  }

  /** Returns the request that starts next. */
  readFirst(): WaitingRequest | undefined {
    return this.firstFlows.readFirst()?.requests.readFirst();
  }

  /**
   * Returns the request that is evicted next: the last one of the account whose
   * waiting requests reach furthest beyond its share.
   */
  readLast(): WaitingRequest | undefined {
    return this.lastFlows.readFirst()?.requests.readLast();
  }

  /** Returns the first request of all accounts in the given order. */
  readEarliest(): WaitingRequest | undefined {
    return this.requests.readFirst();
  }

  /** Returns the last request of all accounts in the given order. */
  readLatest(): WaitingRequest | undefined {
    return this.requests.readLast();
  }

  /**
   * Estimates how many requests of this importance start before a further one
   * of an account: the account's own, and for each round until then at most one
   * of mean cost of every other account.
   */
  countAhead(account: string | undefined): number {
    const flow = this.flows.get(account);
    if (!flow) return this.backlogs.countUpTo(1);
    const own = flow.requests.count();
    if (own === 0 && flow.hasGuarantee()) return 0;
    const lastRound = Math.max(this.round, flow.computeLastRound());
    const rounds = lastRound - this.round + 1;
    const others = this.backlogs.countUpTo(rounds) - Math.min(own, rounds);
    return Math.max(own + others, flow.computeStartsAhead());
  }

  describeBacklog(account: string | undefined): AccountBacklog {
    return {
      accountWaiting: this.flows.get(account)?.requests.count() ?? 0,
      waitingAccounts: this.firstFlows.count(),
    };
  }

  /** Forgets the accounts that have had no request recently. */
  removeIdle(nowMs: number, maxCount = Infinity): void {
    let count = 0;
    for (const [account, {idleSinceMs = nowMs}] of this.idleFlows) {
      if (count >= maxCount || nowMs - idleSinceMs < RECENT_MS) return;
      this.idleFlows.delete(account);
      this.flows.delete(account);
      count += 1;
    }
  }

  /** Returns the number of accounts with waiting or recent requests. */
  countAccounts(): number {
    return this.flows.size;
  }

  private getFlow(account: string | undefined): AccountFlow {
    const known = this.flows.get(account);
    if (known) return known;
    const flow = new AccountFlow(account, this.order);
    this.flows.set(account, flow);
    return flow;
  }

  private updateOrder(flow: AccountFlow): void {
    if (flow.requests.count() > 0) {
      this.firstFlows.update(flow);
      this.lastFlows.update(flow);
    } else {
      this.firstFlows.remove(flow);
      this.lastFlows.remove(flow);
    }
  }

  private markIdle(flow: AccountFlow): void {
    flow.recordIdle(this.nowMs);
    this.idleFlows.delete(flow.account);
    this.idleFlows.set(flow.account, flow);
  }
}

/** Earliest round first, then by the first requests in the given order. */
function compareFirst(
  first: AccountFlow,
  second: AccountFlow,
  order: WaitingOrder,
): number {
  return (
    first.readFirstRound() - second.readFirstRound() ||
    compareRequests(
      first.requests.readFirst(),
      second.requests.readFirst(),
      order,
    )
  );
}

/** Latest round first, then by the last requests, the last one first. */
function compareLast(
  first: AccountFlow,
  second: AccountFlow,
  order: WaitingOrder,
): number {
  return (
    second.computeLastRound() - first.computeLastRound() ||
    compareRequests(
      second.requests.readLast(),
      first.requests.readLast(),
      order,
    )
  );
}

function compareRequests(
  first: WaitingRequest | undefined,
  second: WaitingRequest | undefined,
  order: WaitingOrder,
): number {
  return first && second ? order(first, second) : 0;
}
