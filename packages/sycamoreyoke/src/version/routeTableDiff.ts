/** Describes what differs between two versions of a routing configuration. */
import type {Account} from './accounts.js';
import type {RouteTable} from './routeTable.js';

/** Lists the differences, a line each; keys of accounts are only counted. */
export function listTableChanges(
  before: RouteTable,
  after: RouteTable,
): readonly string[] {
  return [
    ...compareObjects(
      'route',
      collectByName(before.routes),
      collectByName(after.routes),
    ),
    ...compareObjects('service', before.services, after.services),
    ...compareFields('limits', before.limits, after.limits),
    ...compareAccounts(before, after),
  ];
}

function collectByName<T extends {readonly name: string}>(
  items: readonly T[],
): ReadonlyMap<string, T> {
  return new Map(items.map((item) => [item.name, item]));
}

function compareObjects<T extends object>(
  kind: string,
  before: ReadonlyMap<string, T>,
  after: ReadonlyMap<string, T>,
): string[] {
  const names = new Set([...before.keys(), ...after.keys()]);
  return [...names].flatMap((name) => {
    const label = `${kind} "${name}"`;
    const [old, current] = [before.get(name), after.get(name)];
    if (!old) return [`${label}: added`];
    if (!current) return [`${label}: removed`];
    return compareFields(label, old, current);
  });
}

function compareFields<T extends object>(
  label: string,
  before: T,
  after: T,
): string[] {
  const fields = new Set([...Object.keys(before), ...Object.keys(after)]);
  const read = (object: T, field: string) =>
    JSON.stringify((object as Record<string, unknown>)[field]) ?? 'none';
  return [...fields].flatMap((field) => {
    const [old, current] = [read(before, field), read(after, field)];
    return old === current ? [] : [`${label}: ${field} ${old} -> ${current}`];
  });
}

function compareAccounts(before: RouteTable, after: RouteTable): string[] {
  const [old, current] = [before, after].map(
    ({accounts}) => accounts?.accounts ?? new Map<string, Account>(),
  ) as [ReadonlyMap<string, Account>, ReadonlyMap<string, Account>];
  const lines = compareObjects('account', removeKeys(old), removeKeys(current));
  for (const [name, {keys}] of current) {
    const known = old.get(name)?.keys;
    if (!known) continue;
    const added = keys.filter((key) => !known.includes(key)).length;
    const removed = known.filter((key) => !keys.includes(key)).length;
    if (added + removed === 0) continue;
    lines.push(`account "${name}": ${added} keys added, ${removed} removed`);
  }
  return lines;
}

function removeKeys(
  accounts: ReadonlyMap<string, Account>,
): ReadonlyMap<string, object> {
  return new Map(
    [...accounts].map(([name, {rank, ratePerS, burst}]) => [
      name,
      {rank, ratePerS, burst},
    ]),
  );
}
