/**
 * Maintains the membership of the node's own service and the member lists of
 * the services that it calls.
 */
import type {Clock} from 'sycamoreyoke/clock';
import type {InvariantReporter} from 'sycamoreyoke/invariants';
import type {ObjectStore, TableService} from 'sycamoreyoke/platform';
import {CONTACT_RETRY_MS, SEED_RETRY_MS} from 'sycamoreyoke/process/constants';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {ServiceView} from 'sycamoreyoke/process/serviceView';
import {Membership} from 'sycamoreyoke/process/membership';
import type {
  Endpoint,
  MemberUpdate,
  MembershipAction,
  MembershipRequest,
  MembershipResponse,
} from 'sycamoreyoke/process/membershipMessages';
import {
  MembershipActionKind,
  MessageKind,
} from 'sycamoreyoke/process/membershipMessages';
import type {SeedState} from 'sycamoreyoke/process/seeds';
import {
  EMPTY_SEED_STATE,
  computeSeedOwners,
  createSeedTransaction,
  decideSeedSlots,
  formatMirror,
  formatMirrorName,
  formatSeedPrefix,
  isMirrorDue,
  parseMirror,
  parseSeedRows,
  recordSeedSlots,
} from 'sycamoreyoke/process/seeds';
import type {Member, Router} from 'sycamoreyoke/process/types';
import {MemberState} from 'sycamoreyoke/process/types';
import type {Random} from 'sycamoreyoke/random';

const TICK_MS = 100;
/** Interval at which the router gets the members of called services. */
const ROUTER_UPDATE_MS = 500;
const MAX_SEED_ROWS = 100;
/** Wait after a first contact look-up without results; doubles each time. */
const FIRST_LOOKUP_RETRY_MS = 100;

/** Sends a request over a control connection; rejects when it fails. */
export type MembershipSender = (
  to: Endpoint,
  request: MembershipRequest,
) => Promise<MembershipResponse>;

/** Dependencies of a MembershipTask. */
export interface MembershipTaskParts {
  readonly self: Member;
  readonly clock: Clock;
  readonly random: Random;
  readonly report: InvariantReporter;
  readonly record: EventRecorder;
  readonly table: TableService;
  readonly objectStore: ObjectStore;
  readonly router: Router;
  readonly send: MembershipSender;
  /** Control endpoints of known nodes, from the settings. */
  readonly peers: readonly Endpoint[];
  readonly updateMembers: (members: readonly Member[]) => void;
}

interface LookupBackoff {
  readonly attempts: number;
  readonly nextAttemptMs: number;
}

/** A Membership or ServiceView, which emits actions for this task to run. */
interface ActionSource {
  handleResponse(id: number, response: MembershipResponse): MembershipAction[];
  handleFailure(id: number, isRefused: boolean): MembershipAction[];
}

const STATE_EVENTS: ReadonlyMap<MemberState, EventCode> = new Map([
  [MemberState.ACTIVE, EventCode.MEMBER_JOINED],
  [MemberState.SUSPECT, EventCode.MEMBER_SUSPECT],
  [MemberState.LEAVING, EventCode.MEMBER_LEAVING],
  [MemberState.DEAD, EventCode.MEMBER_DEAD],
]);

/** Connects the library's membership to messages, the table and timers. */
export class MembershipTask {
  private readonly membership: Membership;
  private readonly views = new Map<string, ServiceView>();
  private readonly pendingReplies = new Map<
    string,
    (response: MembershipResponse) => void
  >();
  private seedState: SeedState = EMPTY_SEED_STATE;
  private nextSeedWriteMs = 0;
  private nextRouterUpdateMs = 0;
  private routedSequence = -1;
  private readonly pendingLookups = new Map<string, Promise<void>>();
  private readonly lookupBackoffs = new Map<string, LookupBackoff>();
  private lastReplyId = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: MembershipTaskParts) {
    this.membership = new Membership({
      self: {...parts.self, state: MemberState.JOINING},
      clock: parts.clock,
      random: parts.random,
      report: parts.report,
      listMembersOf: (service) => this.views.get(service)?.list() ?? [],
    });
  }

  /**
   * Joins the service through contacts from the seed rows of the table, their
   * mirror in the object store, and the peers in the settings.
   */
  async start(): Promise<void> {
    const {service} = this.parts.self;
    const contacts = await this.readContacts(service);
    this.apply(this.membership, this.membership.start(contacts));
    this.apply(this.membership, this.membership.joinAt(this.parts.peers));
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Announces that this node accepts calls. */
  announceActive(): void {
    this.setState(MemberState.ACTIVE);
    void this.writeSeeds();
  }

  /** Announces whether the upstream of this node is up. */
  announceUpstream(isUp: boolean): void {
    if (this.readSelf().state === MemberState.LEAVING) return;
    this.setState(isUp ? MemberState.ACTIVE : MemberState.SUSPECT);
  }

  announceLeave(): void {
    this.apply(this.membership, this.membership.announceLeave());
    this.updateOwnService();
  }

  /** Reports new work that arrives long after the node started to leave. */
  observeWork(requestId: string): void {
    this.membership.observeWork(requestId);
  }

  /** Whether no peer has been heard from since the start or the last pause. */
  isStale(): boolean {
    return this.membership.isStale();
  }

  readSelf(): Member {
    return this.membership.readSelf();
  }

  /** All known members of this node's service and of called services. */
  list(): Member[] {
    const calledMembers = [...this.views.values()].flatMap((view) =>
      view.list(),
    );
    return [...this.membership.list(), ...calledMembers];
  }

  /** Members of this node's service, including itself. */
  listOwnService(): Member[] {
    return this.membership.list();
  }

  /**
   * Keeps the members of a called service up to date. Returns the pending
   * look-up, for which the first calls wait, or undefined when members are
   * known.
   */
  subscribe(service: string): Promise<void> | undefined {
    if (service === this.parts.self.service) return undefined;
    const view = this.findView(service);
    this.apply(view, view.observeCall());
    if (!view.needsContacts()) return undefined;
    void this.findContacts(service, view);
    return this.pendingLookups.get(service);
  }

  /** Handles a call that a member of another service did not answer. */
  reportUnreachable(member: Member, isRefused: boolean): void {
    const view = this.views.get(member.service);
    if (!view) return;
    view.observeFailure(member.incarnation, isRefused);
    this.updateRouter(member.service, view);
  }

  /** Handles a refusal by a member that is leaving. */
  reportLeaving(member: Member): void {
    const view = this.views.get(member.service);
    if (!view) return;
    view.observeLeaving(member.incarnation);
    this.updateRouter(member.service, view);
  }

  /** Responds to a membership request of another node. */
  respond(request: MembershipRequest): Promise<MembershipResponse> {
    this.lastReplyId += 1;
    const replyTo = String(this.lastReplyId);
    return new Promise((resolve) => {
      this.pendingReplies.set(replyTo, resolve);
      const actions = this.membership.handleRequest(request, replyTo);
      this.apply(this.membership, actions);
    });
  }

  private setState(state: MemberState): void {
    this.apply(this.membership, this.membership.setState(state));
    this.updateOwnService();
  }

  private findView(service: string): ServiceView {
    const existing = this.views.get(service);
    if (existing) return existing;
    const {self, clock, random} = this.parts;
    const view = new ServiceView({
      service,
      sender: {service: self.service, incarnation: self.incarnation},
      dataCentre: self.dataCentre,
      clock,
      random,
    });
    this.views.set(service, view);
    return view;
  }

  private tick(): void {
    this.apply(this.membership, this.membership.tick());
    const nowMs = this.parts.clock.readMs();
    const isRouterUpdateDue = nowMs >= this.nextRouterUpdateMs;
    if (isRouterUpdateDue) this.nextRouterUpdateMs = nowMs + ROUTER_UPDATE_MS;
    for (const [service, view] of this.views) {
      this.apply(view, view.tick());
      if (isRouterUpdateDue) this.updateRouter(service, view);
      if (view.needsContacts()) void this.findContacts(service, view);
    }
    if (this.membership.needsContacts()) void this.findPeers();
    if (nowMs >= this.nextSeedWriteMs) void this.writeSeeds();
    this.updateOwnService();
  }

  private apply(
    source: ActionSource,
    actions: readonly MembershipAction[],
  ): void {
    for (const action of actions) {
      switch (action.kind) {
        case MembershipActionKind.SEND:
          void this.send(source, action);
          break;
        case MembershipActionKind.RESPOND:
          this.pendingReplies.get(action.replyTo)?.(action.response);
          this.pendingReplies.delete(action.replyTo);
          break;
        case MembershipActionKind.CHANGED:
          this.recordChange(action.member);
          break;
      }
    }
  }

  private async send(
    source: ActionSource,
    action: Extract<MembershipAction, {kind: MembershipActionKind.SEND}>,
  ): Promise<void> {
    const {requestId, to, request} = action;
    try {
      const response = await this.parts.send(to, request);
      this.apply(source, source.handleResponse(requestId, response));
    } catch (error) {
      const isRefused = String(error).includes('ECONNREFUSED');
      this.apply(source, source.handleFailure(requestId, isRefused));
    }
  }

  private recordChange(member: Member): void {
    const code = STATE_EVENTS.get(member.state);
    if (code === undefined) return;
    const {incarnation, service} = member;
    this.parts.record(code, {member: incarnation, service});
  }

  /** Passes the members of this node's service to router and entry ledger. */
  private updateOwnService(): void {
    // The router copies the list of members, so skip ticks without changes.
    const {sequence} = this.membership.table;
    if (sequence === this.routedSequence) return;
    this.routedSequence = sequence;
    const members = this.membership.list();
    this.parts.router.update(this.parts.self.service, members);
    this.parts.updateMembers(members);
  }

  private updateRouter(service: string, view: ServiceView): void {
    this.parts.router.update(service, view.listUsable());
  }

  /** Whether a look-up is due; failed look-ups back off exponentially. */
  private isLookupDue(service: string): boolean {
    const nowMs = this.parts.clock.readMs();
    const {attempts, nextAttemptMs} = this.lookupBackoffs.get(service) ?? {
      attempts: 0,
      nextAttemptMs: 0,
    };
    if (nowMs < nextAttemptMs) return false;
    const waitMs = Math.min(
      CONTACT_RETRY_MS,
      FIRST_LOOKUP_RETRY_MS * 2 ** attempts,
    );
    this.lookupBackoffs.set(service, {
      attempts: attempts + 1,
      nextAttemptMs: nowMs + waitMs,
    });
    return true;
  }

  private async findPeers(): Promise<void> {
    const {service} = this.parts.self;
    if (!this.isLookupDue(service)) return;
    const contacts = await this.readContacts(service);
    this.apply(this.membership, this.membership.start(contacts));
  }

  /** Starts a look-up of a called service and stores it while it is pending. */
  private async findContacts(
    service: string,
    view: ServiceView,
  ): Promise<void> {
    if (!this.isLookupDue(service)) return;
    const lookup = this.runLookup(service, view);
    this.pendingLookups.set(service, lookup);
    await lookup;
    this.pendingLookups.delete(service);
  }

  private async runLookup(service: string, view: ServiceView): Promise<void> {
    const contacts = await this.readContacts(service);
    view.addContacts(
      contacts.length > 0 ? contacts : await this.askPeers(service),
    );
    this.apply(view, view.tick());
    this.updateRouter(service, view);
    if (!view.needsContacts()) this.lookupBackoffs.delete(service);
  }

  /**
   * Asks peers of its own service, which often call the same services, for the
   * members of a service.
   */
  private async askPeers(service: string): Promise<MemberUpdate[]> {
    const {incarnation} = this.parts.self;
    const sender = {service: this.parts.self.service, incarnation};
    for (const peer of this.membership.list()) {
      if (peer.incarnation === incarnation) continue;
      const to = {address: peer.address, port: peer.controlPort};
      try {
        const response = await this.parts.send(to, {
          kind: MessageKind.LIST_MEMBERS,
          sender,
          service,
          informant: '',
          sinceSequence: 0,
          bucketHashes: [],
          changedWithinMs: 0,
          unreachable: [],
        });
        if (response.kind !== MessageKind.LIST_MEMBERS) continue;
        if (response.members.length > 0) return [...response.members];
      } catch {
        continue;
      }
    }
    return [];
  }

  /** Reads seed rows from the table, or from the mirror if that fails. */
  private async readContacts(service: string): Promise<MemberUpdate[]> {
    const {table, objectStore} = this.parts;
    try {
      const rows = await table.list(
        formatSeedPrefix(service),
        '',
        MAX_SEED_ROWS,
      );
      return parseSeedRows(rows);
    } catch {
      const content = await objectStore
        .read(formatMirrorName(service))
        .catch(() => undefined);
      return content ? parseMirror(Buffer.from(content).toString()) : [];
    }
  }

  /** Writes the seed rows and the mirror that this node owns and are due. */
  private async writeSeeds(): Promise<void> {
    const {clock, table, objectStore, self} = this.parts;
    const nowMs = clock.readMs();
    this.nextSeedWriteMs = nowMs + SEED_RETRY_MS;
    const {incarnation, service} = self;
    const members = this.membership.list();
    const owners = computeSeedOwners(members);
    const slots = decideSeedSlots(owners, incarnation, this.seedState, nowMs);
    try {
      if (slots.length > 0) {
        await table.run(createSeedTransaction(this.readSelf(), slots));
      }
      this.seedState = recordSeedSlots(
        owners,
        incarnation,
        this.seedState,
        slots,
        nowMs,
      );
      if (!isMirrorDue(owners, incarnation, this.seedState, nowMs)) return;
      const mirror = Buffer.from(formatMirror(members));
      await objectStore.write(formatMirrorName(service), mirror);
      this.seedState = {...this.seedState, mirroredMs: nowMs};
    } catch {
      // The platform is unavailable; the next round writes what is due.
    }
  }
}
