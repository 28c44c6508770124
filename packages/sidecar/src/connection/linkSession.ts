/**
 * The calls of one origin at a gate, which outlive the connection that brought
 * them. An origin that has lost its link dials again, names its session and
 * asks what became of its pending calls.
 */
import type {CallResult, PendingCall} from '../types.js';
import {createLoss, createNonArrival} from './callFailure.js';
import type {ResultRetention} from './resultRetention.js';

/** The connection over which a session sends its results. */
export interface SessionLink {
  sendResult(id: number, result: CallResult): void;
  /** Called when a call has ended, which may be the last one. */
  handleCallEnd(): void;
  /** Closes the connection unread, as another one has replaced it. */
  disconnect(): void;
}

/** Tracks the calls of a session and their unacknowledged results. */
export class LinkSession {
  link: SessionLink | undefined;
  private readonly runningCalls = new Map<number, PendingCall>();
  private readonly results = new Map<number, CallResult>();
  private highestId = 0;

  constructor(
    /** Differs between the sessions of a process, also of the same name. */
    readonly epoch: number,
    /** Keeps results until they are acknowledged; undefined to keep none. */
    private readonly retention: ResultRetention | undefined,
  ) {}

  countRunning(): number {
    return this.runningCalls.size;
  }

  listRunning(): ReadonlyArray<readonly [number, PendingCall]> {
    return [...this.runningCalls];
  }

  /** Records a call that has arrived, and how to cancel it. */
  add(id: number, call: PendingCall): void {
    this.highestId = Math.max(this.highestId, id);
    this.runningCalls.set(id, call);
  }

  /** Forgets a call that ends without a result; returns false if unknown. */
  remove(id: number): boolean {
    return this.runningCalls.delete(id);
  }

  /** Sends the result of a call and keeps it until it is acknowledged. */
  settle(id: number, result: CallResult): void {
    this.highestId = Math.max(this.highestId, id);
    this.runningCalls.delete(id);
    if (this.retention?.add(this, id, result.body.length)) {
      this.results.set(id, result);
    }
    this.link?.sendResult(id, result);
    this.link?.handleCallEnd();
  }

  /** Cancels a call; one that may not be repeated and runs is left to run. */
  cancel(id: number): void {
    const call = this.runningCalls.get(id);
    this.runningCalls.delete(id);
    call?.cancel();
    this.link?.handleCallEnd();
  }

  cancelAll(): void {
    const calls = [...this.runningCalls.values()];
    this.runningCalls.clear();
    for (const call of calls) call.cancel();
  }

  /** Drops the results that the origin has received. */
  removeAcknowledged(ids: readonly number[]): void {
    for (const id of ids) this.removeResult(id);
  }

  /** Drops a result; a later question about it is answered as unknown. */
  removeResult(id: number): void {
    this.results.delete(id);
  }

  /**
   * Answers what became of the calls that are pending at the origin. Running
   * calls answer when they end, and those that the origin has given up are
   * cancelled. A call above the highest id never arrived: it was sent in this
   * epoch, and its connection is closed and will not be read.
   */
  resume(pendingIds: readonly number[]): void {
    const pending = new Set(pendingIds);
    for (const id of this.runningCalls.keys()) {
      if (!pending.has(id)) this.cancel(id);
    }
    for (const id of pending) {
      if (this.runningCalls.has(id)) continue;
      const hasArrived = id <= this.highestId;
      const fallback = hasArrived ? createLoss() : createNonArrival();
      this.link?.sendResult(id, this.results.get(id) ?? fallback);
    }
  }

  /** Answers as unknown what the session cannot tell. */
  refuseResume(pendingIds: readonly number[]): void {
    for (const id of pendingIds) this.link?.sendResult(id, createLoss());
  }
}
