/** Reads configuration updates from the platform. */
import type {ObjectStore, TableService} from '../platform.js';
import type {SpreadResponse} from '../process/configSpreadTypes.js';
import {SpreadResponseKind} from '../process/configSpreadTypes.js';
import {buildSpreadDelta} from './diff.js';
import {readCurrentSet} from './snapshot.js';
import {readChanges} from './tableSet.js';
import type {ConfigurationObject} from './types.js';

/**
 * Reads the changes since a version, or the whole set if they are no longer
 * stored or `since` is 0.
 */
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
