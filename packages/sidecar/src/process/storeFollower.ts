/** Follows a table of the store: lists it, then long-polls for changes. */
import type {Clock} from 'sycamoreyoke/clock';
import {PlatformUnavailableError, SycamoreyokeError} from 'sycamoreyoke/errors';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {
  RELIST_PERIOD_MS,
  RELIST_INTERVAL_MS,
  MIN_RESET_AGE_MS,
  STORE_RETRY_MAX_MS,
  STORE_RETRY_MIN_MS,
} from '../constants.js';
import type {FleetStore, StoredRow, StoreTable} from '../types.js';

/** The store no longer has the changes after the requested version. */
export class HistoryLostError extends SycamoreyokeError {}

/** A call to the store got no answer; its connection may be dead. */
export class StoreSilentError extends PlatformUnavailableError {}

/** Dependencies of a follower. */
export interface StoreFollowerParts {
  readonly clock: Clock;
  readonly store: FleetStore;
  readonly table: StoreTable;
  readonly record: EventRecorder;
  /** Called with all rows and their version, after a list. */
  readonly handleAllRows: (rows: readonly StoredRow[], version: number) => void;
  readonly handleChangedRows: (rows: readonly StoredRow[]) => void;
  /** Pause after changes, so that several are read at once; ms. */
  readonly choosePauseMs: (changesInARow: number) => number;
  /** Chooses the length of the next wait for changes, ms. */
  readonly chooseWaitMs: () => number;
  /** Called when a call to the store got no answer. */
  readonly handleSilence: () => void;
}

/** Keeps a long poll for the changes of one table open. */
export class StoreFollower {
  private isStopped = false;
  private isReachable = true;
  private version: number | undefined;
  private retryMs = STORE_RETRY_MIN_MS;
  private changesInARow = 0;
  private abortController = new AbortController();
  private lastAnswerMs: number;
  private lastCallMs = 0;
  private isReset = false;
  /** Until then lists may be older than the lost history; clock ms. */
  private relistUntilMs = -Infinity;

  constructor(private readonly parts: StoreFollowerParts) {
    this.lastAnswerMs = parts.clock.readMs();
  }

  /** Whether the table was listed and the last call to the store succeeded. */
  hasContact(): boolean {
    return this.isReachable && this.version !== undefined;
  }

  /** Whether the table is listed; false again once its history is lost. */
  isListed(): boolean {
    return this.version !== undefined;
  }

  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.poll();
        this.markReachable();
      } catch (error) {
        if (this.isStopped) return;
        if (this.isReset) continue;
        await this.handleFailure(error as Error);
      }
    }
  }

  /** Aborts a wait that may hang on a dead connection, and starts another. */
  reset(): void {
    if (this.parts.clock.readMs() - this.lastCallMs < MIN_RESET_AGE_MS) return;
    this.isReset = true;
    this.abortController.abort();
  }

  stop(): void {
    this.isStopped = true;
    this.abortController.abort();
  }

  private async poll(): Promise<void> {
    const {store, table, clock} = this.parts;
    this.abortController = new AbortController();
    this.isReset = false;
    this.lastCallMs = clock.readMs();
    if (this.version === undefined) {
      await this.list();
      return;
    }
    const isRelisting = clock.readMs() < this.relistUntilMs;
    const {rows, version} = await store.watch(
      table,
      this.version,
      isRelisting ? RELIST_INTERVAL_MS : this.parts.chooseWaitMs(),
      this.abortController.signal,
    );
    this.version = Math.max(version, this.version);
    if (rows.length > 0) this.parts.handleChangedRows(rows);
    if (isRelisting) await this.list();
    this.changesInARow = rows.length > 0 ? this.changesInARow + 1 : 0;
    if (this.changesInARow === 0 || isRelisting) return;
    const pauseMs = this.parts.choosePauseMs(this.changesInARow);
    if (pauseMs > 0) await wait(pauseMs);
  }

  private async list(): Promise<void> {
    const {rows, version} = await this.parts.store.list(this.parts.table);
    this.parts.handleAllRows(rows, version);
    this.version = Math.max(version, this.version ?? version);
  }

  private async handleFailure(error: Error): Promise<void> {
    const {table, record, clock} = this.parts;
    if (error instanceof HistoryLostError) {
      const isRepeated = clock.readMs() < this.relistUntilMs;
      this.version = undefined;
      this.relistUntilMs = clock.readMs() + RELIST_PERIOD_MS;
      record(EventCode.STORE_HISTORY_LOST, {table});
      if (isRepeated) await wait(RELIST_INTERVAL_MS);
      return;
    }
    if (error instanceof StoreSilentError) this.parts.handleSilence();
    const {message} = error;
    const silentMs = Math.round(clock.readMs() - this.lastAnswerMs);
    record(EventCode.STORE_CALL_FAILED, {table, message, silentMs});
    if (this.isReachable) {
      record(EventCode.PLATFORM_UNAVAILABLE, {table, message});
    }
    this.isReachable = false;
    await wait(this.retryMs);
    this.retryMs = Math.min(STORE_RETRY_MAX_MS, 2 * this.retryMs);
  }

  private markReachable(): void {
    if (!this.isReachable) {
      this.parts.record(EventCode.PLATFORM_AVAILABLE, {
        table: this.parts.table,
      });
    }
    this.isReachable = true;
    this.lastAnswerMs = this.parts.clock.readMs();
    this.retryMs = STORE_RETRY_MIN_MS;
  }
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
