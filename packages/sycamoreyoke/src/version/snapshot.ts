/** Reads and writes configuration snapshots in the platform's object store. */
import type {ObjectStore, TableService} from '../platform.js';
import {
  SNAPSHOT_INTERVAL_VERSIONS,
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

/**
 * Between regular snapshots, every this many versions it is checked whether one
 * is overdue.
 */
const SNAPSHOT_CHECK_VERSIONS = 10;

/** All objects of one version, by key. */
export interface VersionedSet {
  readonly version: number;
  readonly objects: ObjectMap;
}

/** Writes a snapshot if one is due. Resolves to whether it was written. */
export async function writeSnapshotIfDue(
  store: ObjectStore,
  set: VersionedSet,
): Promise<boolean> {
  if (!(await isSnapshotDue(store, set.version))) return false;
  const slot =
    Math.floor(set.version / SNAPSHOT_INTERVAL_VERSIONS) % SNAPSHOT_SLOTS;
  const configuration: Configuration = {
    version: set.version,
    objects: [...set.objects.values()],
  };
  const content = Buffer.from(JSON.stringify(configuration));
  await store.write(`${SNAPSHOT_PREFIX}${slot}`, content);
  return true;
}

/** Reads the newest snapshot that is intact. */
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
 * Reads the current set from the newest snapshot and the changes since, which
 * takes fewer table reads than reading all objects. Without a usable snapshot,
 * all objects are read from the table.
 */
export async function readCurrentSet(
  table: TableService,
  store: ObjectStore,
): Promise<VersionedSet> {
  const snapshot = await readSnapshot(store).catch(() => undefined);
  if (snapshot) {
    const head = await readHead(table);
    const {records, isContiguous} = await readChanges(table, snapshot.version);
    const reachedVersion = records.at(-1)?.version ?? snapshot.version;
    if (isContiguous && reachedVersion >= head.version) {
      const edits = records.flatMap(({changes}) => buildEdits(changes));
      return {
        version: reachedVersion,
        objects: applyEdits(snapshot.objects, edits),
      };
    }
  }
  const set = await readTableSet(table);
  return {version: set.head.version, objects: buildPresentObjects(set)};
}

async function isSnapshotDue(
  store: ObjectStore,
  version: number,
): Promise<boolean> {
  if (version === 0 || version % SNAPSHOT_CHECK_VERSIONS !== 0) return false;
  if (version % SNAPSHOT_INTERVAL_VERSIONS === 0) return true;
  const newest = await readSnapshot(store);
  return version - (newest?.version ?? 0) > SNAPSHOT_INTERVAL_VERSIONS;
}

function decodeSnapshot(content: Uint8Array): VersionedSet | undefined {
  try {
    const text = Buffer.from(content).toString('utf8');
    const {version, objects} = JSON.parse(text) as Configuration;
    return {version, objects: buildObjectMap(objects)};
  } catch {
    // An interrupted write leaves a snapshot that cannot be parsed.
    return undefined;
  }
}
