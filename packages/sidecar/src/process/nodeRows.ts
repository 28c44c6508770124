/** Passes the rows of the node table to the tasks that they concern. */
import type {StorePosition} from 'sycamoreyoke/process/storePosition';
import type {RowBatch, StoredRow} from '../types.js';
import type {CrashTask} from './crashTask.js';
import {isCrashRow} from './crashTask.js';
import type {FleetTask} from './fleetTask.js';
import type {LeavingTask} from './leavingTask.js';
import {isLeavingRow} from './leavingTask.js';

/** The tasks that keep rows in the node table. */
export interface NodeRowsParts {
  readonly fleet: Pick<FleetTask, 'handleAllRows' | 'handleChangedRows'>;
  readonly crashes: Pick<CrashTask, 'handleRows'>;
  readonly leavings: Pick<LeavingTask, 'handleRows'>;
}

/** Splits lists and changes of the node table by the kind of their rows. */
export class NodeRows {
  constructor(private readonly parts: NodeRowsParts) {}

  handleAllRows(batch: RowBatch): void {
    const rows = this.handleOtherRows(batch.rows, batch);
    this.parts.fleet.handleAllRows({...batch, rows});
  }

  handleChangedRows(rows: readonly StoredRow[]): void {
    this.parts.fleet.handleChangedRows(this.handleOtherRows(rows));
  }

  /** Handles the rows that describe no node; returns those that do. */
  private handleOtherRows(
    rows: readonly StoredRow[],
    list?: StorePosition,
  ): readonly StoredRow[] {
    this.parts.crashes.handleRows(rows.filter(isCrashRow), list);
    this.parts.leavings.handleRows(rows.filter(isLeavingRow), list);
    return rows.filter((row) => !isCrashRow(row) && !isLeavingRow(row));
  }
}
