/** Lists published versions. */
import type {TableService} from '../platform.js';
import {readChanges, readHead} from './tableSet.js';
import type {ChangeRecord} from './types.js';

/** Lists up to `limit` versions not above `maxVersion`, newest first. */
export async function listHistory(
  table: TableService,
  limit: number,
  maxVersion = Infinity,
): Promise<ChangeRecord[]> {
  const head = await readHead(table);
  const newest = Math.min(head.version, maxVersion);
  const after = Math.max(0, newest - limit);
  const {records} = await readChanges(table, after, newest);
  return records.filter(({version}) => version <= newest).reverse();
}
