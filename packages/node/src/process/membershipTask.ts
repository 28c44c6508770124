/** Owns the membership of the own service and the views of called ones. */
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
/** The router learns of members of called services this often. */
const VIEW_UPDATE_MS = 500;
const SEED_ROWS = 100;
/** Second look-up of contacts after a first one without any. */
const FIRST_RETRY_MS = 100;

/** Sends a request over a control connection; rejects without an answer. */
export type MembershipSender = (
  to: Endpoint,
  request: MembershipRequest,
) => Promise<MembershipResponse>;

/** What the task works with. */
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
  /** Control endpoints from the settings. */
  readonly peers: readonly Endpoint[];
  readonly updateMembers: (members: readonly Member[]) => void;
}

interface ContactLookUp {
  readonly tries: number;
  readonly nextMs: number;
}

/** A membership or a view, as the driver of its actions sees it. */
interface Driven {
  handleResponse(id: number, response: MembershipResponse): MembershipAction[];
  handleFailure(id: number, refused: boolean): MembershipAction[];
}

const STATE_EVENTS: ReadonlyMap<MemberState, EventCode> = new Map([
  [MemberState.ACTIVE, EventCode.MEMBER_JOINED],
  [MemberState.SUSPECT, EventCode.MEMBER_SUSPECT],
  [MemberState.LEAVING, EventCode.MEMBER_LEAVING],
  [MemberState.DEAD, EventCode.MEMBER_DEAD],
]);

/** Drives the library's membership with messages, table and timers. */
export class MembershipTask {
  private readonly membership: Membership;
  private readonly views = new Map<string, ServiceView>();
  private readonly waiting = new Map<
    string,
    (response: MembershipResponse) => void
  >();
  private seeds: SeedState = EMPTY_SEED_STATE;
  private nextSeedMs = 0;
  private nextViewMs = 0;
  private routedSequence = -1;
  private readonly pendingLookUps = new Map<string, Promise<void>>();
  private readonly lookUps = new Map<string, ContactLookUp>();
  private nextReply = 0;
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

  /** Joins through the seeds, the mirror or the peers of the settings. */
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

  /** Tells the service that this node takes calls. */
  announceActive(): void {
    this.setState(MemberState.ACTIVE);
    void this.writeSeeds();
  }

  /** Tells the service that the upstream of this node is gone or back. */
  announceUpstream(isUp: boolean): void {
    if (this.readSelf().state === MemberState.LEAVING) return;
    this.setState(isUp ? MemberState.ACTIVE : MemberState.SUSPECT);
  }

  announceLeave(): void {
    this.apply(this.membership, this.membership.announceLeave());
    this.updateOwnService();
  }

  /** New work came in; reports it when the node has long been leaving. */
  observeWork(requestId: string): void {
    this.membership.observeWork(requestId);
  }

  /** True until the node has heard from a peer after a start or a pause. */
  isStale(): boolean {
    return this.membership.isStale();
  }

  readSelf(): Member {
    return this.membership.readSelf();
  }

  /** All members that this node knows, of its own and of called services. */
  list(): Member[] {
    const others = [...this.views.values()].flatMap((view) => view.list());
    return [...this.membership.list(), ...others];
  }

  /** Members of the own service, this node included. */
  listOwn(): Member[] {
    return this.membership.list();
  }

  /**
   * Keeps the members of a called service up to date. The first call waits for
   * the look-up; undefined when members are known.
   */
  subscribe(service: string): Promise<void> | undefined {
    if (service === this.parts.self.service) return undefined;
    const view = this.findView(service);
    this.apply(view, view.observeCall());
    if (!view.needsContacts()) return undefined;
    void this.findContacts(service, view);
    return this.pendingLookUps.get(service);
  }

  /** A member did not answer a call. */
  reportUnreachable(member: Member, isRefused: boolean): void {
    const view = this.views.get(member.service);
    if (!view) return;
    view.observeFailure(member.incarnation, isRefused);
    this.updateRouter(member.service, view);
  }

  /** A member refused a call because it leaves. */
  reportLeaving(member: Member): void {
    const view = this.views.get(member.service);
    if (!view) return;
    view.observeLeaving(member.incarnation);
    this.updateRouter(member.service, view);
  }

  /** Answers a request of another node. */
  respond(request: MembershipRequest): Promise<MembershipResponse> {
    this.nextReply += 1;
    const replyTo = String(this.nextReply);
    return new Promise((resolve) => {
      this.waiting.set(replyTo, resolve);
      const actions = this.membership.handleRequest(request, replyTo);
      this.apply(this.membership, actions);
    });
  }

  private setState(state: MemberState): void {
    this.apply(this.membership, this.membership.setState(state));
    this.updateOwnService();
  }

  private findView(service: string): ServiceView {
    const known = this.views.get(service);
    if (known) return known;
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
    const isViewDue = nowMs >= this.nextViewMs;
    if (isViewDue) this.nextViewMs = nowMs + VIEW_UPDATE_MS;
    for (const [service, view] of this.views) {
      this.apply(view, view.tick());
      if (isViewDue) this.updateRouter(service, view);
      if (view.needsContacts()) void this.findContacts(service, view);
    }
    if (this.membership.needsContacts()) void this.findPeers();
    if (nowMs >= this.nextSeedMs) void this.writeSeeds();
    this.updateOwnService();
  }

  private apply(driven: Driven, actions: readonly MembershipAction[]): void {
    for (const action of actions) {
      switch (action.kind) {
        case MembershipActionKind.SEND:
          void this.send(driven, action);
          break;
        case MembershipActionKind.RESPOND:
          this.waiting.get(action.replyTo)?.(action.response);
          this.waiting.delete(action.replyTo);
          break;
        case MembershipActionKind.CHANGED:
          this.recordChange(action.member);
          break;
      }
    }
  }

  private async send(
    driven: Driven,
    action: Extract<MembershipAction, {kind: MembershipActionKind.SEND}>,
  ): Promise<void> {
    const {requestId, to, request} = action;
    try {
      const response = await this.parts.send(to, request);
      this.apply(driven, driven.handleResponse(requestId, response));
    } catch (error) {
      const isRefused = String(error).includes('ECONNREFUSED');
      this.apply(driven, driven.handleFailure(requestId, isRefused));
    }
  }

  private recordChange(member: Member): void {
    const code = STATE_EVENTS.get(member.state);
    if (code === undefined) return;
    const {incarnation, service} = member;
    this.parts.record(code, {member: incarnation, service});
  }

  /** The router calls members of the own service as of any other. */
  private updateOwnService(): void {
    // The router copies the members; most ticks change none.
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

  /** Look-ups of a service come at growing intervals while they fail. */
  private isLookUpDue(service: string): boolean {
    const nowMs = this.parts.clock.readMs();
    const {tries, nextMs} = this.lookUps.get(service) ?? {tries: 0, nextMs: 0};
    if (nowMs < nextMs) return false;
    const waitMs = Math.min(CONTACT_RETRY_MS, FIRST_RETRY_MS * 2 ** tries);
    this.lookUps.set(service, {tries: tries + 1, nextMs: nowMs + waitMs});
    return true;
  }

  private async findPeers(): Promise<void> {
    const {service} = this.parts.self;
    if (!this.isLookUpDue(service)) return;
    const contacts = await this.readContacts(service);
    this.apply(this.membership, this.membership.start(contacts));
  }

  /** Peers of the own service often call the same services. */
  private async findContacts(
    service: string,
    view: ServiceView,
  ): Promise<void> {
    if (!this.isLookUpDue(service)) return;
    const lookUp = this.runLookUp(service, view);
    this.pendingLookUps.set(service, lookUp);
    await lookUp;
    this.pendingLookUps.delete(service);
  }

  private async runLookUp(service: string, view: ServiceView): Promise<void> {
    const contacts = await this.readContacts(service);
    view.addContacts(
      contacts.length > 0 ? contacts : await this.askPeers(service),
    );
    this.apply(view, view.tick());
    this.updateRouter(service, view);
    if (!view.needsContacts()) this.lookUps.delete(service);
  }

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

  /** Rows of the table, or the mirror while the table is down. */
  private async readContacts(service: string): Promise<MemberUpdate[]> {
    const {table, objectStore} = this.parts;
    try {
      const rows = await table.list(formatSeedPrefix(service), '', SEED_ROWS);
      return parseSeedRows(rows);
    } catch {
      const content = await objectStore
        .read(formatMirrorName(service))
        .catch(() => undefined);
      return content ? parseMirror(Buffer.from(content).toString()) : [];
    }
  }

  private async writeSeeds(): Promise<void> {
    const {clock, table, objectStore, self} = this.parts;
    const nowMs = clock.readMs();
    this.nextSeedMs = nowMs + SEED_RETRY_MS;
    const {incarnation, service} = self;
    const members = this.membership.list();
    const owners = computeSeedOwners(members);
    const slots = decideSeedSlots(owners, incarnation, this.seeds, nowMs);
    try {
      if (slots.length > 0) {
        await table.run(createSeedTransaction(this.readSelf(), slots));
      }
      this.seeds = recordSeedSlots(
        owners,
        incarnation,
        this.seeds,
        slots,
        nowMs,
      );
      if (!isMirrorDue(owners, incarnation, this.seeds, nowMs)) return;
      const mirror = Buffer.from(formatMirror(members));
      await objectStore.write(formatMirrorName(service), mirror);
      this.seeds = {...this.seeds, mirroredMs: nowMs};
    } catch {
      // The platform is down; the next round writes what is due.
    }
  }
}
