/**
 * Holds rows of the store that must survive its restore from an older copy, and
 * writes those again that it has lost. Which holder writes, and when, is
 * decided in the library (`process/rowRewrite.ts`).
 */
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {chooseRewriteDelayMs} from 'sycamoreyoke/process/rowRewrite';
import type {StorePosition} from 'sycamoreyoke/process/storePosition';
import {
  RowOrder,
  compareRow,
  isLostInList,
  isRemovedInList,
} from 'sycamoreyoke/process/storePosition';
import type {Random} from 'sycamoreyoke/random';
import {MAX_REMOVED_ROWS, STORE_RETRY_MAX_MS} from '../constants.js';
import type {FleetStore, StoredRow} from '../types.js';
import {RowRemoval} from '../types.js';

/** Dependencies of the rows. */
export interface HeldRowsParts {
  /** Name of the node. */
  readonly node: string;
  readonly random: Random;
  readonly record: EventRecorder;
  readonly store: Pick<FleetStore, 'writeRow' | 'removeRow'>;
  readonly countNodes: () => number;
  /** Whether this node writes the row before the other holders do. */
  readonly isOwner: (key: string) => boolean;
  /** Returns what the store has to have; undefined if the row is not needed. */
  readonly buildValue: (
    key: string,
    value: Uint8Array,
  ) => Uint8Array | undefined;
  /** Called with the error of a call that is made again. */
  readonly handleDelay: (error: Error) => void;
}

interface HeldRow {
  readonly value: Uint8Array;
  /** Era in which the row was written or read. */
  readonly era: number;
  /** Undefined until a written row is read. */
  readonly position: StorePosition | undefined;
}

/** A row that was removed; a restored copy may still have it. */
interface RemovedRow {
  readonly value: Uint8Array;
  readonly era: number;
  /** Whether this node has removed it, and does so again. */
  readonly isOwnRemoval: boolean;
}

/** Tracks some rows of the node table across the eras of the store. */
export class HeldRows {
  private readonly rows = new Map<string, HeldRow>();
  private readonly removedRows = new Map<string, RemovedRow>();
  private readonly timers = new Map<string, NodeJS.Timeout>();
  private listEra = -Infinity;
  private listedKeys: ReadonlySet<string> = new Set();

  constructor(private readonly parts: HeldRowsParts) {}

  has(key: string): boolean {
    return this.rows.has(key);
  }

  /** Holds a row that the store has acknowledged in an era. */
  hold(key: string, value: Uint8Array, era: number): void {
    const position = this.rows.get(key)?.position;
    this.rows.set(key, {
      value,
      era,
      position: position?.era === era ? position : undefined,
    });
    this.cancelRewrite(key);
    // The list may have arrived before the acknowledgement.
    const isLost = isLostInList(era, this.listEra) && !this.listedKeys.has(key);
    if (isLost) this.scheduleRewrite(key, 1);
  }

  /**
   * Handles rows of a list or a change; `list` is given if the rows are all
   * that the list has. Returns the rows that tell something new.
   */
  handleRows(
    rows: readonly StoredRow[],
    list?: StorePosition,
  ): readonly StoredRow[] {
    const newRows = rows.filter((row) => this.handleRow(row));
    if (list) this.handleList(new Set(rows.map(({key}) => key)), list);
    return newRows;
  }

  /**
   * Removes a row that is no longer needed. Resolves to false if it is still
   * held, since the store did not answer.
   */
  async remove(key: string): Promise<boolean> {
    const held = this.rows.get(key);
    this.cancelRewrite(key);
    if (!held?.position) return true;
    this.rows.delete(key);
    try {
      const {position} = held;
      const removal = await this.parts.store.removeRow(key, position);
      if (removal === RowRemoval.CHANGED) return true;
      // In another era, the copy may have the row: its list decides.
      this.recordRemoval(key, {...held, isOwnRemoval: true});
      return true;
    } catch (error) {
      if (!this.rows.has(key)) this.rows.set(key, held);
      this.parts.handleDelay(error as Error);
      return false;
    }
  }

  stop(): void {
    for (const key of [...this.timers.keys()]) this.cancelRewrite(key);
  }

  /** Handles one row; returns whether it tells something new. */
  private handleRow(row: StoredRow): boolean {
    const {key, value, era, version} = row;
    const held = this.rows.get(key);
    const order = compareRow(held?.position, row);
    if (order === RowOrder.OLDER || (held && era < held.era)) return false;
    if (!value) {
      if (held) this.handleRemoval(key, held, era);
      return held !== undefined;
    }
    this.cancelRewrite(key);
    this.rows.set(key, {value, era, position: {era, version}});
    const removed = this.removedRows.get(key);
    this.removedRows.delete(key);
    const isCopy =
      removed !== undefined &&
      isLostInList(removed.era, era) &&
      isSameContent(removed.value, value);
    if (isCopy && removed.isOwnRemoval) void this.remove(key);
    if (isCopy) return false;
    const isKnown = held !== undefined && isSameContent(held.value, value);
    const isOwnWrite = isKnown && !held.position;
    const isKept = isKnown && isLostInList(held.era, era);
    return order !== RowOrder.SAME && !isOwnWrite && !isKept;
  }

  private handleList(keys: ReadonlySet<string>, list: StorePosition): void {
    this.listEra = list.era;
    this.listedKeys = keys;
    const lostKeys: string[] = [];
    for (const [key, held] of [...this.rows]) {
      if (keys.has(key)) continue;
      if (held.position && isRemovedInList(held.position, list)) {
        this.handleRemoval(key, held, list.era);
      } else if (isLostInList(held.era, list.era)) lostKeys.push(key);
    }
    for (const key of lostKeys) this.scheduleRewrite(key, lostKeys.length);
  }

  /**
   * Handles the removal of a row by another node. Its owner may still need it:
   * the removal can have hit the row by chance, or be due to a partition.
   */
  private handleRemoval(key: string, held: HeldRow, era: number): void {
    const isNeeded =
      this.parts.isOwner(key) &&
      this.parts.buildValue(key, held.value) !== undefined;
    if (isNeeded) {
      this.rows.set(key, {...held, era, position: undefined});
      this.scheduleRewrite(key, 1);
      return;
    }
    this.rows.delete(key);
    this.cancelRewrite(key);
    this.recordRemoval(key, {value: held.value, era, isOwnRemoval: false});
  }

  private scheduleRewrite(key: string, lostRows: number): void {
    if (this.timers.has(key)) return;
    const delayMs = chooseRewriteDelayMs(
      {
        key,
        holder: this.parts.node,
        isOwner: this.parts.isOwner(key),
        nodes: this.parts.countNodes(),
        lostRows,
      },
      this.parts.random,
    );
    this.setTimer(key, delayMs);
  }

  private setTimer(key: string, delayMs: number): void {
    this.timers.set(
      key,
      setTimeout(() => void this.writeAgain(key), delayMs),
    );
  }

  private async writeAgain(key: string): Promise<void> {
    this.timers.delete(key);
    const {store, record, isOwner, buildValue, handleDelay} = this.parts;
    const held = this.rows.get(key);
    const value = held && buildValue(key, held.value);
    if (!value) {
      this.rows.delete(key);
      return;
    }
    try {
      const era = await store.writeRow(key, value);
      record(EventCode.ROW_REWRITTEN, {key, isOwner: isOwner(key)});
      // A change may have been read, or the row removed, in the meantime.
      if (this.rows.get(key) === held) this.hold(key, value, era);
    } catch (error) {
      handleDelay(error as Error);
      if (!this.timers.has(key)) this.setTimer(key, STORE_RETRY_MAX_MS);
    }
  }

  private cancelRewrite(key: string): void {
    clearTimeout(this.timers.get(key));
    this.timers.delete(key);
  }

  private recordRemoval(
    key: string,
    {value, era, isOwnRemoval}: RemovedRow,
  ): void {
    this.removedRows.delete(key);
    this.removedRows.set(key, {value, era, isOwnRemoval});
    const [oldest] = this.removedRows.keys();
    if (oldest !== undefined && this.removedRows.size > MAX_REMOVED_ROWS) {
      this.removedRows.delete(oldest);
    }
  }
}

function isSameContent(first: Uint8Array, second: Uint8Array): boolean {
  return Buffer.compare(first, second) === 0;
}
