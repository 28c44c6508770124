/** Snapshots of whole sets in the platform's object store. */
import type {ObjectStore, TableService} from '../platform.js';
import {
  SNAPSHOT_INTERVAL,
  SNAPSHOT_PREFIX,
  SNAPSHOT_SLOTS,
} from './constants.js';
import type {ObjectMap} from './diff.js';
import {applyEdits, buildEdits, buildObjectMap} from './diff.js';
import {
  buildPresentObjects,
  readChanges,
  readHead,
  readTableSet,
} from './tableSet.js';
import type {Configuration} from './types.js';

/** Snapshots are looked for once in this many versions. */
const SNAPSHOT_CHECK_INTERVAL = 10;

/** Objects of one version by key. */
export interface VersionedSet {
  readonly version: number;
  readonly objects: ObjectMap;
}

/** Writes a snapshot when one is due; true when it was written. */
export async function writeSnapshotIfDue(
  store: ObjectStore,
  set: VersionedSet,
): Promise<boolean> {
  if (!(await isSnapshotDue(store, set.version))) return false;
  const slot = Math.floor(set.version / SNAPSHOT_INTERVAL) % SNAPSHOT_SLOTS;
  const configuration: Configuration = {
    version: set.version,
    objects: [...set.objects.values()],
  };
  const content = Buffer.from(JSON.stringify(configuration));
  await store.write(`${SNAPSHOT_PREFIX}${slot}`, content);
  return true;
}

/** The newest snapshot that can be read. */
export async function readSnapshot(
  store: ObjectStore,
): Promise<VersionedSet | undefined> {
  let newest: VersionedSet | undefined;
  for (let slot = 0; slot < SNAPSHOT_SLOTS; slot += 1) {
    const content = await store.read(`${SNAPSHOT_PREFIX}${slot}`);
    const set = content && decodeSnapshot(content);
    if (set && set.version > (newest?.version ?? 0)) newest = set;
  }
  return newest;
}

/**
 * Reads the set in force: the newest snapshot and the changes since, which
 * takes fewer reads of the table than all objects; without a usable snapshot,
 * all objects.
 */
export async function readCurrentSet(
  table: TableService,
  store: ObjectStore,
): Promise<VersionedSet> {
  const snapshot = await readSnapshot(store).catch(() => undefined);
  if (snapshot) {
    const head = await readHead(table);
    const {records, isContiguous} = await readChanges(table, snapshot.version);
    const reached = records.at(-1)?.version ?? snapshot.version;
    if (isContiguous && reached >= head.version) {
      const edits = records.flatMap(({changes}) => buildEdits(changes));
      return {version: reached, objects: applyEdits(snapshot.objects, edits)};
    }
  }
  const set = await readTableSet(table);
  return {version: set.head.version, objects: buildPresentObjects(set)};
}

async function isSnapshotDue(
  store: ObjectStore,
  version: number,
): Promise<boolean> {
  if (version === 0 || version % SNAPSHOT_CHECK_INTERVAL !== 0) return false;
  if (version % SNAPSHOT_INTERVAL === 0) return true;
  const newest = await readSnapshot(store);
  return version - (newest?.version ?? 0) > SNAPSHOT_INTERVAL;
}

function decodeSnapshot(content: Uint8Array): VersionedSet | undefined {
  try {
    const text = Buffer.from(content).toString('utf8');
    const {version, objects} = JSON.parse(text) as Configuration;
    return {version, objects: buildObjectMap(objects)};
  } catch {
    // A write that was cut short leaves a snapshot that does not parse.
    return undefined;
  }
}
