import type {CallTree, Deployment, RequestKind} from './types.js';

/** Upstream capacity during an interval of a run. */
export interface Capacity {
  readonly durationMs: number;
  /** Actual slots and service time factor of each upstream, by service. */
  readonly upstreams: ReadonlyMap<
    string,
    ReadonlyArray<{readonly slots: number; readonly serviceTimeFactor: number}>
  >;
  /** Returns the factor on the processing time of a service. */
  readonly computeSlowdownFactor: (service: string) => number;
}

/**
 * Computes the most requests of each kind that the upstreams could have served
 * from end to end. Slot time goes to the kinds in descending importance. Among
 * kinds of equal importance, the same share of the offered requests is served
 * until a service that a kind needs has no slot time left.
 */
export function computeIdealGoodput(
  deployment: Deployment,
  capacity: Capacity,
  offered: ReadonlyMap<string, number>,
): Map<string, number> {
  const freeSlotMs = computeSlotMs(capacity);
  const served = new Map<string, number>();
  const importances = [
    ...new Set(deployment.kinds.map(({importance}) => importance)),
  ].sort((first, second) => second - first);
  for (const level of importances) {
    const kinds = deployment.kinds.filter(
      ({importance}) => importance === level,
    );
    addKinds(deployment, capacity, kinds, offered, freeSlotMs, served);
  }
  return served;
}

function computeSlotMs(capacity: Capacity): Map<string, number> {
  return new Map(
    [...capacity.upstreams].map(([service, upstreams]) => [
      service,
      capacity.durationMs * upstreams.reduce((sum, {slots}) => sum + slots, 0),
    ]),
  );
}

/**
 * Serves the kinds of one importance: raises the served share of all kinds
 * alike, and leaves out those that need a service with no slot time left.
 */
function addKinds(
  deployment: Deployment,
  capacity: Capacity,
  kinds: readonly RequestKind[],
  offered: ReadonlyMap<string, number>,
  freeSlotMs: Map<string, number>,
  served: Map<string, number>,
): void {
  let openKinds = kinds.map((kind) => ({
    kind,
    offered: offered.get(kind.name) ?? 0,
    demand: computeDemand(deployment, capacity, kind),
  }));
  let servedShare = 0;
  while (openKinds.length > 0 && servedShare < 1) {
    const demand = new Map<string, number>();
    for (const entry of openKinds) {
      for (const [service, holdMs] of entry.demand) {
        const neededMs = (demand.get(service) ?? 0) + holdMs * entry.offered;
        demand.set(service, neededMs);
      }
    }
    const step = Math.min(
      1 - servedShare,
      ...[...demand]
        .filter(([, neededMs]) => neededMs > 0)
        .map(
          ([service, neededMs]) => (freeSlotMs.get(service) ?? 0) / neededMs,
        ),
    );
    servedShare += step;
    for (const [service, neededMs] of demand) {
      freeSlotMs.set(service, (freeSlotMs.get(service) ?? 0) - step * neededMs);
    }
    for (const entry of openKinds) {
      served.set(entry.kind.name, servedShare * entry.offered);
    }
    const isFull = (service: string): boolean =>
      (freeSlotMs.get(service) ?? 0) < 1e-6 * capacity.durationMs;
    openKinds = openKinds.filter(
      (entry) => ![...entry.demand.keys()].some(isFull),
    );
  }
}

/** Computes the slot time in ms that one request needs, by service. */
function computeDemand(
  deployment: Deployment,
  capacity: Capacity,
  kind: RequestKind,
): Map<string, number> {
  const demand = new Map<string, number>();
  addHoldMs(deployment, capacity, kind.rootCall, demand);
  return demand;
}

/**
 * Returns the time in ms that a call holds its slot when nothing queues, and
 * adds this time and that of all its child calls to `demand`.
 */
function addHoldMs(
  deployment: Deployment,
  capacity: Capacity,
  call: CallTree,
  demand: Map<string, number>,
): number {
  const childCallMs = call.childCalls
    .map((child) => addHoldMs(deployment, capacity, child, demand))
    .reduce((sum, holdMs) => sum + holdMs, 0);
  const slowdownFactor = capacity.computeSlowdownFactor(call.service);
  const upstreams = capacity.upstreams.get(call.service) ?? [];
  const slots = upstreams.reduce((sum, upstream) => sum + upstream.slots, 0);
  const ratePerMs = upstreams.reduce(
    (sum, upstream) =>
      sum +
      upstream.slots /
        (call.processingMs * slowdownFactor * upstream.serviceTimeFactor +
          childCallMs),
    0,
  );
  const holdMs = slots / ratePerMs;
  demand.set(call.service, (demand.get(call.service) ?? 0) + holdMs);
  return holdMs;
}
