/** A store for tests whose answers arrive at once and that can be restored. */
import type {StorePosition} from 'sycamoreyoke/process/storePosition';
import {isRemovable} from 'sycamoreyoke/process/storePosition';
import type {FleetStore, RowBatch, StoredRow} from '../types.js';
import {RowRemoval} from '../types.js';

/** Rows as they were at an earlier time. */
export interface FakeCopy {
  readonly rows: ReadonlyMap<string, StoredRow>;
  readonly version: number;
}

/** The calls of the store that write, and its rows. */
export class FakeStore implements Pick<FleetStore, 'writeRow' | 'removeRow'> {
  era = 1;
  /** Writes that fail from now on. */
  failuresLeft = 0;
  /** Called after each write or removal. */
  handleWrite: (key: string) => void = () => undefined;
  readonly writtenKeys: string[] = [];
  readonly removals: RowRemoval[] = [];
  private rows = new Map<string, StoredRow>();
  private version = 1;

  writeRow(key: string, value: Uint8Array): Promise<number> {
    if (this.failuresLeft > 0) {
      this.failuresLeft -= 1;
      return Promise.reject(new Error('busy'));
    }
    this.write(key, value);
    this.writtenKeys.push(key);
    this.handleWrite(key);
    return Promise.resolve(this.era);
  }

  removeRow(key: string, readIn: StorePosition): Promise<RowRemoval> {
    const isSent = isRemovable(readIn, this.era);
    const hasVersion = this.rows.get(key)?.version === readIn.version;
    if (isSent && hasVersion) this.rows.delete(key);
    const removal = !isSent
      ? RowRemoval.NOT_SENT
      : hasVersion
        ? RowRemoval.DONE
        : RowRemoval.CHANGED;
    this.removals.push(removal);
    return Promise.resolve(removal);
  }

  /** Writes a row as another node does; returns it as a change. */
  write(key: string, value: Uint8Array): StoredRow {
    this.version += 1;
    const row = {key, value, era: this.era, version: this.version};
    this.rows.set(key, row);
    return row;
  }

  /** Removes a row as another node does; returns the change. */
  remove(key: string): StoredRow {
    this.version += 1;
    this.rows.delete(key);
    return {key, value: undefined, era: this.era, version: this.version};
  }

  read(key: string): StoredRow | undefined {
    return this.rows.get(key);
  }

  list(): RowBatch {
    const {era, version} = this;
    const rows = [...this.rows.values()].map((row) => ({...row, era}));
    return {rows, era, version};
  }

  createCopy(): FakeCopy {
    return {rows: new Map(this.rows), version: this.version};
  }

  /** Returns to the copy, in the next era; versions are assigned again. */
  applyCopy({rows, version}: FakeCopy): void {
    this.rows = new Map(rows);
    this.version = version;
    this.era += 1;
  }
}
