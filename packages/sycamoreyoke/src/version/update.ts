/** Reads configuration updates from the platform. */
import type {ObjectStore, TableService} from '../platform.js';
import type {PropagationResponse} from '../process/configPropagationTypes.js';
import {PropagationResponseKind} from '../process/configPropagationTypes.js';
import {buildVersionDelta} from './diff.js';
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
): Promise<PropagationResponse<ConfigurationObject>> {
  if (since > 0) {
    const {records, isContiguous} = await readChanges(table, since);
    if (isContiguous) {
      const deltas = records.map(buildVersionDelta);
      return {kind: PropagationResponseKind.DELTA, since, deltas};
    }
  }
  const {version, objects} = await readCurrentSet(table, store);
  return {kind: PropagationResponseKind.SNAPSHOT, version, objects};
}
