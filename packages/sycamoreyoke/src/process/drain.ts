/** State machine of the graceful shutdown of a node. */
import type {Clock} from '../clock.js';
import type {InvariantReporter} from '../invariants.js';
import {Invariant} from '../invariants.js';

/**
 * Minimum time between announcing the shutdown and closing the listeners. A
 * caller that has not yet received the announcement gets NOT_RUN instead of a
 * closed connection.
 */
export const MIN_LEAVING_MS = 3_000;

export enum DrainState {
  SERVING = 'serving',
  /**
   * New requests are refused. The node waits for running requests to finish
   * and for response records to be delivered or to expire.
   */
  LEAVING = 'leaving',
  CLOSED = 'closed',
}

export enum DrainActionKind {
  ANNOUNCE_LEAVING = 'announce-leaving',
  /** Answer a queued request NOT_RUN with the reason `leaving`. */
  REFUSE = 'refuse',
  /** Answer the drain calls of the upstream: no request runs on it anymore. */
  ANSWER_UPSTREAM = 'answer-upstream',
  /** Close the listeners, then exit with status 0. */
  CLOSE_AND_EXIT = 'close-and-exit',
}

export type DrainAction =
  | {readonly kind: DrainActionKind.REFUSE; readonly ticket: string}
  | {readonly kind: Exclude<DrainActionKind, DrainActionKind.REFUSE>};

interface TrackedRequest {
  readonly deadline: number;
  isRunning: boolean;
}

/**
 * Tracks all requests of the node and decides when it may shut down. Stopping
 * the node and draining the upstream start the same sequence; both may be
 * requested repeatedly and in any order.
 */
export class Drain {
  private state = DrainState.SERVING;
  private readonly work = new Map<string, TrackedRequest>();
  /** Deadlines of the callers whose resends a response record answers. */
  private readonly records = new Map<string, number>();
  private leavingSinceMs = 0;
  private isUpstreamDrainPending = false;

  constructor(
    private readonly clock: Clock,
    private readonly report: InvariantReporter,
  ) {}

  readState(): DrainState {
    return this.state;
  }

  /** Admits a new request. Returns false if it must be refused. */
  admit(ticket: string, deadline: number): boolean {
    if (this.state !== DrainState.SERVING) return false;
    this.work.set(ticket, {deadline, isRunning: false});
    return true;
  }

  /**
   * Decides whether the upstream may make an outgoing call. Once the node is
   * leaving, only calls on behalf of a running request are admitted, since they
   * end no later than that request.
   */
  admitCall(parent: string | undefined): boolean {
    if (this.state === DrainState.SERVING) return true;
    return parent !== undefined && this.work.get(parent)?.isRunning === true;
  }

  /** Starts an admitted request. Returns false if it was refused meanwhile. */
  start(ticket: string): boolean {
    const work = this.work.get(ticket);
    if (!work || this.state !== DrainState.SERVING) return false;
    work.isRunning = true;
    return true;
  }

  /**
   * Handles the end of a request or claim. `recordDeadline` is set if a
   * response record must be kept to answer resends until the response is known
   * to have been delivered.
   */
  finish(ticket: string, recordDeadline?: number): DrainAction[] {
    this.work.delete(ticket);
    if (recordDeadline !== undefined) this.records.set(ticket, recordDeadline);
    return this.tick();
  }

  /** Handles a cancellation by the caller. A running request stays tracked. */
  cancel(ticket: string): DrainAction[] {
    if (!this.work.get(ticket)?.isRunning) this.work.delete(ticket);
    return this.tick();
  }

  /** Removes the record of a response that the caller has received. */
  markDelivered(ticket: string): DrainAction[] {
    this.records.delete(ticket);
    return this.tick();
  }

  /** Starts the shutdown on SIGTERM; further signals have no effect. */
  stopNode(): DrainAction[] {
    return this.startLeaving();
  }

  /** Handles a drain call of the upstream. */
  drainUpstream(): DrainAction[] {
    if (this.state === DrainState.CLOSED) {
      return [{kind: DrainActionKind.ANSWER_UPSTREAM}];
    }
    this.isUpstreamDrainPending = true;
    return this.startLeaving();
  }

  /** Advances the shutdown. Call at least every 100 ms while leaving. */
  tick(): DrainAction[] {
    if (this.state !== DrainState.LEAVING) {
      this.expireRecords();
      return [];
    }
    this.expireRecords();
    return [...this.answerUpstream(), ...this.close()];
  }

  countWork(): number {
    return this.work.size;
  }

  private startLeaving(): DrainAction[] {
    if (this.state !== DrainState.SERVING) return this.tick();
    this.state = DrainState.LEAVING;
    this.leavingSinceMs = this.clock.readMs();
    const waiting = [...this.work].filter(([, work]) => !work.isRunning);
    waiting.forEach(([ticket]) => this.work.delete(ticket));
    return [
      {kind: DrainActionKind.ANNOUNCE_LEAVING},
      ...waiting.map(([ticket]): DrainAction => ({
        kind: DrainActionKind.REFUSE,
        ticket,
      })),
      ...this.tick(),
    ];
  }

  private answerUpstream(): DrainAction[] {
    if (!this.isUpstreamDrainPending || this.hasLiveWork()) return [];
    this.isUpstreamDrainPending = false;
    return [{kind: DrainActionKind.ANSWER_UPSTREAM}];
  }

  private close(): DrainAction[] {
    const now = this.clock.readMs();
    const isPeriodOver = now - this.leavingSinceMs >= MIN_LEAVING_MS;
    if (!isPeriodOver || this.hasLiveWork() || this.records.size > 0) return [];
    this.checkNoLiveWork(now);
    this.state = DrainState.CLOSED;
    return [{kind: DrainActionKind.CLOSE_AND_EXIT}];
  }

  /** Whether any caller still waits for its request. */
  private hasLiveWork(): boolean {
    const now = this.clock.readMs();
    return [...this.work.values()].some(({deadline}) => deadline > now);
  }

  private expireRecords(): void {
    const now = this.clock.readMs();
    for (const [ticket, deadline] of this.records) {
      if (deadline <= now) this.records.delete(ticket);
    }
  }

  private checkNoLiveWork(now: number): void {
    for (const [ticket, work] of this.work) {
      if (work.deadline <= now) continue;
      this.report(
        Invariant.STOP_CUTS_NOTHING,
        `request ${ticket} still has ${work.deadline - now} ms before its deadline at exit`,
      );
    }
  }
}
