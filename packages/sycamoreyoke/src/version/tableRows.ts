/** Encodes and decodes the configuration's rows in the platform's table. */
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

/**
 * Value of an object's row. The row of a removed object is kept for
 * HISTORY_RETENTION_MS, that of a removed request class without a limit.
 */
export interface ObjectValue {
  readonly object: ConfigurationObject | null;
  /** Version that wrote the row. */
  readonly changedIn: number;
  /**
   * Last definition of a removed request class. A class that is created again
   * with the same name must have the same guard and service.
   */
  readonly retired?: RequestClassObject;
}

interface ChangePart extends ChangeRecord {
  readonly parts: number;
}

/** Formats the key prefix of the change rows of a version. */
export function formatChangeKey(version: number): string {
  return CHANGE_PREFIX + String(version).padStart(VERSION_DIGITS, '0');
}

/**
 * Formats a key that is greater than all change rows of a version and less than
 * those of the next.
 */
export function formatChangeEnd(version: number): string {
  return `${formatChangeKey(version)}/~`;
}

/** Encodes a change as rows; a large change takes more than one. */
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
 * Decodes the changes whose rows are complete, in order. Stops at the first
 * incomplete version, except that an incomplete oldest version is skipped.
 */
export function decodeChanges(values: Iterable<string>): ChangeRecord[] {
  const records: ChangeRecord[] = [];
  let pendingParts: ChangePart[] = [];
  for (const value of values) {
    const part = JSON.parse(value) as ChangePart;
    if (pendingParts[0] && pendingParts[0].version !== part.version) {
      // Some rows of the oldest change may have been purged already.
      if (records.length > 0) break;
      pendingParts = [];
    }
    pendingParts.push(part);
    if (pendingParts.length < part.parts) continue;
    const {version, nonce, who, when} = part;
    const changes = pendingParts.flatMap((pending) => pending.changes);
    records.push({version, nonce, who, when, changes});
    pendingParts = [];
  }
  return records;
}

/** Encodes the row of an object after a change. */
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
  let remainingBytes = 0;
  for (const change of changes) {
    const bytes = Buffer.byteLength(JSON.stringify(change)) + 1;
    if (bytes > MAX_CHANGE_ROW_BYTES) {
      throw new SycamoreyokeError(
        `change of ${formatObjectKey(change)} takes ${bytes} bytes; ` +
          `${MAX_CHANGE_ROW_BYTES} are allowed`,
      );
    }
    if (bytes > remainingBytes) {
      chunks.push([]);
      remainingBytes = MAX_CHANGE_ROW_BYTES;
    }
    chunks.at(-1)?.push(change);
    remainingBytes -= bytes;
  }
  return chunks;
}
