/** Follows one table of the store: lists it, then waits for its changes. */
import type {Clock} from 'sycamoreyoke/clock';
import {SycamoreyokeError} from 'sycamoreyoke/errors';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {STORE_RETRY_MAX_MS, STORE_RETRY_MIN_MS} from '../constants.js';
import type {FleetStore, StoredRow, StoreTable} from '../types.js';

/** The store has dropped the changes that were asked for. */
export class HistoryLostError extends SycamoreyokeError {}

/** What a follower is built from. */
export interface StoreFollowerParts {
  readonly clock: Clock;
  readonly store: FleetStore;
  readonly table: StoreTable;
  readonly record: EventRecorder;
  /** All rows, after a list. */
  readonly handleAll: (rows: readonly StoredRow[]) => void;
  readonly handleChanges: (rows: readonly StoredRow[]) => void;
  /** Pause after changes, so that several cost one read; ms. */
  readonly pauseMs: number;
}

/** Owns the wait for the changes of a table. */
export class StoreFollower {
  private isStopped = false;
  private isReachable = true;
  private version: number | undefined;
  private retryMs = STORE_RETRY_MIN_MS;
  private abort = new AbortController();
  private answeredMs: number;

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
        await this.handleFailure(error as Error);
      }
    }
  }

  /** Gives up a wait that may hang on a silent connection. */
  reset(): void {
    this.abort.abort();
  }

  stop(): void {
    this.isStopped = true;
    this.abort.abort();
  }

  private async advance(): Promise<void> {
    const {store, table} = this.parts;
    this.abort = new AbortController();
    if (this.version === undefined) {
      const {rows, version} = await store.list(table);
      this.parts.handleAll(rows);
      this.version = version;
      return;
    }
    const {rows, version} = await store.watch(
      table,
      this.version,
      this.abort.signal,
    );
    this.version = Math.max(version, this.version);
    if (rows.length === 0) return;
    this.parts.handleChanges(rows);
    if (this.parts.pauseMs > 0) await wait(this.parts.pauseMs);
  }

  private async handleFailure(error: Error): Promise<void> {
    const {table, record} = this.parts;
    if (error instanceof HistoryLostError) {
      this.version = undefined;
      record(EventCode.STORE_HISTORY_LOST, {table});
      return;
    }
    const {message} = error;
    const silentMs = Math.round(this.parts.clock.readMs() - this.answeredMs);
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
