/** Publishes configuration changes through the platform's table. */
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

/** Dependencies of publishEdits. */
export interface PublishDependencies {
  readonly table: TableService;
  readonly clock: Clock;
  readonly random: Random;
  /** Resolves after the given time. */
  readonly wait: (milliseconds: number) => Promise<void>;
}

/** Changes that an operator publishes. */
export interface PublishRequest {
  /** Version on which the operator based the edits. */
  readonly base: number;
  readonly edits: readonly ObjectEdit[];
  readonly who: string;
  /** Unique for each publish, but unchanged when a publish is retried. */
  readonly nonce: string;
}

/** Result of a successful publish. */
export interface PublishedVersion {
  readonly version: number;
  readonly changes: readonly ObjectChange[];
  /** All objects after the publish. */
  readonly objects: ObjectMap;
  readonly attempts: number;
  /**
   * The publish was found in the change log: an earlier attempt took effect,
   * but its response was lost.
   */
  readonly isRecognised: boolean;
  /** Warnings of the validation. */
  readonly warnings: readonly Finding[];
}

/** The table did not answer; the publish may or may not have taken effect. */
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

/** A validated attempt, ready to be sent to the table. */
interface PreparedAttempt {
  readonly transaction: TableTransaction;
  readonly record: ChangeRecord;
  readonly objects: ObjectMap;
  readonly warnings: readonly Finding[];
}

/**
 * Publishes edits. If other objects are published in the meantime, the publish
 * is retried on the new head. Without any change, the current version is
 * returned.
 *
 * Throws
 * - ConflictError if an edited object was changed since the base version, or if
 *   every attempt lost the race against another publish;
 * - ValidationError if the resulting set would be invalid;
 * - PublishUnknownError if the table failed and the publish may be in force;
 * - PlatformUnavailableError if the table failed before anything was sent;
 * - SycamoreyokeError if the base version does not exist yet or the publish
 *   exceeds MAX_TRANSACTION_BYTES.
 */
export async function publishEdits(
  dependencies: PublishDependencies,
  request: PublishRequest,
): Promise<PublishedVersion> {
  let set: TableSet | undefined;
  let isSent = false;
  let lastError: unknown;
  for (let attempt = 1; attempt <= MAX_PUBLISH_ATTEMPTS; attempt += 1) {
    if (attempt > 1) await waitBeforeRetry(dependencies, attempt);
    try {
      const refreshed = await readSetAndChanges(
        dependencies.table,
        request,
        set,
      );
      set = refreshed.set;
      const ownRecord = refreshed.records.find(
        ({nonce}) => nonce === request.nonce,
      );
      if (ownRecord) return describeAlreadyPublished(ownRecord, set, attempt);
      const prepared = await buildAttempt(dependencies, request, set);
      if (!prepared) return describeUnchanged(set, attempt);
      isSent = true;
      const result = await dependencies.table.run(prepared.transaction);
      if (!result.committed) {
        // The head is unchanged, but the row of a removed object may have
        // expired. Read the whole set again.
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
    `each of ${MAX_PUBLISH_ATTEMPTS} attempts lost to another publish`,
    [],
  );
}

async function waitBeforeRetry(
  dependencies: PublishDependencies,
  attempt: number,
): Promise<void> {
  await dependencies.wait(dependencies.random() * PUBLISH_BACKOFF_MS * attempt);
}

/**
 * Reads the current set, and the changes that may contain the nonce of this
 * publish.
 */
async function readSetAndChanges(
  table: TableService,
  request: PublishRequest,
  knownSet: TableSet | undefined,
): Promise<{set: TableSet; records: readonly ChangeRecord[]}> {
  if (knownSet) return refreshTableSet(table, knownSet);
  const set = await readTableSet(table);
  if (request.base > set.head.version) {
    throw new SycamoreyokeError(
      `base version ${request.base} does not exist; the latest version is ` +
        `${set.head.version}`,
    );
  }
  const {records} = await readChanges(table, request.base, set.head.version);
  return {set, records};
}

async function buildAttempt(
  dependencies: PublishDependencies,
  request: PublishRequest,
  set: TableSet,
): Promise<PreparedAttempt | undefined> {
  checkConflicts(request, set);
  const changes = buildChanges(request.edits, set);
  if (changes.length === 0) return undefined;
  const objects = applyEdits(buildPresentObjects(set), request.edits);
  const warnings = checkPublishedSet(objects, changes, set);
  const version = set.head.version + 1;
  const {nonce, who} = request;
  const when = dependencies.clock.readDate().toISOString();
  const record: ChangeRecord = {version, nonce, who, when, changes};
  const transaction = await buildTransaction(dependencies.table, record, set);
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

function checkPublishedSet(
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
  checkTransactionSize(writes);
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

function checkTransactionSize(writes: readonly TableWrite[]): void {
  const bytes = writes
    .map(({key, value}) => key.length + Buffer.byteLength(value ?? ''))
    .reduce((sum, size) => sum + size, 0);
  if (bytes <= MAX_TRANSACTION_BYTES) return;
  throw new SycamoreyokeError(
    `the publish writes ${bytes} bytes; ${MAX_TRANSACTION_BYTES} are ` +
      'allowed; publish fewer objects at once',
  );
}

function describeAlreadyPublished(
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
