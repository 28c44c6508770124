/** State machine of a graceful shutdown. */
import type {Clock} from '../clock.js';
import type {InvariantReporter} from '../invariants.js';
import {Invariant} from '../invariants.js';

/**
 * The listeners stay open for this long after the announcement, so that a
 * caller that has not heard of it gets NOT_RUN instead of a closed connection.
 */
export const ANNOUNCE_MS = 3_000;

export enum DrainState {
  SERVING = 'serving',
  /** New work is refused; running requests and records are waited for. */
  LEAVING = 'leaving',
  CLOSED = 'closed',
}

export enum DrainActionKind {
  ANNOUNCE_LEAVING = 'announce-leaving',
  /** Answer a waiting request NOT_RUN with the reason `leaving`. */
  REFUSE = 'refuse',
  /** Answer the drain calls of the upstream: it runs nothing any more. */
  ANSWER_UPSTREAM = 'answer-upstream',
  /** Close the listeners, then exit with status 0. */
  CLOSE_AND_EXIT = 'close-and-exit',
}

export type DrainAction =
  | {readonly kind: DrainActionKind.REFUSE; readonly ticket: string}
  | {readonly kind: Exclude<DrainActionKind, DrainActionKind.REFUSE>};

interface Work {
  readonly deadline: number;
  isRunning: boolean;
}

/**
 * Follows all work of the node. A stop of the node and a drain by the
 * upstream start the same sequence; each may come again or join the other.
 */
export class Drain {
  private state = DrainState.SERVING;
  private readonly work = new Map<string, Work>();
  /** Records that answer resends, with the deadline of their caller. */
  private readonly records = new Map<string, number>();
  private leavingSinceMs = 0;
  private isUpstreamWaiting = false;

  constructor(
    private readonly clock: Clock,
    private readonly report: InvariantReporter,
  ) {}

  readState(): DrainState {
    return this.state;
  }

  /** Takes a new request; false when it has to be refused. */
  admit(ticket: string, deadline: number): boolean {
    if (this.state !== DrainState.SERVING) return false;
    this.work.set(ticket, {deadline, isRunning: false});
    return true;
  }

  /**
   * Admits an outgoing call of the upstream. Once the node is leaving, only
   * calls of running requests are admitted; they end with their parent.
   */
  admitCall(parent: string | undefined): boolean {
    if (this.state === DrainState.SERVING) return true;
    return parent !== undefined && this.work.get(parent)?.isRunning === true;
  }

  /** Starts an admitted request; false when it has been refused since. */
  start(ticket: string): boolean {
    const work = this.work.get(ticket);
    if (!work || this.state !== DrainState.SERVING) return false;
    work.isRunning = true;
    return true;
  }

  /**
   * A request or a claim has ended. `recordDeadline` is set when a record has
   * to answer resends until the response is known to have arrived.
   */
  finish(ticket: string, recordDeadline?: number): DrainAction[] {
    this.work.delete(ticket);
    if (recordDeadline !== undefined) this.records.set(ticket, recordDeadline);
    return this.tick();
  }

  /** The caller gave up; a request that runs is waited for all the same. */
  cancel(ticket: string): DrainAction[] {
    if (!this.work.get(ticket)?.isRunning) this.work.delete(ticket);
    return this.tick();
  }

  /** The caller has received the response that the record holds. */
  markDelivered(ticket: string): DrainAction[] {
    this.records.delete(ticket);
    return this.tick();
  }

  /** SIGTERM; a second one changes nothing. */
  stopNode(): DrainAction[] {
    return this.startLeaving();
  }

  /** The upstream asks to be drained. */
  drainUpstream(): DrainAction[] {
    if (this.state === DrainState.CLOSED) {
      return [{kind: DrainActionKind.ANSWER_UPSTREAM}];
    }
    this.isUpstreamWaiting = true;
    return this.startLeaving();
  }

  /** Moves the sequence on; at least every 100 ms while leaving. */
  tick(): DrainAction[] {
    if (this.state !== DrainState.LEAVING) {
      this.expireRecords();
      return [];
    }
    this.expireRecords();
    return [...this.finishUpstream(), ...this.close()];
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

  private finishUpstream(): DrainAction[] {
    if (!this.isUpstreamWaiting || this.hasLiveWork()) return [];
    this.isUpstreamWaiting = false;
    return [{kind: DrainActionKind.ANSWER_UPSTREAM}];
  }

  private close(): DrainAction[] {
    const now = this.clock.readMs();
    const isAnnounced = now - this.leavingSinceMs >= ANNOUNCE_MS;
    if (!isAnnounced || this.hasLiveWork() || this.records.size > 0) return [];
    this.checkNothingIsCut(now);
    this.state = DrainState.CLOSED;
    return [{kind: DrainActionKind.CLOSE_AND_EXIT}];
  }

  /** True while the caller of some work still waits for it. */
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

  private checkNothingIsCut(now: number): void {
    for (const [ticket, work] of this.work) {
      if (work.deadline <= now) continue;
      this.report(
        Invariant.STOP_CUTS_NOTHING,
        `request ${ticket} has ${work.deadline - now} ms left at the exit`,
      );
    }
  }
}
