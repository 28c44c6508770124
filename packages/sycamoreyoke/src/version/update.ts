/** Reads what a node lacks from the platform. */
import type {ObjectStore, TableService} from '../platform.js';
import type {SpreadResponse} from '../process/configSpreadTypes.js';
import {SpreadResponseKind} from '../process/configSpreadTypes.js';
import {buildSpreadDelta} from './diff.js';
import {readCurrentSet} from './snapshot.js';
import {readChanges} from './tableSet.js';
import type {ConfigurationObject} from './types.js';

/** Changes since a version; the whole set when they are not kept. */
export async function readUpdate(
  table: TableService,
  store: ObjectStore,
  since: number,
): Promise<SpreadResponse<ConfigurationObject>> {
  if (since > 0) {
    const {records, isContiguous} = await readChanges(table, since);
    if (isContiguous) {
      const deltas = records.map(buildSpreadDelta);
      return {kind: SpreadResponseKind.DELTA, since, deltas};
    }
  }
  const {version, objects} = await readCurrentSet(table, store);
  return {kind: SpreadResponseKind.SNAPSHOT, version, objects};
}
