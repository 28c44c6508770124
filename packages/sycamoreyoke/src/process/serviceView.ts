/** View that a caller has of the members of a called service. */
import type {Clock} from '../clock.js';
import type {Random} from '../random.js';
import {
  REPEATED_FAILURE_EXCLUSION_MS,
  DEPARTED_RETENTION_MS,
  FIRST_FAILURE_EXCLUSION_MS,
  MAX_REPORTS_PER_POLL,
  POLL_AFTER_CALL_MS,
  POLL_INTERVAL_MS,
  PROBE_TIMEOUT_MS,
  REPORT_INTERVAL_MS,
  VIEW_STALE_MS,
} from './constants.js';
import type {
  ListMembersRequest,
  ListMembersResponse,
  MemberUpdate,
  MembershipAction,
  MessageSender,
} from './membershipMessages.js';
import {MessageKind} from './membershipMessages.js';
import {MemberTable} from './memberTable.js';
import {RequestTracker} from './requestTracker.js';
import type {Member} from './types.js';
import {MemberState} from './types.js';

/** Number of members to poll, round robin. */
const POLLED_MEMBER_COUNT = 2;

/** A member from which this caller polls the member list. */
interface PolledMember {
  readonly member: Member;
  sequence: number;
}

/** Failures of this caller's own calls to a member. */
interface CallFailures {
  readonly untilMs: number;
  readonly failures: number;
}

export interface ServiceViewOptions {
  readonly service: string;
  readonly sender: MessageSender;
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly random: Random;
}

/** Members of one called service, from polled lists and own call failures. */
export class ServiceView {
  private readonly table: MemberTable;
  private readonly callFailures = new Map<string, CallFailures>();
  private readonly tracker = new RequestTracker();
  private polledMembers: PolledMember[] = [];
  private reports: string[] = [];
  private nextPollMs = 0;
  private lastCallMs = -Infinity;
  private lastAnswerMs = -Infinity;

  constructor(private readonly options: ServiceViewOptions) {
    this.table = new MemberTable((observer) => this.isTrusted(observer));
  }

  /** Adds members known from peers, seeds or settings. */
  addContacts(contacts: readonly MemberUpdate[]): void {
    const nowMs = this.options.clock.readMs();
    for (const contact of contacts) this.table.apply(contact, nowMs);
  }

  /** Must be called before a call; keeps the view polled for a while. */
  observeCall(): MembershipAction[] {
    const nowMs = this.options.clock.readMs();
    const wasIdle = nowMs - this.lastCallMs > POLL_AFTER_CALL_MS;
    this.lastCallMs = nowMs;
    return wasIdle ? this.tick() : [];
  }

  /** Must be called at least every 100 ms. */
  tick(): MembershipAction[] {
    const nowMs = this.options.clock.readMs();
    for (const pending of this.tracker.takeExpired(nowMs)) {
      this.observeFailure(pending.target, false);
      this.removePolledMember(pending.target);
    }
    if (nowMs - this.lastCallMs > POLL_AFTER_CALL_MS) return [];
    const hasReportsDue =
      this.reports.length > 0 &&
      nowMs >= this.nextPollMs - POLL_INTERVAL_MS + REPORT_INTERVAL_MS;
    if (nowMs >= this.nextPollMs || hasReportsDue) this.poll(nowMs);
    return this.tracker.takeActions();
  }

  handleResponse(
    requestId: number,
    response: ListMembersResponse,
  ): MembershipAction[] {
    const pending = this.tracker.takeRequest(requestId);
    if (!pending) return [];
    const nowMs = this.options.clock.readMs();
    const {incarnation} = response.sender;
    const polled = this.polledMembers.find(
      ({member}) => member.incarnation === pending.target,
    );
    if (incarnation !== pending.target) this.removePolledMember(pending.target);
    else if (polled) polled.sequence = response.sequence;
    this.observeSuccess(incarnation);
    for (const update of response.members) this.table.apply(update, nowMs);
    this.expireRecords(nowMs - DEPARTED_RETENTION_MS);
    this.lastAnswerMs = nowMs;
    return [];
  }

  /** Handles a member that did not answer; polls another one at once. */
  handleFailure(requestId: number, refused: boolean): MembershipAction[] {
    const pending = this.tracker.takeRequest(requestId);
    if (!pending) return [];
    this.observeFailure(pending.target, refused);
    this.removePolledMember(pending.target);
    return this.tick();
  }

  /** Records a refused connection to the member, or a timeout. */
  observeFailure(incarnation: string, refused: boolean): void {
    const failures = (this.callFailures.get(incarnation)?.failures ?? 0) + 1;
    const isFirst = failures === 1 && !refused;
    const exclusionMs = isFirst
      ? FIRST_FAILURE_EXCLUSION_MS
      : REPEATED_FAILURE_EXCLUSION_MS;
    const untilMs = this.options.clock.readMs() + exclusionMs;
    this.callFailures.set(incarnation, {untilMs, failures});
    if (this.reports.includes(incarnation)) return;
    this.reports = [...this.reports, incarnation].slice(-MAX_REPORTS_PER_POLL);
  }

  observeSuccess(incarnation: string): void {
    this.callFailures.delete(incarnation);
  }

  /** Records that the member refused a call because it is leaving. */
  observeLeaving(incarnation: string): void {
    const held = this.table.findUpdate(incarnation);
    if (!held) return;
    const update = {...held, state: MemberState.LEAVING, observer: ''};
    this.table.apply(update, this.options.clock.readMs());
  }

  /** Returns true if the member may get new work. */
  isUsable(incarnation: string): boolean {
    const nowMs = this.options.clock.readMs();
    const {untilMs} = this.callFailures.get(incarnation) ?? {untilMs: nowMs};
    const state = this.table.find(incarnation)?.state;
    return state === MemberState.ACTIVE && untilMs <= nowMs;
  }

  /** Lists the members that may get new work. */
  listUsable(): Member[] {
    return this.table
      .list()
      .filter(({incarnation}) => this.isUsable(incarnation));
  }

  list(): Member[] {
    return this.table.list();
  }

  /** Returns true if no polled member has answered recently. */
  isStale(): boolean {
    return this.options.clock.readMs() - this.lastAnswerMs > VIEW_STALE_MS;
  }

  /** Returns true if no member is known that could be polled. */
  needsContacts(): boolean {
    return this.choosePolledMembers().length === 0;
  }

  private expireRecords(beforeMs: number): void {
    this.table.expire(beforeMs);
    for (const incarnation of this.callFailures.keys()) {
      if (!this.table.find(incarnation)) this.callFailures.delete(incarnation);
    }
  }

  private poll(nowMs: number): void {
    this.polledMembers = this.choosePolledMembers();
    const [first, ...rest] = this.polledMembers;
    if (!first) return;
    this.polledMembers = [...rest, first];
    this.nextPollMs = nowMs + POLL_INTERVAL_MS;
    const {service, sender} = this.options;
    const {member, sequence} = first;
    const request: ListMembersRequest = {
      kind: MessageKind.LIST_MEMBERS,
      sender,
      service,
      informant: sequence === 0 ? '' : member.incarnation,
      sinceSequence: sequence,
      bucketHashes: [],
      changedWithinMs: 0,
      unreachable: this.reports,
    };
    this.reports = [];
    this.tracker.send(
      {address: member.address, port: member.controlPort},
      {
        request,
        target: member.incarnation,
        deadlineMs: nowMs + PROBE_TIMEOUT_MS,
      },
    );
  }

  /**
   * Keeps usable ones and adds members of the local data centre, whose
   * view of reachability also applies to this caller, or else others.
   */
  private choosePolledMembers(): PolledMember[] {
    const usable = this.polledMembers.filter(({member}) =>
      this.isUsable(member.incarnation),
    );
    const missing = POLLED_MEMBER_COUNT - usable.length;
    if (missing <= 0) return usable;
    const accepts = (member: Member) =>
      this.isUsable(member.incarnation) &&
      !usable.some((polled) => polled.member === member);
    const {random} = this.options;
    const localMembers = this.table.chooseRandom(
      missing,
      random,
      (member) => this.isLocal(member) && accepts(member),
    );
    const others = this.table.chooseRandom(missing, random, accepts);
    const chosen = [...new Set([...localMembers, ...others])].slice(0, missing);
    usable.push(...chosen.map((member) => ({member, sequence: 0})));
    return usable.length > 0 ? usable : this.chooseAnyPolledMember();
  }

  /** Chooses any member, for use when none is usable. */
  private chooseAnyPolledMember(): PolledMember[] {
    return this.table
      .chooseRandom(1, this.options.random, () => true)
      .map((member) => ({member, sequence: 0}));
  }

  private removePolledMember(incarnation: string): void {
    this.polledMembers = this.polledMembers.filter(
      ({member}) => member.incarnation !== incarnation,
    );
    this.nextPollMs = 0;
  }

  private isLocal(member: Member): boolean {
    return member.dataCentre === this.options.dataCentre;
  }

  /**
   * Returns true if reports by the data centre are trusted. This caller may
   * reach members that another data centre cannot, so reports from there count
   * only while no polled member is local.
   */
  private isTrusted(observer: string): boolean {
    const {dataCentre} = this.options;
    if (observer === dataCentre) return true;
    return !this.polledMembers.some(({member}) => this.isLocal(member));
  }
}
