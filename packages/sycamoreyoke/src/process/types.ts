import type {Importance, RefusalReason} from '../types.js';

/** A request that asks the gate for a slot of the upstream. */
export interface Arrival {
  /** Unique for each send at this node. */
  readonly ticket: string;
  readonly importance: Importance;
  /** On the clock of the gate, in milliseconds. */
  readonly deadline: number;
  /** Groups requests of like service time; the importance stands in for it. */
  readonly requestClass?: string;
}

/** How a started request ended, as the gate needs it. */
export enum Completion {
  SUCCEEDED = 'succeeded',
  /** The upstream refused it for load. */
  SHED_BY_UPSTREAM = 'shed-by-upstream',
  /** It failed because a call that it made was refused for load. */
  SHED_DOWNSTREAM = 'shed-downstream',
  FAILED = 'failed',
  TIMED_OUT = 'timed-out',
  CANCELLED = 'cancelled',
}

export enum GateActionKind {
  START = 'start',
  REFUSE = 'refuse',
}

/** What the daemon has to do for a ticket. */
export type GateAction =
  | {readonly kind: GateActionKind.START; readonly ticket: string}
  | {
      readonly kind: GateActionKind.REFUSE;
      readonly ticket: string;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
    };

/** Lowest importance that the gate admits now. */
export interface AdmissionLevel {
  readonly lowestAdmitted: Importance;
  readonly validMs: number;
}

/** Decides which requests run on the upstream, and when. */
export interface Gate {
  offer(arrival: Arrival): GateAction[];
  /** `childMs`: time in which the upstream waited for calls of its own. */
  finish(
    ticket: string,
    completion: Completion,
    childMs?: number,
  ): GateAction[];
  cancel(ticket: string): GateAction[];
  tick(): GateAction[];
  readLevel(): AdmissionLevel;
  countRunning(): number;
  countWaiting(): number;
  readLimit(): number;
}

export enum MemberState {
  JOINING = 'joining',
  ACTIVE = 'active',
  SUSPECT = 'suspect',
  LEAVING = 'leaving',
  DEAD = 'dead',
}

/** What the members of a service know about one of them. */
export interface Member {
  readonly service: string;
  /** Random for each start of the node process. */
  readonly incarnation: string;
  /** Raised by the member itself to refute a wrong state. */
  readonly counter: number;
  readonly address: string;
  readonly peerPort: number;
  readonly controlPort: number;
  readonly adminPort: number;
  readonly publicPort: number;
  readonly dataCentre: string;
  readonly region: string;
  readonly state: MemberState;
  /** Announced slots of the upstream; a hint for routing. */
  readonly weight: number;
  readonly epoch: number;
  /** Start of the process on the reader's own clock, from its age on the wire. */
  readonly startedMs?: number;
}

/** Narrows a choice, for example to members whose gate admits the request. */
export type MemberFilter = (member: Member) => boolean;

/** The router's choice of a member for a call. */
export interface Router {
  choose(
    service: string,
    excluded: ReadonlySet<string>,
    isEligible?: MemberFilter,
  ): Member | undefined;
  start(incarnation: string): void;
  finish(incarnation: string, latencyMs: number, failed: boolean): void;
  update(service: string, members: readonly Member[]): void;
  list(service: string): readonly Member[];
}
