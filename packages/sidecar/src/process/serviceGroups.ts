/** Groups items by the service that they belong to. */

export function collectByService<T>(
  items: Iterable<T>,
  readService: (item: T) => string,
): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const service = readService(item);
    const group = groups.get(service);
    if (group) group.push(item);
    else groups.set(service, [item]);
  }
  return groups;
}
