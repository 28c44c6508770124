/** Differences between two sets of objects. */
import type {Finding} from '../findings.js';
import type {SpreadDelta} from '../process/configSpreadTypes.js';
import type {
  ChangeRecord,
  ConfigurationObject,
  ObjectChange,
  ObjectEdit,
  RequestClassObject,
} from './types.js';
import {ObjectKind} from './types.js';

/** Objects by kind and name. */
export type ObjectMap = ReadonlyMap<string, ConfigurationObject>;

interface ObjectIdentity {
  readonly kind: string;
  readonly name: string;
}

/** Key of an object in maps and in the table. */
export function formatObjectKey(identity: ObjectIdentity): string {
  return `${identity.kind}/${identity.name}`;
}

/** Objects by their key. */
export function buildObjectMap(
  objects: Iterable<ConfigurationObject>,
): ObjectMap {
  const map = new Map<string, ConfigurationObject>();
  for (const object of objects) map.set(formatObjectKey(object), object);
  return map;
}

/** Whether two objects have the same fields, in any order. */
export function hasSameContent(
  a: ConfigurationObject | null,
  b: ConfigurationObject | null,
): boolean {
  return formatContent(a) === formatContent(b);
}

/** What turns the first set into the second, in key order. */
export function compareSets(
  before: ObjectMap,
  after: ObjectMap,
): ObjectChange[] {
  const keys = [...new Set([...before.keys(), ...after.keys()])].sort();
  const changes: ObjectChange[] = [];
  for (const key of keys) {
    const old = before.get(key) ?? null;
    const next = after.get(key) ?? null;
    const object = next ?? old;
    if (!object || hasSameContent(old, next)) continue;
    const {kind, name} = object;
    changes.push({kind, name, before: old, after: next});
  }
  return changes;
}

/** The set after the edits. */
export function applyEdits(
  set: ObjectMap,
  edits: Iterable<ObjectEdit>,
): ObjectMap {
  const result = new Map(set);
  for (const edit of edits) {
    if (edit.object) result.set(formatObjectKey(edit), edit.object);
    else result.delete(formatObjectKey(edit));
  }
  return result;
}

/** Edits that make the changes. */
export function buildEdits(changes: readonly ObjectChange[]): ObjectEdit[] {
  return changes.map(({kind, name, after}) => ({kind, name, object: after}));
}

/** A published version as nodes pass it on. */
export function buildSpreadDelta(
  record: ChangeRecord,
): SpreadDelta<ConfigurationObject> {
  const edits = record.changes.map((change) => ({
    key: formatObjectKey(change),
    value: change.after,
  }));
  return {version: record.version, edits};
}

/** Edits that undo the changes. */
export function buildReverseEdits(
  changes: readonly ObjectChange[],
): ObjectEdit[] {
  return changes.map(({kind, name, before}) => ({kind, name, object: before}));
}

/**
 * Changes that are never allowed. A resend of a request may be under way while
 * its class changes, so the guard and the service of a class stay as they
 * were, even when the class was removed in between; `retired` looks up what a
 * removed class was.
 */
export function checkTransitions(
  changes: readonly ObjectChange[],
  retired: (key: string) => RequestClassObject | undefined,
): Finding[] {
  const findings: Finding[] = [];
  for (const change of changes) {
    const {after} = change;
    if (after?.kind !== ObjectKind.REQUEST_CLASS) continue;
    const before = change.before ?? retired(formatObjectKey(change));
    if (before?.kind !== ObjectKind.REQUEST_CLASS) continue;
    for (const field of ['guard', 'service'] as const) {
      if (before[field] === after[field]) continue;
      findings.push({
        place: `${after.kind} "${after.name}" ${field}`,
        message:
          `cannot change from "${before[field]}" to "${after[field]}"; ` +
          'create a request class with another name',
      });
    }
  }
  return findings;
}

function formatContent(object: ConfigurationObject | null): string {
  if (!object) return '';
  const entries = Object.entries(object) as Array<[string, unknown]>;
  return JSON.stringify(entries.sort(([a], [b]) => (a < b ? -1 : 1)));
}
