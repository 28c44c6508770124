/** Follows a table of the store: lists it, then long-polls for changes. */
import type {Clock} from 'sycamoreyoke/clock';
import {PlatformUnavailableError, SycamoreyokeError} from 'sycamoreyoke/errors';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {StorePosition} from 'sycamoreyoke/process/storePosition';
import {
  RELIST_PERIOD_MS,
  RELIST_INTERVAL_MS,
  MIN_RESET_AGE_MS,
  STORE_RETRY_MAX_MS,
  STORE_RETRY_MIN_MS,
} from '../constants.js';
import type {FleetStore, RowBatch, StoredRow, StoreTable} from '../types.js';

/** The store does not have the requested version or the changes after it. */
export class HistoryLostError extends SycamoreyokeError {}

/** A call to the store got no answer; its connection may be dead. */
export class StoreSilentError extends PlatformUnavailableError {}

/** Dependencies of a follower. */
export interface StoreFollowerParts {
  readonly clock: Clock;
  readonly store: FleetStore;
  readonly table: StoreTable;
  readonly record: EventRecorder;
  /** Called with all rows, after a list. */
  readonly handleAllRows: (batch: RowBatch) => void;
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
  /** Up to where the table was read; undefined until it is listed. */
  private position: StorePosition | undefined;
  /** The latest era in which the table was read. */
  private era: number | undefined;
  private retryMs = STORE_RETRY_MIN_MS;
  private changesInARow = 0;
  private abortController = new AbortController();
  private lastAnswerMs: number;
  private lastCallMs = 0;
  private isReset = false;
  private endPause: () => void = () => undefined;
  /** Until then lists may be older than the lost history; clock ms. */
  private relistUntilMs = -Infinity;

  constructor(private readonly parts: StoreFollowerParts) {
    this.lastAnswerMs = parts.clock.readMs();
  }

  /** Whether the table was listed and the last call to the store succeeded. */
  hasContact(): boolean {
    return this.isReachable && this.position !== undefined;
  }

  /** Whether the table is listed; false again once its history is lost. */
  isListed(): boolean {
    return this.position !== undefined;
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

  /** Lists the table again if it was read in an earlier era of the store. */
  handleEra(era: number): void {
    if (!this.position || era <= this.position.era) return;
    this.markRestored(era);
    this.isReset = true;
    this.endPause();
    this.abortController.abort(
      new HistoryLostError('the store was restored from a copy'),
    );
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
    const {position} = this;
    if (!position) {
      await this.list();
      return;
    }
    const isRelisting = clock.readMs() < this.relistUntilMs;
    const {rows, era, version} = await store.watch(
      table,
      position.version,
      isRelisting ? RELIST_INTERVAL_MS : this.parts.chooseWaitMs(),
      this.abortController.signal,
    );
    this.checkEra(era);
    if (era > position.era) {
      this.markRestored(era);
      return;
    }
    this.position = {era, version: Math.max(version, position.version)};
    if (rows.length > 0) this.parts.handleChangedRows(rows);
    if (isRelisting) await this.list();
    this.changesInARow = rows.length > 0 ? this.changesInARow + 1 : 0;
    if (this.changesInARow === 0 || isRelisting) return;
    const pauseMs = this.parts.choosePauseMs(this.changesInARow);
    if (pauseMs > 0) await this.pause(pauseMs);
  }

  private async list(): Promise<void> {
    const batch = await this.parts.store.list(this.parts.table);
    const {era, version} = batch;
    this.checkEra(era);
    const known = this.position;
    this.era = era;
    this.parts.handleAllRows(batch);
    const isSameEra = known?.era === era;
    this.position = {
      era,
      version: isSameEra ? Math.max(version, known.version) : version,
    };
  }

  /** Waits before the next read, unless the store is restored meanwhile. */
  private pause(pauseMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, pauseMs);
      this.endPause = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /** Rejects a late answer from before a restore. */
  private checkEra(era: number): void {
    if (this.era === undefined || era >= this.era) return;
    throw new PlatformUnavailableError(
      `the store answered from era ${era} after era ${this.era}`,
    );
  }

  /** Lets the table be listed, since its versions are of an earlier era. */
  private markRestored(era: number): void {
    const {table, record} = this.parts;
    record(EventCode.STORE_RESTORED, {table, era});
    this.position = undefined;
    this.changesInARow = 0;
  }

  private async handleFailure(error: Error): Promise<void> {
    const {table, record, clock} = this.parts;
    if (error instanceof HistoryLostError) {
      const isRepeated = clock.readMs() < this.relistUntilMs;
      this.position = undefined;
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
