/**
 * Charges requests of limited client accounts, and exchanges their tokens with
 * the owner set. Without limits in the configuration it does nothing.
 */
import type {Clock} from 'sycamoreyoke/clock';
import {AccountCounts} from 'sycamoreyoke/process/allotment/accountCounts';
import type {
  AllotmentNodeParts,
  AskMessage,
  GrantMessage,
} from 'sycamoreyoke/process/allotment/allotmentNode';
import {AllotmentNode} from 'sycamoreyoke/process/allotment/allotmentNode';
import {ASK_INTERVAL_MS} from 'sycamoreyoke/process/allotment/constants';
import {computeExcess} from 'sycamoreyoke/process/allotment/fallbackBucket';
import type {ChargeResult} from 'sycamoreyoke/process/allotment/tokenHolder';
import {ChargeEnd} from 'sycamoreyoke/process/allotment/tokenHolder';
import type {Allotment} from 'sycamoreyoke/process/allotment/types';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Metrics} from 'sycamoreyoke/process/metrics';
import type {Account} from 'sycamoreyoke/version/accounts';
import type {RouteTable} from 'sycamoreyoke/version/routeTable';
import type {NodeRecord} from '../types.js';
import type {PeerTask} from './peerTask.js';

/** Interval at which waits end and unused tokens are returned. */
const TICK_MS = 50;

/** Dependencies of the task. */
export interface AllotmentTaskParts extends Omit<
  AllotmentNodeParts,
  'readAllotment' | 'isReachable' | 'isTooOld' | 'sendAsk'
> {
  readonly clock: Clock;
  readonly record: EventRecorder;
  readonly metrics: Metrics;
  readonly readPeers: () => Pick<PeerTask, 'isAskable' | 'sendAsk'>;
  readonly readTable: () => RouteTable | undefined;
  /** Called when the configuration begins or ceases to have limits. */
  readonly handleLimits: () => void;
}

/** Facts about a request that is charged. */
export interface ChargedRequest {
  readonly requestId: string;
  readonly route: {readonly name: string};
  readonly usefulUntilMs: number;
  readonly configurationVersion: number;
}

/** The charge of a request. */
export interface Charge {
  readonly isGranted: boolean;
  /** When the client may try again, ms. */
  readonly retryAfterMs: number;
  /** Returns the token of a request that has not run. */
  readonly release: () => void;
}

/** Owns the timers of the allotments. */
export class AllotmentTask {
  private readonly node: AllotmentNode;
  private readonly counts = new AccountCounts();
  private hasLimits = false;
  private isStopped = false;
  private tickTimer: NodeJS.Timeout | undefined;
  private flushTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: AllotmentTaskParts) {
    this.node = new AllotmentNode({
      ...parts,
      readAllotment: (account) => this.readAllotment(account),
      isReachable: (node) => parts.readPeers().isAskable(node) === true,
      isTooOld: (node) => parts.readPeers().isAskable(node) === false,
      sendAsk: (node, message) => parts.readPeers().sendAsk(node, message),
    });
    parts.metrics.collect('allotment_requests_total', () =>
      this.counts.list().flatMap(([account, counts]) =>
        [...counts].map(([result, value]) => ({
          labels: {account, result},
          value,
        })),
      ),
    );
  }

  /** Chooses the owner set; it is empty without limits. */
  chooseOwners(nodes: readonly NodeRecord[]): ReadonlySet<string> {
    const names = nodes.map(({node}) => node);
    const listed = this.hasLimits ? new Set([this.parts.self, ...names]) : [];
    const owners = this.node.updateNodes(listed);
    this.startTicks();
    return new Set(owners);
  }

  /** Applies the allotments of another configuration version. */
  handleConfiguration(): void {
    const accounts = this.parts.readTable()?.accounts?.accounts.values() ?? [];
    const hadLimits = this.hasLimits;
    this.hasLimits = [...accounts].some(({ratePerS}) => ratePerS !== undefined);
    this.node.updateAllotments();
    if (this.hasLimits !== hadLimits) this.parts.handleLimits();
  }

  /** Charges a client's request; the handler is called once, maybe at once. */
  take(
    account: Account,
    request: ChargedRequest,
    handle: (charge: Charge) => void,
  ): void {
    const {name} = account;
    const allotment = this.createAllotment(account);
    if (!allotment) {
      handle({isGranted: true, retryAfterMs: 0, release: () => undefined});
      return;
    }
    this.node.take(name, allotment, request.usefulUntilMs, (result) => {
      const {end, batch, retryAfterMs} = result;
      const isGranted = end === ChargeEnd.GRANTED;
      this.counts.count(name, isGranted ? 'admitted' : 'refused');
      if (!isGranted) this.recordRefusal(name, request, result);
      const release = () => {
        if (batch) this.node.release(name, batch);
      };
      handle({isGranted, retryAfterMs, release});
    });
    this.startTicks();
    this.scheduleFlush();
  }

  /** Answers an ask of another node. */
  answer(from: string, message: AskMessage): GrantMessage {
    const grants = this.node.receiveAsk(from, message);
    this.startTicks();
    return grants;
  }

  handleGrant(from: string, message: GrantMessage): void {
    this.node.receiveGrant(from, message);
    this.scheduleFlush();
  }

  /** Handles the end of the link to a node. */
  handleLost(node: string): void {
    this.node.handleLost(node);
    this.scheduleFlush();
  }

  /** Handles that the address of a node refuses connections. */
  handleGone(node: string): void {
    this.node.handleGone(node);
  }

  /** Stops to lend, so that the next owner takes over. */
  retire(): void {
    this.node.stop();
  }

  stop(): void {
    this.isStopped = true;
    clearInterval(this.tickTimer);
    clearTimeout(this.flushTimer);
  }

  private readAllotment(account: string): Allotment | undefined {
    const table = this.parts.readTable()?.accounts;
    const found = table?.accounts.get(account);
    return found && this.createAllotment(found);
  }

  private createAllotment({ratePerS, burst}: Account): Allotment | undefined {
    if (ratePerS === undefined) return undefined;
    const tolerance = this.parts.readTolerance();
    const allotment = {ratePerS, burst};
    const excess = tolerance ? computeExcess(allotment, tolerance) : 0;
    return {...allotment, excess};
  }

  private recordRefusal(
    account: string,
    {requestId, route, configurationVersion}: ChargedRequest,
    {end, retryAfterMs}: ChargeResult,
  ): void {
    this.parts.record(
      EventCode.REQUEST_OVER_ALLOTMENT,
      {
        account,
        route: route.name,
        cause: end,
        retryMs: Math.round(retryAfterMs),
        version: configurationVersion,
      },
      requestId,
    );
  }

  /** Runs ticks as long as there is anything to do in them. */
  private startTicks(): void {
    if (this.isStopped || this.tickTimer || !this.node.needsTick()) return;
    this.tickTimer = setInterval(() => {
      this.node.tick();
      this.scheduleFlush();
      if (this.node.needsTick()) return;
      clearInterval(this.tickTimer);
      this.tickTimer = undefined;
    }, TICK_MS);
  }

  private scheduleFlush(): void {
    if (this.isStopped || !this.node.hasPending()) return;
    this.flushTimer ??= setTimeout(() => {
      this.flushTimer = undefined;
      this.node.flush();
      this.scheduleFlush();
    }, ASK_INTERVAL_MS);
  }
}
