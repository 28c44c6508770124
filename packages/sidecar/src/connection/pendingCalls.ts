/** The calls of an origin on one link that have no result yet. */
import {RESUME_IDEMPOTENT_MS, RESUME_WAIT_MS} from '../constants.js';
import type {CallResult, ResultHandler} from '../types.js';
import {createLoss} from './callFailure.js';

interface PendingEntry {
  readonly isIdempotent: boolean;
  /** When the call takes longer than usual, clock ms. */
  readonly overdueMs: number;
  readonly handle: ResultHandler;
}

/**
 * Matches results to calls. When the link is lost, the calls wait for another
 * connection, on which the gate tells what became of them. Idempotent calls
 * wait only briefly, as they can be sent to another node instead.
 */
export class PendingCalls {
  private readonly entries = new Map<number, PendingEntry>();
  /** Calls of a lost connection that the gate has not been asked about. */
  private uncertainIds: ReadonlySet<number> = new Set();
  private timers: readonly NodeJS.Timeout[] = [];

  count(): number {
    return this.entries.size;
  }

  listIds(): readonly number[] {
    return [...this.entries.keys()];
  }

  add(id: number, entry: PendingEntry): void {
    this.entries.set(id, entry);
  }

  /** Whether a call takes longer than usual, which may be the link's fault. */
  hasOverdue(nowMs: number): boolean {
    for (const {overdueMs} of this.entries.values()) {
      if (overdueMs <= nowMs) return true;
    }
    return false;
  }

  /** Forgets a call; returns false if it already has its result. */
  remove(id: number): boolean {
    return this.entries.delete(id);
  }

  /** Hands a result to its call, unless the call was cancelled. */
  settle(id: number, result: CallResult): void {
    const entry = this.entries.get(id);
    this.entries.delete(id);
    entry?.handle(result);
  }

  /**
   * Ends all calls with a result that applies to those of this connection; the
   * calls of a lost one may have run.
   */
  settleAll(result: CallResult): void {
    const {uncertainIds} = this;
    this.stopWaiting();
    const entries = [...this.entries];
    this.entries.clear();
    for (const [id, {handle}] of entries) {
      handle(uncertainIds.has(id) ? createLoss() : result);
    }
  }

  /**
   * Limits the time until the gate has told what became of the calls, however
   * often the link is lost meanwhile.
   */
  startWaiting(handleExpiry: () => void): void {
    if (this.entries.size === 0) return;
    this.uncertainIds = new Set(this.entries.keys());
    if (this.timers.length > 0) return;
    const expire = (isDue: (entry: PendingEntry) => boolean) => {
      const {uncertainIds} = this;
      for (const [id, entry] of [...this.entries]) {
        if (uncertainIds.has(id) && isDue(entry)) this.settle(id, createLoss());
      }
      if (this.entries.size === 0) this.stopWaiting();
      handleExpiry();
    };
    this.timers = [
      setTimeout(
        () => expire(({isIdempotent}) => isIdempotent),
        RESUME_IDEMPOTENT_MS,
      ),
      setTimeout(() => {
        this.timers = [];
        expire(() => true);
      }, RESUME_WAIT_MS),
    ];
  }

  stopWaiting(): void {
    for (const timer of this.timers) clearTimeout(timer);
    this.timers = [];
    this.uncertainIds = new Set();
  }
}
