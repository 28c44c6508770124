/** Membership protocol of one node: handles messages and returns actions. */
import type {Clock} from '../clock.js';
import type {InvariantReporter} from '../invariants.js';
import {Invariant} from '../invariants.js';
import type {Random} from '../random.js';
import {
  UPDATE_ANNOUNCE_INTERVAL_MS,
  DEPARTED_RETENTION_MS,
  LEAVE_PROPAGATION_MS,
  MAX_REPORTS_PER_POLL,
  MIN_PAUSE_MS,
  ISOLATION_TIMEOUT_MS,
} from './constants.js';
import type {
  Endpoint,
  ListMembersRequest,
  ListMembersResponse,
  MemberUpdate,
  MembershipAction,
  MembershipRequest,
  MembershipResponse,
  ProbeRequest,
  ProbeResponse,
} from './membershipMessages.js';
import {MessageKind} from './membershipMessages.js';
import {MemberGossip} from './memberGossip.js';
import type {MemberTable} from './memberTable.js';
import {MergeResult, hasLeft, isReportByOthers} from './memberTable.js';
import {PeerRequests, getEndpoint} from './peerRequests.js';
import type {ProbeStep} from './probing.js';
import {ProbeStepKind, Prober} from './probing.js';
import type {PendingRequest} from './requestTracker.js';
import {RequestTracker} from './requestTracker.js';
import {TableSync, createForeignList, createListResponse} from './tableSync.js';
import type {Member} from './types.js';
import {MemberState} from './types.js';

/** Interval between removals of expired records. */
const EXPIRE_INTERVAL_MS = 10_000;
/** Peers from which a starting or resumed process requests the list. */
const REFRESH_PEERS = 3;

export interface MembershipOptions {
  readonly self: Member;
  readonly clock: Clock;
  readonly random: Random;
  readonly report: InvariantReporter;
  /** Members of other services that this node calls, for new nodes. */
  readonly listMembersOf?: (service: string) => readonly Member[];
}

/** Membership of one node in its service. */
export class Membership {
  private readonly gossip: MemberGossip;
  private readonly prober: Prober;
  private readonly tracker = new RequestTracker();
  private readonly requests: PeerRequests;
  private readonly sync: TableSync;
  private lastObservedMs: number;
  private staleUntilMs: number;
  private nextAnnounceMs = 0;
  private nextExpireMs = 0;
  private leavingSinceMs?: number;

  constructor(private readonly options: MembershipOptions) {
    const {self, clock, random} = options;
    this.lastObservedMs = clock.readMs();
    this.staleUntilMs = this.lastObservedMs + ISOLATION_TIMEOUT_MS;
    this.sync = new TableSync(random);
    this.gossip = new MemberGossip(
      self,
      random,
      this.handleMerge.bind(this),
      this.lastObservedMs,
    );
    this.requests = new PeerRequests(this.gossip, this.tracker);
    this.prober = new Prober(this.gossip.table, self, random);
  }

  /** Members of the service as known to this node. */
  get table(): MemberTable {
    return this.gossip.table;
  }

  /**
   * Joins the service, or looks for lost peers, using records from seeds, from
   * the mirror or from callers.
   */
  start(contacts: readonly MemberUpdate[]): MembershipAction[] {
    const nowMs = this.observeTime();
    const unknownContacts = contacts.filter(
      ({incarnation}) => !this.table.find(incarnation),
    );
    for (const contact of contacts) this.gossip.applyListed(contact, nowMs);
    for (const {record} of unknownContacts.slice(0, REFRESH_PEERS)) {
      if (record) this.requests.sendList(getEndpoint(record), 0, nowMs);
    }
    return this.tracker.takeActions();
  }

  /** Requests lists from addresses of unknown members. */
  joinAt(endpoints: readonly Endpoint[]): MembershipAction[] {
    const nowMs = this.observeTime();
    for (const endpoint of endpoints)
      this.requests.sendList(endpoint, 0, nowMs);
    return this.tracker.takeActions();
  }

  /** Returns true if no live peer is known and contacts must be looked up. */
  needsContacts(): boolean {
    return this.gossip.choosePeers(1).length === 0;
  }

  /** Sets the state and weight of this node. */
  setState(
    state: MemberState,
    weight = this.readSelf().weight,
  ): MembershipAction[] {
    const nowMs = this.observeTime();
    const isNew = this.readSelf().state === MemberState.JOINING;
    this.gossip.setSelf(state, weight, nowMs);
    if (isNew || state === MemberState.LEAVING) {
      this.requests.announce(nowMs);
    }
    return this.tracker.takeActions();
  }

  /** Announces that this node accepts no new work. */
  announceLeave(): MembershipAction[] {
    this.leavingSinceMs = this.options.clock.readMs();
    return this.setState(MemberState.LEAVING);
  }

  /** Must be called at least every 100 ms. */
  tick(): MembershipAction[] {
    const nowMs = this.observeTime();
    for (const pending of this.tracker.takeExpired(nowMs)) {
      this.handleUnanswered(pending, false, nowMs);
    }
    if (this.readSelf().state !== MemberState.JOINING) {
      this.handleSteps(this.prober.tick(nowMs), nowMs);
    }
    if (nowMs >= this.nextAnnounceMs && this.gossip.hasUrgentUpdates()) {
      this.nextAnnounceMs = nowMs + UPDATE_ANNOUNCE_INTERVAL_MS;
      this.requests.announce(nowMs);
    }
    if (nowMs >= this.nextExpireMs) {
      this.nextExpireMs = nowMs + EXPIRE_INTERVAL_MS;
      this.table.expire(nowMs - DEPARTED_RETENTION_MS);
    }
    return this.tracker.takeActions();
  }

  /** @param replyTo identifies the request in the RESPOND action. */
  handleRequest(
    request: MembershipRequest,
    replyTo: string,
  ): MembershipAction[] {
    const nowMs = this.observeTime();
    if (request.kind === MessageKind.PROBE) {
      this.handleProbe(request, replyTo, nowMs);
    } else if (request.kind === MessageKind.INDIRECT_PROBE) {
      this.requests.sendProbe(request.target, nowMs, replyTo);
    } else if (request.kind === MessageKind.LIST_MEMBERS) {
      this.tracker.respond(replyTo, this.createList(request, nowMs));
    } else {
      this.applyUpdates(request.updates, nowMs);
      const sender = this.gossip.readSender();
      this.tracker.respond(replyTo, {kind: MessageKind.ANNOUNCE, sender});
    }
    return this.tracker.takeActions();
  }

  handleResponse(
    requestId: number,
    response: MembershipResponse,
  ): MembershipAction[] {
    const nowMs = this.observeTime();
    const pending = this.tracker.takeRequest(requestId);
    if (!pending) return this.tracker.takeActions();
    if (response.kind === MessageKind.PROBE) {
      this.handleProbeResponse(pending, response, nowMs);
    } else if (response.kind === MessageKind.INDIRECT_PROBE) {
      if (response.reached) this.prober.handleAnswer(pending.target, nowMs);
      else
        this.handleSteps(
          this.prober.handleHelperFailure(pending.target, response.refused),
          nowMs,
        );
    } else if (response.kind === MessageKind.LIST_MEMBERS) {
      this.staleUntilMs = 0;
      const before = this.table.sequence;
      for (const update of response.members) {
        this.gossip.applyListed(update, nowMs);
      }
      this.sync.observeList(this.table.sequence > before, nowMs);
    }
    return this.tracker.takeActions();
  }

  /** @param refused true if the address refused the connection. */
  handleFailure(requestId: number, refused: boolean): MembershipAction[] {
    const nowMs = this.observeTime();
    const pending = this.tracker.takeRequest(requestId);
    if (pending) this.handleUnanswered(pending, refused, nowMs);
    return this.tracker.takeActions();
  }

  /**
   * Returns true after a start or a pause, until a peer has sent its list or
   * two seconds have passed. A stale node accepts no new work.
   */
  isStale(): boolean {
    const nowMs = this.options.clock.readMs();
    return (
      nowMs - this.lastObservedMs > MIN_PAUSE_MS || nowMs < this.staleUntilMs
    );
  }

  /** Reports work received too long after the node announced its leave. */
  observeWork(detail: string): void {
    const leftMs = this.options.clock.readMs() - (this.leavingSinceMs ?? NaN);
    if (leftMs > LEAVE_PROPAGATION_MS) {
      this.options.report(
        Invariant.LEAVING_GETS_NO_WORK,
        `${detail} ${leftMs} ms after the announcement`,
      );
    }
  }

  readSelf(): Member {
    return this.gossip.readSelf();
  }

  list(): Member[] {
    return this.table.list();
  }

  /** Returns true if new work may be sent to the member. */
  isUsable(incarnation: string): boolean {
    return this.table.find(incarnation)?.state === MemberState.ACTIVE;
  }

  private observeTime(): number {
    const nowMs = this.options.clock.readMs();
    const isPaused = nowMs - this.lastObservedMs > MIN_PAUSE_MS;
    this.lastObservedMs = nowMs;
    if (isPaused) this.handlePause(nowMs);
    return nowMs;
  }

  /**
   * Drops requests and probes from before the pause: their timeouts expired
   * because this process was paused, not because others failed.
   */
  private handlePause(nowMs: number): void {
    this.staleUntilMs = nowMs + ISOLATION_TIMEOUT_MS;
    this.tracker.reset();
    this.prober.reset(nowMs);
    this.gossip.raiseCounter(this.readSelf().counter, nowMs);
    this.sendRefresh(nowMs);
  }

  private sendRefresh(nowMs: number): void {
    for (const peer of this.gossip.choosePeers(REFRESH_PEERS)) {
      this.requests.sendList(getEndpoint(peer), 0, nowMs);
    }
  }

  private handleProbe(
    request: ProbeRequest,
    replyTo: string,
    nowMs: number,
  ): void {
    const {target, targetCounter, targetState, sender} = request;
    const {incarnation} = this.readSelf();
    const correctingUpdates: MemberUpdate[] = [];
    if (target === incarnation) {
      const isRefutationNeeded =
        targetState === MemberState.DEAD ||
        (targetState === MemberState.SUSPECT &&
          this.readSelf().state !== MemberState.SUSPECT);
      if (isRefutationNeeded) this.gossip.raiseCounter(targetCounter, nowMs);
      if (targetCounter < this.readSelf().counter)
        correctingUpdates.push(this.gossip.readStatement());
    }
    const held = this.table.findUpdate(sender.incarnation);
    if (held && isReportByOthers(held)) correctingUpdates.push(held);
    this.applyUpdates(request.updates, nowMs);
    this.compareHash(request.membersHash, nowMs, held);
    this.tracker.respond(replyTo, {
      kind: MessageKind.PROBE,
      sender: this.gossip.readSender(),
      updates: [...correctingUpdates, ...this.gossip.takeUpdates()],
      membersHash: this.table.readHash(),
    });
  }

  private handleProbeResponse(
    pending: PendingRequest,
    response: ProbeResponse,
    nowMs: number,
  ): void {
    const {target, replyTo} = pending;
    const isFromTarget = response.sender.incarnation === target;
    if (replyTo !== undefined)
      this.reportReached(replyTo, isFromTarget, !isFromTarget);
    if (!isFromTarget) this.handleReplaced(target, nowMs);
    else this.prober.handleAnswer(target, nowMs);
    this.applyUpdates(response.updates, nowMs);
    const responder = this.table.findUpdate(response.sender.incarnation);
    this.compareHash(response.membersHash, nowMs, responder);
  }

  /** Marks an incarnation as DEAD when another answers at its address. */
  private handleReplaced(incarnation: string, nowMs: number): void {
    const held = this.table.findUpdate(incarnation);
    if (!held || hasLeft(held.state)) return;
    this.gossip.apply({...held, state: MemberState.DEAD, observer: ''}, nowMs);
  }

  private handleUnanswered(
    pending: PendingRequest,
    refused: boolean,
    nowMs: number,
  ): void {
    const {request, target, replyTo} = pending;
    if (replyTo !== undefined) {
      this.reportReached(replyTo, false, refused);
    } else if (request.kind === MessageKind.PROBE) {
      const steps = this.prober.handleFailure(target, refused, nowMs);
      this.handleSteps(steps, nowMs);
    } else if (request.kind === MessageKind.INDIRECT_PROBE) {
      this.handleSteps(this.prober.handleHelperFailure(target, false), nowMs);
    } else if (this.staleUntilMs > nowMs) {
      const [peer] = this.gossip.choosePeers(1);
      if (peer) this.requests.sendList(getEndpoint(peer), 0, nowMs);
    } else if (request.kind === MessageKind.ANNOUNCE) {
      this.nextAnnounceMs = nowMs;
    }
  }

  private handleSteps(steps: readonly ProbeStep[], nowMs: number): void {
    for (const step of steps) this.handleStep(step, nowMs);
  }

  private handleStep(step: ProbeStep, nowMs: number): void {
    const member = this.table.find(step.incarnation);
    if (!member) return;
    const {incarnation, counter} = member;
    const observer = this.readSelf().dataCentre;
    if (step.kind === ProbeStepKind.PROBE) {
      this.requests.sendProbe(member, nowMs);
    } else if (step.kind === ProbeStepKind.ASK_HELPERS) {
      for (const helper of step.helpers) {
        this.requests.sendIndirectProbe(helper, member, nowMs);
      }
    } else {
      const state =
        step.kind === ProbeStepKind.DEAD
          ? MemberState.DEAD
          : MemberState.SUSPECT;
      this.gossip.apply({incarnation, counter, state, observer}, nowMs);
      // Probe the member so that it learns of the suspicion and can refute it.
      if (state === MemberState.SUSPECT) this.requests.sendProbe(member, nowMs);
    }
  }

  private applyUpdates(updates: readonly MemberUpdate[], nowMs: number): void {
    for (const update of updates) this.gossip.apply(update, nowMs);
  }

  /** Updates the prober after a change of the table. */
  private handleMerge(
    {incarnation}: MemberUpdate,
    result: MergeResult,
    isNew: boolean,
    nowMs: number,
  ): void {
    if (result === MergeResult.UNVERIFIED) {
      this.prober.verify(incarnation, nowMs);
    }
    const member = this.table.find(incarnation);
    if (!member || (result === MergeResult.UNVERIFIED && !isNew)) return;
    if (isNew) this.prober.add(incarnation);
    this.prober.observe(
      member,
      this.gossip.isReportedByOthers(incarnation),
      nowMs,
    );
    this.tracker.reportChange(member);
  }

  private compareHash(
    hash: number,
    nowMs: number,
    peer: MemberUpdate | undefined,
  ): void {
    const member = peer && this.table.find(peer.incarnation);
    if (!member) return;
    const ageMs = this.sync.compareHash(this.table.readHash(), hash, nowMs);
    if (ageMs !== undefined)
      this.requests.sendList(getEndpoint(member), ageMs, nowMs);
  }

  private createList(
    request: ListMembersRequest,
    nowMs: number,
  ): ListMembersResponse {
    const sender = this.gossip.readSender();
    if (request.service === this.readSelf().service) {
      for (const incarnation of request.unreachable.slice(
        0,
        MAX_REPORTS_PER_POLL,
      )) {
        this.prober.verifyNow(incarnation, nowMs);
      }
      return createListResponse(sender, this.table, request, nowMs);
    }
    const members = this.options.listMembersOf?.(request.service) ?? [];
    return createForeignList(sender, members);
  }

  private reportReached(replyTo: string, reached: boolean, refused: boolean) {
    const sender = this.gossip.readSender();
    const kind = MessageKind.INDIRECT_PROBE;
    this.tracker.respond(replyTo, {kind, sender, reached, refused});
  }
}
