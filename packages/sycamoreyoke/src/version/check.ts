/** Validates a set of configuration objects as a whole. */
import type {Finding} from '../findings.js';
import {Severity} from '../findings.js';
import {RepeatGuard} from '../types.js';
import {MAX_OBJECTS, MAX_OBJECT_BYTES} from './constants.js';
import {formatObjectKey} from './diff.js';
import {objectSchema} from './schema.js';
import type {
  CallerObject,
  ConfigurationObject,
  RequestClassObject,
  RetryLimitObject,
} from './types.js';
import {ObjectKind} from './types.js';

type ObjectPath = ReadonlyArray<string | number>;

/** An object as it was read, before validation. */
export interface SourceObject {
  readonly value: unknown;
  readonly file?: string;
  /** Returns the line of a field, or of the nearest enclosing field. */
  readonly findLine?: (path: ObjectPath) => number | undefined;
}

/** A finding with its location split into parts. */
export interface ObjectFinding extends Finding {
  readonly file?: string;
  readonly line?: number;
  readonly kind?: string;
  readonly name?: string;
  readonly path: string;
  readonly severity: Severity;
}

/** The valid objects of a set, and all findings. */
export interface CheckedSet {
  readonly objects: readonly ConfigurationObject[];
  readonly findings: readonly ObjectFinding[];
}

interface CheckedObject {
  readonly source: SourceObject;
  readonly object: ConfigurationObject;
}

interface SetIndex {
  /** First source by kind and name, whether valid or not. */
  readonly sources: ReadonlyMap<string, SourceObject>;
  readonly valid: readonly CheckedObject[];
  readonly retryLimits: ReadonlyMap<string, RetryLimitObject>;
}

/** Validates each object, and the references between all of them. */
export function checkSet(sources: readonly SourceObject[]): CheckedSet {
  const findings: ObjectFinding[] = [];
  const sourcesByKey = new Map<string, SourceObject>();
  const valid: CheckedObject[] = [];
  for (const source of sources) {
    findings.push(...checkDuplicate(source, sourcesByKey));
    const result = objectSchema.safeParse(source.value);
    if (result.success) {
      const object = result.data as ConfigurationObject;
      valid.push({source, object});
      findings.push(...checkSize(source, object));
    } else {
      for (const issue of result.error.issues) {
        const path = issue.path.filter((part) => typeof part !== 'symbol');
        findings.push(createFinding(source, path, issue.message));
      }
    }
  }
  const retryLimits = valid
    .map(({object}) => object)
    .filter((object) => object.kind === ObjectKind.RETRY_LIMIT);
  const index = {
    sources: sourcesByKey,
    valid,
    retryLimits: new Map(retryLimits.map((limit) => [limit.name, limit])),
  };
  for (const entry of valid) findings.push(...checkObject(entry, index));
  findings.push(...checkTokens(valid), ...checkUnused(index));
  if (sources.length > MAX_OBJECTS) {
    const message = `${sources.length} objects; ${MAX_OBJECTS} are allowed`;
    findings.push(createFinding({value: undefined}, [], message));
  }
  return {objects: valid.map(({object}) => object), findings};
}

function checkDuplicate(
  source: SourceObject,
  sourcesByKey: Map<string, SourceObject>,
): ObjectFinding[] {
  const {kind, name} = readIdentity(source.value);
  if (kind === undefined || name === undefined) return [];
  const key = formatObjectKey({kind, name});
  const earlier = sourcesByKey.get(key);
  if (!earlier) {
    sourcesByKey.set(key, source);
    return [];
  }
  const message = `is defined twice; first at ${formatPlace(earlier, ['name'])}`;
  return [createFinding(source, ['name'], message)];
}

function checkSize(
  source: SourceObject,
  object: ConfigurationObject,
): ObjectFinding[] {
  const bytes = Buffer.byteLength(JSON.stringify(object));
  if (bytes <= MAX_OBJECT_BYTES) return [];
  const message = `takes ${bytes} bytes; ${MAX_OBJECT_BYTES} are allowed`;
  return [createFinding(source, [], message)];
}

function checkObject(entry: CheckedObject, index: SetIndex): ObjectFinding[] {
  const {object, source} = entry;
  switch (object.kind) {
    case ObjectKind.SERVICE:
      return checkReference(index, source, ['policy'], ObjectKind.POLICY);
    case ObjectKind.REQUEST_CLASS:
      return [
        ...checkReference(index, source, ['service'], ObjectKind.SERVICE),
        ...checkReference(
          index,
          source,
          ['retryLimit'],
          ObjectKind.RETRY_LIMIT,
        ),
        ...checkGuard(source, object),
        ...checkRetryTime(source, object, index),
      ];
    case ObjectKind.RETRY_LIMIT:
      return checkRetryLimit(source, object);
    case ObjectKind.CALLER:
      return checkCallerClasses(source, object, index);
    case ObjectKind.POLICY:
      return [];
  }
}

function checkReference(
  index: SetIndex,
  source: SourceObject,
  path: ObjectPath,
  kind: ObjectKind,
): ObjectFinding[] {
  const name = readPath(source.value, path) as string;
  if (index.sources.has(formatObjectKey({kind, name}))) return [];
  return [createFinding(source, path, `${kind} "${name}" does not exist`)];
}

function checkGuard(
  source: SourceObject,
  object: RequestClassObject,
): ObjectFinding[] {
  const isGuarded = object.guard !== RepeatGuard.NONE;
  if (object.idempotent !== isGuarded) return [];
  const message = object.idempotent
    ? `an idempotent class needs guard "none", not "${object.guard}"`
    : 'a non-idempotent class needs guard "pin" or "claim"';
  return [createFinding(source, ['guard'], message)];
}

/**
 * Computes the total delay of all retries of one request with full jitter, on
 * average, in milliseconds.
 */
export function computeMeanBackoffMs(limit: RetryLimitObject): number {
  let totalMs = 0;
  let ceilingMs = limit.backoffBaseMs;
  for (let retry = 0; retry < limit.perRequest; retry += 1) {
    totalMs += Math.min(ceilingMs, limit.backoffMaxMs) / 2;
    ceilingMs *= 2;
  }
  return totalMs;
}

function checkRetryTime(
  source: SourceObject,
  object: RequestClassObject,
  index: SetIndex,
): ObjectFinding[] {
  const limit = index.retryLimits.get(object.retryLimit);
  if (!limit) return [];
  const backoffMs = computeMeanBackoffMs(limit);
  if (backoffMs < object.timeoutMs) return [];
  const message =
    `the ${limit.perRequest} retries of "${limit.name}" wait ` +
    `${backoffMs} ms on average; the class times out after ` +
    `${object.timeoutMs} ms`;
  return [createFinding(source, ['retryLimit'], message)];
}

function checkRetryLimit(
  source: SourceObject,
  object: RetryLimitObject,
): ObjectFinding[] {
  const findings: ObjectFinding[] = [];
  const {backoffBaseMs, backoffMaxMs, perRequest, shareOfTraffic} = object;
  if (backoffBaseMs > backoffMaxMs) {
    const message = `${backoffBaseMs} exceeds backoffMaxMs ${backoffMaxMs}`;
    findings.push(createFinding(source, ['backoffBaseMs'], message));
  }
  if (perRequest > 0 && shareOfTraffic === 0) {
    const message = `0 forbids the ${perRequest} retries of perRequest`;
    findings.push(createFinding(source, ['shareOfTraffic'], message));
  }
  return findings;
}

function checkCallerClasses(
  source: SourceObject,
  object: CallerObject,
  index: SetIndex,
): ObjectFinding[] {
  return object.classes.flatMap((name, position) => {
    const path = ['classes', position];
    if (object.classes.indexOf(name) !== position) {
      return [createFinding(source, path, `"${name}" is listed twice`)];
    }
    return checkReference(index, source, path, ObjectKind.REQUEST_CLASS);
  });
}

const EMPTY_TOKEN_SHA256 =
  'e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855';

function checkTokens(valid: readonly CheckedObject[]): ObjectFinding[] {
  const callerByToken = new Map<string, string>();
  const findings: ObjectFinding[] = [];
  for (const {object, source} of valid) {
    if (object.kind !== ObjectKind.CALLER) continue;
    const firstCaller = callerByToken.get(object.tokenSha256);
    callerByToken.set(object.tokenSha256, firstCaller ?? object.name);
    if (object.tokenSha256 === EMPTY_TOKEN_SHA256) {
      const message = 'is the digest of an empty token';
      findings.push(createFinding(source, ['tokenSha256'], message));
    }
    if (firstCaller !== undefined && firstCaller !== object.name) {
      const message = `is also the token of caller "${firstCaller}"`;
      findings.push(createFinding(source, ['tokenSha256'], message));
    }
  }
  return findings;
}

function checkUnused(index: SetIndex): ObjectFinding[] {
  const used = new Set<string>();
  const markUsed = (kind: ObjectKind, name: string) =>
    used.add(formatObjectKey({kind, name}));
  for (const {object} of index.valid) {
    if (object.kind === ObjectKind.SERVICE) {
      markUsed(ObjectKind.POLICY, object.policy);
    } else if (object.kind === ObjectKind.REQUEST_CLASS) {
      markUsed(ObjectKind.SERVICE, object.service);
      markUsed(ObjectKind.RETRY_LIMIT, object.retryLimit);
    } else if (object.kind === ObjectKind.CALLER) {
      for (const name of object.classes)
        markUsed(ObjectKind.REQUEST_CLASS, name);
    }
  }
  return index.valid
    .filter(({object}) => object.kind !== ObjectKind.CALLER)
    .filter(({object}) => !used.has(formatObjectKey(object)))
    .map(({source}) =>
      createFinding(
        source,
        [],
        'no other object refers to it',
        Severity.WARNING,
      ),
    );
}

function createFinding(
  source: SourceObject,
  path: ObjectPath,
  message: string,
  severity = Severity.ERROR,
): ObjectFinding {
  const line = source.findLine?.(path);
  return {
    place: formatPlace(source, path),
    message,
    severity,
    path: formatPath(path),
    ...(source.file === undefined ? {} : {file: source.file}),
    ...(line === undefined ? {} : {line}),
    ...readIdentity(source.value),
  };
}

function formatPlace(source: SourceObject, path: ObjectPath): string {
  const {kind, name} = readIdentity(source.value);
  const line = source.findLine?.(path);
  const file = source.file ?? '';
  const parts = [
    line === undefined ? file : `${file}:${line}`,
    kind ?? '',
    name === undefined ? '' : `"${name}"`,
    formatPath(path),
  ];
  return parts.filter((part) => part !== '').join(' ') || 'configuration';
}

function formatPath(path: ObjectPath): string {
  return path
    .map((part) => (typeof part === 'number' ? `[${part}]` : `.${part}`))
    .join('')
    .replace(/^\./, '');
}

function readIdentity(value: unknown): {kind?: string; name?: string} {
  const kind = readPath(value, ['kind']);
  const name = readPath(value, ['name']);
  return {
    ...(typeof kind === 'string' ? {kind} : {}),
    ...(typeof name === 'string' ? {name} : {}),
  };
}

function readPath(value: unknown, path: ObjectPath): unknown {
  let current = value;
  for (const part of path) {
    if (typeof current !== 'object' || current === null) return undefined;
    current = (current as Record<string | number, unknown>)[part];
  }
  return current;
}
