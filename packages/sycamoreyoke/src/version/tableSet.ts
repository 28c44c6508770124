/** Reads the configuration from the platform's table. */
import type {TableService} from '../platform.js';
import {
  CHANGE_PAGE_ROWS,
  CHANGE_PREFIX,
  HEAD_KEY,
  OBJECT_PAGE_ROWS,
  OBJECT_PREFIX,
} from './constants.js';
import type {ObjectMap} from './diff.js';
import {applyEdits, buildReverseEdits, formatObjectKey} from './diff.js';
import type {HeadValue, ObjectValue} from './tableRows.js';
import {decodeChanges, formatChangeEnd} from './tableRows.js';
import type {
  ChangeRecord,
  ConfigurationObject,
  RequestClassObject,
} from './types.js';
import {ObjectKind} from './types.js';

/** Latest published version; 0 if nothing was published yet. */
export interface Head {
  readonly version: number;
  /** Version of the head row, used as the precondition of a transaction. */
  readonly rowVersion: number;
}

/** An object as stored in the table. */
export interface TableEntry extends ObjectValue {
  /** Absent if the entry was derived from a change row. */
  readonly rowVersion?: number;
}

/** All objects of one version, including removed ones. */
export interface TableSet {
  readonly head: Head;
  /** Present and removed objects by key. */
  readonly entries: ReadonlyMap<string, TableEntry>;
}

/** Consecutive changes after a version, up to the newest complete one. */
export interface ChangeRange {
  readonly records: readonly ChangeRecord[];
  /** False if the oldest changes of the range are no longer stored. */
  readonly isContiguous: boolean;
}

/** Reads the latest published version. */
export async function readHead(table: TableService): Promise<Head> {
  const row = await table.read(HEAD_KEY);
  if (!row) return {version: 0, rowVersion: 0};
  const {version} = JSON.parse(row.value) as HeadValue;
  return {version, rowVersion: row.version};
}

/**
 * Reads the changes with versions above `after`. Versions above `last` may be
 * omitted.
 */
export async function readChanges(
  table: TableService,
  after: number,
  last = Infinity,
): Promise<ChangeRange> {
  const values: string[] = [];
  let from = formatChangeEnd(after);
  for (;;) {
    const rows = await table.list(CHANGE_PREFIX, from, CHANGE_PAGE_ROWS);
    values.push(...rows.map((row) => row.value));
    from = rows.at(-1)?.key ?? from;
    if (rows.length < CHANGE_PAGE_ROWS || from > formatChangeEnd(last)) break;
  }
  const records = takeContiguous(decodeChanges(values));
  const first = records[0]?.version ?? after + 1;
  return {records, isContiguous: first === after + 1};
}

/**
 * Reads the whole set. Publishes may happen while the object rows are listed.
 * Each row then has its state of some version between the head before and the
 * head after the listing, and applying the changes in between brings all rows
 * to the same version.
 */
export async function readTableSet(table: TableService): Promise<TableSet> {
  const startHead = await readHead(table);
  const entries = new Map<string, TableEntry>();
  for (let after = ''; ;) {
    const rows = await table.list(OBJECT_PREFIX, after, OBJECT_PAGE_ROWS);
    for (const row of rows) {
      const value = JSON.parse(row.value) as ObjectValue;
      const key = row.key.slice(OBJECT_PREFIX.length);
      entries.set(key, {...value, rowVersion: row.version});
    }
    after = rows.at(-1)?.key ?? after;
    if (rows.length < OBJECT_PAGE_ROWS) break;
  }
  const refreshed = await refreshTableSet(table, {head: startHead, entries});
  return refreshed.set;
}

/** Updates a set to the current head. Also returns the changes since then. */
export async function refreshTableSet(
  table: TableService,
  set: TableSet,
): Promise<{set: TableSet; records: readonly ChangeRecord[]}> {
  const head = await readHead(table);
  if (head.version === set.head.version) return {set, records: []};
  const range = await readChanges(table, set.head.version, head.version);
  const records = range.records.filter(({version}) => version <= head.version);
  const isComplete = records.at(-1)?.version === head.version;
  if (!range.isContiguous || !isComplete) {
    return {set: await readTableSet(table), records};
  }
  const entries = new Map(set.entries);
  for (const record of records) applyRecord(entries, record);
  return {set: {head, entries}, records};
}

/** Returns the objects of a set, without removed ones. */
export function buildPresentObjects(set: TableSet): ObjectMap {
  const objects = new Map<string, ConfigurationObject>();
  for (const [key, {object}] of set.entries) {
    if (object) objects.set(key, object);
  }
  return objects;
}

/** Returns the last definition of a removed request class. */
export function findRetiredClass(
  set: TableSet,
  key: string,
): RequestClassObject | undefined {
  return set.entries.get(key)?.retired;
}

/**
 * Reads the set of an earlier version. Returns undefined if the version does
 * not exist or its changes are no longer stored.
 */
export async function readSetAt(
  table: TableService,
  version: number,
): Promise<ObjectMap | undefined> {
  const current = await readTableSet(table);
  if (version > current.head.version) return undefined;
  const range = await readChanges(table, version, current.head.version);
  const newerRecords = range.records.filter(
    (record) => record.version <= current.head.version,
  );
  const isComplete =
    version === current.head.version ||
    (range.isContiguous &&
      newerRecords.at(-1)?.version === current.head.version);
  if (!isComplete) return undefined;
  return newerRecords
    .toReversed()
    .reduce(
      (set, record) => applyEdits(set, buildReverseEdits(record.changes)),
      buildPresentObjects(current),
    );
}

function applyRecord(
  entries: Map<string, TableEntry>,
  record: ChangeRecord,
): void {
  for (const change of record.changes) {
    const key = formatObjectKey(change);
    const previous = entries.get(key);
    if (previous && previous.changedIn >= record.version) continue;
    const retired =
      change.before?.kind === ObjectKind.REQUEST_CLASS
        ? change.before
        : previous?.retired;
    entries.set(key, {
      object: change.after,
      changedIn: record.version,
      ...(change.after || !retired ? {} : {retired}),
    });
  }
}

function takeContiguous(records: readonly ChangeRecord[]): ChangeRecord[] {
  const first = records[0]?.version ?? 0;
  return records.filter((record, index) => record.version === first + index);
}
