import type {Importance, RefusalReason} from '../types.js';

/** A request that needs a slot of the upstream. */
export interface Arrival {
  /** Unique for each send at this node. */
  readonly ticket: string;
  readonly importance: Importance;
  /** Time on the clock of the gate, ms. */
  readonly deadline: number;
  /** Groups requests of similar service time; defaults to the importance. */
  readonly requestClass?: string;
  /**
   * Client account between which capacity is shared. Requests without one form
   * an account of their own.
   */
  readonly account?: string | undefined;
}

/** Result of a started request, as far as the gate needs it. */
export enum Completion {
  SUCCEEDED = 'succeeded',
  /** The upstream refused it because of overload. */
  SHED_BY_UPSTREAM = 'shed-by-upstream',
  /** It failed because one of its calls was refused because of overload. */
  SHED_DOWNSTREAM = 'shed-downstream',
  FAILED = 'failed',
  TIMED_OUT = 'timed-out',
  CANCELLED = 'cancelled',
}

export enum GateActionKind {
  START = 'start',
  REFUSE = 'refuse',
}

/** Action that the daemon has to carry out for a ticket. */
export type GateAction =
  | {readonly kind: GateActionKind.START; readonly ticket: string}
  | {
      readonly kind: GateActionKind.REFUSE;
      readonly ticket: string;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
    };

/** Lowest importance that the gate admits, and for how long it holds. */
export interface AdmissionLevel {
  readonly lowestAdmitted: Importance;
  readonly validMs: number;
}

/** Decides which requests run on the upstream, and when. */
export interface Gate {
  offer(arrival: Arrival): GateAction[];
  /** @param childMs time that the upstream waited for its own calls. */
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

/** Record of a member, as shared within its service. */
export interface Member {
  readonly service: string;
  /** Random id of one run of the node process. */
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

/** Returns true for members that may be chosen. */
export type MemberFilter = (member: Member) => boolean;

/** Chooses the member that a call is sent to. */
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
