/** Publishes changes of the configuration through the platform's table. */
import type {Clock} from '../clock.js';
import {
  ConflictError,
  PlatformUnavailableError,
  SycamoreyokeError,
  ValidationError,
} from '../errors.js';
import type {Finding} from '../findings.js';
import {isError} from '../findings.js';
import type {TableService, TableTransaction, TableWrite} from '../platform.js';
import type {Random} from '../random.js';
import {checkSet} from './check.js';
import {
  HEAD_KEY,
  MAX_PUBLISH_ATTEMPTS,
  MAX_TRANSACTION_BYTES,
  OBJECT_PREFIX,
  PUBLISH_BACKOFF_MS,
} from './constants.js';
import type {ObjectMap} from './diff.js';
import {
  applyEdits,
  checkTransitions,
  formatObjectKey,
  hasSameContent,
} from './diff.js';
import type {HeadValue} from './tableRows.js';
import {encodeChange, encodeObject} from './tableRows.js';
import type {TableEntry, TableSet} from './tableSet.js';
import {
  buildPresentObjects,
  findRetiredClass,
  readChanges,
  readTableSet,
  refreshTableSet,
} from './tableSet.js';
import type {ChangeRecord, ObjectChange, ObjectEdit} from './types.js';

/** What a publish needs from its surroundings. */
export interface PublishParts {
  readonly table: TableService;
  readonly clock: Clock;
  readonly random: Random;
  /** Resolves after the milliseconds. */
  readonly wait: (milliseconds: number) => Promise<void>;
}

/** Changes that an operator wants in force. */
export interface PublishRequest {
  /** Version that the operator saw when the edits were made. */
  readonly base: number;
  readonly edits: readonly ObjectEdit[];
  readonly who: string;
  /** Unique for each publish; the same when a publish is tried again. */
  readonly nonce: string;
}

/** A publish that is in force. */
export interface PublishedVersion {
  readonly version: number;
  readonly changes: readonly ObjectChange[];
  /** Objects after the publish. */
  readonly objects: ObjectMap;
  readonly attempts: number;
  /** The publish was found in the change log: an earlier response was lost. */
  readonly isRecognised: boolean;
  /** Warnings of the check. */
  readonly warnings: readonly Finding[];
}

/** The table did not answer; the publish may or may not be in force. */
export class PublishUnknownError extends PlatformUnavailableError {
  constructor(
    readonly nonce: string,
    options: ErrorOptions,
  ) {
    super(
      `the table does not answer; whether publish ${nonce} is in force is ` +
        'unknown; publish again with the same nonce',
      options,
    );
  }
}

/** An attempt whose checks passed. */
interface PreparedAttempt {
  readonly transaction: TableTransaction;
  readonly record: ChangeRecord;
  readonly objects: ObjectMap;
  readonly warnings: readonly Finding[];
}

/** Publishes edits; a publish of other objects in between is no obstacle. */
export async function publishEdits(
  parts: PublishParts,
  request: PublishRequest,
): Promise<PublishedVersion> {
  let set: TableSet | undefined;
  let isSent = false;
  let lastError: unknown;
  for (let attempt = 1; attempt <= MAX_PUBLISH_ATTEMPTS; attempt += 1) {
    if (attempt > 1) await waitBeforeRetry(parts, attempt);
    try {
      const newer = await readNewer(parts.table, request, set);
      set = newer.set;
      const own = newer.records.find(({nonce}) => nonce === request.nonce);
      if (own) return describeRecognised(own, set, attempt);
      const prepared = await buildAttempt(parts, request, set);
      if (!prepared) return describeUnchanged(set, attempt);
      isSent = true;
      const result = await parts.table.run(prepared.transaction);
      if (!result.committed) {
        // A removed object's row may have expired while the head stood still.
        if (!result.conflicts.some(({key}) => key === HEAD_KEY)) {
          set = undefined;
        }
        continue;
      }
      const {record, objects, warnings} = prepared;
      return {
        version: record.version,
        changes: record.changes,
        objects,
        attempts: attempt,
        isRecognised: false,
        warnings,
      };
    } catch (error) {
      if (!(error instanceof PlatformUnavailableError)) throw error;
      lastError = error;
    }
  }
  if (lastError instanceof PlatformUnavailableError) {
    if (!isSent) throw lastError;
    throw new PublishUnknownError(request.nonce, {cause: lastError});
  }
  throw new ConflictError(
    `the head moved during each of ${MAX_PUBLISH_ATTEMPTS} tries`,
    [],
  );
}

async function waitBeforeRetry(
  parts: PublishParts,
  attempt: number,
): Promise<void> {
  await parts.wait(parts.random() * PUBLISH_BACKOFF_MS * attempt);
}

/** The current set, and the changes in which the own nonce may be. */
async function readNewer(
  table: TableService,
  request: PublishRequest,
  known: TableSet | undefined,
): Promise<{set: TableSet; records: readonly ChangeRecord[]}> {
  if (known) return refreshTableSet(table, known);
  const set = await readTableSet(table);
  if (request.base > set.head.version) {
    throw new SycamoreyokeError(
      `base version ${request.base} is above the head ${set.head.version}`,
    );
  }
  const {records} = await readChanges(table, request.base, set.head.version);
  return {set, records};
}

async function buildAttempt(
  parts: PublishParts,
  request: PublishRequest,
  set: TableSet,
): Promise<PreparedAttempt | undefined> {
  checkConflicts(request, set);
  const changes = buildChanges(request.edits, set);
  if (changes.length === 0) return undefined;
  const objects = applyEdits(buildPresentObjects(set), request.edits);
  const warnings = checkResult(objects, changes, set);
  const version = set.head.version + 1;
  const {nonce, who} = request;
  const when = parts.clock.readDate().toISOString();
  const record: ChangeRecord = {version, nonce, who, when, changes};
  const transaction = await buildTransaction(parts.table, record, set);
  return {transaction, record, objects, warnings};
}

function checkConflicts(request: PublishRequest, set: TableSet): void {
  const conflicts: string[] = [];
  for (const edit of request.edits) {
    const entry = set.entries.get(formatObjectKey(edit));
    if (!entry || entry.changedIn <= request.base) continue;
    conflicts.push(
      `${edit.kind} "${edit.name}" was changed by version ${entry.changedIn}`,
    );
  }
  if (conflicts.length === 0) return;
  throw new ConflictError(
    `changed since version ${request.base}: ${conflicts.join('; ')}`,
    conflicts,
  );
}

function buildChanges(
  edits: readonly ObjectEdit[],
  set: TableSet,
): ObjectChange[] {
  return edits
    .map(({kind, name, object}) => ({
      kind,
      name,
      before: set.entries.get(formatObjectKey({kind, name}))?.object ?? null,
      after: object,
    }))
    .filter(({before, after}) => !hasSameContent(before, after));
}

function checkResult(
  objects: ObjectMap,
  changes: readonly ObjectChange[],
  set: TableSet,
): Finding[] {
  const sources = [...objects.values()].map((value) => ({value}));
  const findings: Finding[] = [
    ...checkSet(sources).findings,
    ...checkTransitions(changes, (key) => findRetiredClass(set, key)),
  ];
  if (findings.some(isError)) {
    throw new ValidationError('configuration', findings);
  }
  return findings;
}

async function buildTransaction(
  table: TableService,
  record: ChangeRecord,
  set: TableSet,
): Promise<TableTransaction> {
  const {version, changes} = record;
  const checks = [{key: HEAD_KEY, version: set.head.rowVersion}];
  const writes: TableWrite[] = [];
  for (const change of changes) {
    const objectKey = formatObjectKey(change);
    const key = OBJECT_PREFIX + objectKey;
    const entry = set.entries.get(objectKey);
    checks.push({key, version: await readRowVersion(table, key, entry)});
    writes.push(encodeObject(change, version, entry?.retired));
  }
  const head: HeadValue = {version};
  writes.push(...encodeChange(record));
  writes.push({key: HEAD_KEY, value: JSON.stringify(head)});
  checkSize(writes);
  return {checks, writes};
}

async function readRowVersion(
  table: TableService,
  key: string,
  entry: TableEntry | undefined,
): Promise<number> {
  if (!entry) return 0;
  if (entry.rowVersion !== undefined) return entry.rowVersion;
  return (await table.read(key))?.version ?? 0;
}

function checkSize(writes: readonly TableWrite[]): void {
  const bytes = writes
    .map(({key, value}) => key.length + Buffer.byteLength(value ?? ''))
    .reduce((sum, one) => sum + one, 0);
  if (bytes <= MAX_TRANSACTION_BYTES) return;
  throw new SycamoreyokeError(
    `the publish writes ${bytes} bytes; ${MAX_TRANSACTION_BYTES} are ` +
      'allowed; publish fewer objects at once',
  );
}

function describeRecognised(
  record: ChangeRecord,
  set: TableSet,
  attempts: number,
): PublishedVersion {
  return {
    version: record.version,
    changes: record.changes,
    objects: buildPresentObjects(set),
    attempts,
    isRecognised: true,
    warnings: [],
  };
}

function describeUnchanged(set: TableSet, attempts: number): PublishedVersion {
  return {
    version: set.head.version,
    changes: [],
    objects: buildPresentObjects(set),
    attempts,
    isRecognised: false,
    warnings: [],
  };
}
