/** Versions that were published, newest first. */
import type {TableService} from '../platform.js';
import {readChanges, readHead} from './tableSet.js';
import type {ChangeRecord} from './types.js';

/** Lists up to `limit` changes at or below a version, newest first. */
export async function listHistory(
  table: TableService,
  limit: number,
  last = Infinity,
): Promise<ChangeRecord[]> {
  const head = await readHead(table);
  const newest = Math.min(head.version, last);
  const after = Math.max(0, newest - limit);
  const {records} = await readChanges(table, after, newest);
  return records.filter(({version}) => version <= newest).reverse();
}
