/** Computes and applies differences between sets of objects. */
import type {Finding} from '../findings.js';
import type {VersionDelta} from '../process/configPropagationTypes.js';
import type {
  ChangeRecord,
  ConfigurationObject,
  ObjectChange,
  ObjectEdit,
  RequestClassObject,
} from './types.js';
import {ObjectKind} from './types.js';

/** Objects by their key, see formatObjectKey. */
export type ObjectMap = ReadonlyMap<string, ConfigurationObject>;

interface ObjectIdentity {
  readonly kind: string;
  readonly name: string;
}

/** Formats the key of an object in maps and in the table. */
export function formatObjectKey(identity: ObjectIdentity): string {
  return `${identity.kind}/${identity.name}`;
}

/** Builds a map of objects by their key. */
export function buildObjectMap(
  objects: Iterable<ConfigurationObject>,
): ObjectMap {
  const map = new Map<string, ConfigurationObject>();
  for (const object of objects) map.set(formatObjectKey(object), object);
  return map;
}

/** Returns true if two objects have equal fields, in any order. */
export function hasSameContent(
  a: ConfigurationObject | null,
  b: ConfigurationObject | null,
): boolean {
  return formatContent(a) === formatContent(b);
}

/** Returns the changes from the first set to the second, in key order. */
export function compareSets(
  before: ObjectMap,
  after: ObjectMap,
): ObjectChange[] {
  const keys = [...new Set([...before.keys(), ...after.keys()])].sort();
  const changes: ObjectChange[] = [];
  for (const key of keys) {
    const oldObject = before.get(key) ?? null;
    const newObject = after.get(key) ?? null;
    const object = newObject ?? oldObject;
    if (!object || hasSameContent(oldObject, newObject)) continue;
    const {kind, name} = object;
    changes.push({kind, name, before: oldObject, after: newObject});
  }
  return changes;
}

/** Returns a copy of the set with the edits applied. */
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

/** Builds the edits that apply the changes. */
export function buildEdits(changes: readonly ObjectChange[]): ObjectEdit[] {
  return changes.map(({kind, name, after}) => ({kind, name, object: after}));
}

/** Builds the delta by which nodes propagate a published version. */
export function buildVersionDelta(
  record: ChangeRecord,
): VersionDelta<ConfigurationObject> {
  const edits = record.changes.map((change) => ({
    key: formatObjectKey(change),
    value: change.after,
  }));
  return {version: record.version, edits};
}

/** Builds the edits that revert the changes. */
export function buildReverseEdits(
  changes: readonly ObjectChange[],
): ObjectEdit[] {
  return changes.map(({kind, name, before}) => ({kind, name, object: before}));
}

/**
 * Reports changes that are never allowed. A request may still be resent while
 * its class changes, so the guard and the service of a class must not change,
 * even if the class was removed in between. `findRetiredClass` looks up the
 * last definition of a removed class.
 */
export function checkTransitions(
  changes: readonly ObjectChange[],
  findRetiredClass: (key: string) => RequestClassObject | undefined,
): Finding[] {
  const findings: Finding[] = [];
  for (const change of changes) {
    const {after} = change;
    if (after?.kind !== ObjectKind.REQUEST_CLASS) continue;
    const before = change.before ?? findRetiredClass(formatObjectKey(change));
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
