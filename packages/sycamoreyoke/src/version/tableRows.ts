/** Rows of the configuration in the platform's table. */
import type {TableWrite} from '../platform.js';
import {SycamoreyokeError} from '../errors.js';
import {
  CHANGE_PREFIX,
  HISTORY_RETENTION_MS,
  MAX_CHANGE_ROW_BYTES,
  OBJECT_PREFIX,
} from './constants.js';
import {formatObjectKey} from './diff.js';
import type {
  ChangeRecord,
  ConfigurationObject,
  ObjectChange,
  RequestClassObject,
} from './types.js';
import {ObjectKind} from './types.js';

const VERSION_DIGITS = 12;
const PART_DIGITS = 4;

/** Value of the head row. */
export interface HeadValue {
  readonly version: number;
}

/** Value of an object's row; a removed object keeps its row for a while. */
export interface ObjectValue {
  readonly object: ConfigurationObject | null;
  /** Version that wrote the row. */
  readonly changedIn: number;
  /** What a removed request class was; its guard binds the name for good. */
  readonly retired?: RequestClassObject;
}

interface ChangePart extends ChangeRecord {
  readonly parts: number;
}

/** Key below which the change rows of a version are. */
export function formatChangeKey(version: number): string {
  return CHANGE_PREFIX + String(version).padStart(VERSION_DIGITS, '0');
}

/** Key above all change rows of a version and below those of the next. */
export function formatChangeEnd(version: number): string {
  return `${formatChangeKey(version)}/~`;
}

/** Rows of a change; more than one when it is large. */
export function encodeChange(record: ChangeRecord): TableWrite[] {
  const chunks = splitChanges(record.changes);
  return chunks.map((changes, index) => {
    const part: ChangePart = {...record, changes, parts: chunks.length};
    const suffix = String(index).padStart(PART_DIGITS, '0');
    return {
      key: `${formatChangeKey(record.version)}/${suffix}`,
      value: JSON.stringify(part),
      retentionMs: HISTORY_RETENTION_MS,
    };
  });
}

/**
 * Changes whose rows are all there, in order; stops at the first version that
 * is missing a row.
 */
export function decodeChanges(values: Iterable<string>): ChangeRecord[] {
  const records: ChangeRecord[] = [];
  let pending: ChangePart[] = [];
  for (const value of values) {
    const part = JSON.parse(value) as ChangePart;
    if (pending[0] && pending[0].version !== part.version) {
      // The oldest change may have lost some of its rows to the retention.
      if (records.length > 0) break;
      pending = [];
    }
    pending.push(part);
    if (pending.length < part.parts) continue;
    const {version, nonce, who, when} = part;
    const changes = pending.flatMap((one) => one.changes);
    records.push({version, nonce, who, when, changes});
    pending = [];
  }
  return records;
}

/** The row of an object after a change. */
export function encodeObject(
  change: ObjectChange,
  version: number,
  retired: RequestClassObject | undefined,
): TableWrite {
  const key = OBJECT_PREFIX + formatObjectKey(change);
  const {before, after} = change;
  if (after) {
    const value: ObjectValue = {object: after, changedIn: version};
    return {key, value: JSON.stringify(value)};
  }
  const removedClass =
    before?.kind === ObjectKind.REQUEST_CLASS ? before : retired;
  const value: ObjectValue = {
    object: null,
    changedIn: version,
    ...(removedClass ? {retired: removedClass} : {}),
  };
  return {
    key,
    value: JSON.stringify(value),
    ...(removedClass ? {} : {retentionMs: HISTORY_RETENTION_MS}),
  };
}

function splitChanges(changes: readonly ObjectChange[]): ObjectChange[][] {
  const chunks: ObjectChange[][] = [];
  let room = 0;
  for (const change of changes) {
    const bytes = Buffer.byteLength(JSON.stringify(change)) + 1;
    if (bytes > MAX_CHANGE_ROW_BYTES) {
      throw new SycamoreyokeError(
        `change of ${formatObjectKey(change)} takes ${bytes} bytes; ` +
          `${MAX_CHANGE_ROW_BYTES} are allowed`,
      );
    }
    if (bytes > room) {
      chunks.push([]);
      room = MAX_CHANGE_ROW_BYTES;
    }
    chunks.at(-1)?.push(change);
    room -= bytes;
  }
  return chunks;
}
