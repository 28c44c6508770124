/** Follows one table of the store: lists it, then waits for its changes. */
import type {Clock} from 'sycamoreyoke/clock';
import {PlatformUnavailableError, SycamoreyokeError} from 'sycamoreyoke/errors';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {
  LIST_AGAIN_MS,
  LIST_INTERVAL_MS,
  RESET_PAUSE_MS,
  STORE_RETRY_MAX_MS,
  STORE_RETRY_MIN_MS,
} from '../constants.js';
import type {FleetStore, StoredRow, StoreTable} from '../types.js';

/** The store has dropped the changes that were asked for. */
export class HistoryLostError extends SycamoreyokeError {}

/** A call to the store has had no answer; its connection may be silent. */
export class StoreSilentError extends PlatformUnavailableError {}

/** What a follower is built from. */
export interface StoreFollowerParts {
  readonly clock: Clock;
  readonly store: FleetStore;
  readonly table: StoreTable;
  readonly record: EventRecorder;
  /** All rows, after a list. */
  readonly handleAll: (rows: readonly StoredRow[], version: number) => void;
  readonly handleChanges: (rows: readonly StoredRow[]) => void;
  /** Pause after changes, so that several cost one read; ms. */
  readonly pauseMs: number;
  /** Length of the next wait for changes, ms. */
  readonly chooseWaitMs: () => number;
  /** Called when a call has had no answer. */
  readonly handleSilence: () => void;
}

/** Owns the wait for the changes of a table. */
export class StoreFollower {
  private isStopped = false;
  private isReachable = true;
  private version: number | undefined;
  private retryMs = STORE_RETRY_MIN_MS;
  private abort = new AbortController();
  private answeredMs: number;
  private calledMs = 0;
  private isReset = false;
  /** Lists may be behind the lost history until then. */
  private listedAgainUntilMs = -Infinity;

  constructor(private readonly parts: StoreFollowerParts) {
    this.answeredMs = parts.clock.readMs();
  }

  /** Whether the last call to the store was answered. */
  hasContact(): boolean {
    return this.isReachable && this.version !== undefined;
  }

  /** Whether the table has been read once. */
  isListed(): boolean {
    return this.version !== undefined;
  }

  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.advance();
        this.markReachable();
      } catch (error) {
        if (this.isStopped) return;
        if (this.isReset) continue;
        await this.handleFailure(error as Error);
      }
    }
  }

  /** Gives up a wait that may hang on a silent connection. */
  reset(): void {
    if (this.parts.clock.readMs() - this.calledMs < RESET_PAUSE_MS) return;
    this.isReset = true;
    this.abort.abort();
  }

  stop(): void {
    this.isStopped = true;
    this.abort.abort();
  }

  private async advance(): Promise<void> {
    const {store, table, clock} = this.parts;
    this.abort = new AbortController();
    this.isReset = false;
    this.calledMs = clock.readMs();
    if (this.version === undefined) {
      await this.list();
      return;
    }
    const isListedAgain = clock.readMs() < this.listedAgainUntilMs;
    const {rows, version} = await store.watch(
      table,
      this.version,
      isListedAgain ? LIST_INTERVAL_MS : this.parts.chooseWaitMs(),
      this.abort.signal,
    );
    this.version = Math.max(version, this.version);
    if (rows.length > 0) this.parts.handleChanges(rows);
    if (isListedAgain) await this.list();
    else if (rows.length > 0 && this.parts.pauseMs > 0) {
      await wait(this.parts.pauseMs);
    }
  }

  private async list(): Promise<void> {
    const {rows, version} = await this.parts.store.list(this.parts.table);
    this.parts.handleAll(rows, version);
    this.version = Math.max(version, this.version ?? version);
  }

  private async handleFailure(error: Error): Promise<void> {
    const {table, record, clock} = this.parts;
    if (error instanceof HistoryLostError) {
      const isRepeated = clock.readMs() < this.listedAgainUntilMs;
      this.version = undefined;
      this.listedAgainUntilMs = clock.readMs() + LIST_AGAIN_MS;
      record(EventCode.STORE_HISTORY_LOST, {table});
      if (isRepeated) await wait(LIST_INTERVAL_MS);
      return;
    }
    if (error instanceof StoreSilentError) this.parts.handleSilence();
    const {message} = error;
    const silentMs = Math.round(clock.readMs() - this.answeredMs);
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
    this.answeredMs = this.parts.clock.readMs();
    this.retryMs = STORE_RETRY_MIN_MS;
  }
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
