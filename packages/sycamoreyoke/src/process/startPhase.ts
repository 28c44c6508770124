/** Decides when a starting node accepts requests. */

/** Progress of a starting node. */
export interface StartState {
  readonly hasConfiguration: boolean;
  /** Whether a peer has announced a newer configuration. */
  readonly isBehindPeers: boolean;
  /** True once the list of nodes has been read. */
  readonly hasNodeList: boolean;
  /** Services of all known nodes, except the node's own service. */
  readonly knownServices: ReadonlySet<string>;
  /** Services with an open link to one of their nodes. */
  readonly linkedServices: ReadonlySet<string>;
  readonly elapsedMs: number;
}

/**
 * Time after which a node accepts requests even if a service has no open link,
 * since all nodes of that service may be down, or if a newer configuration has
 * not arrived, since its peer may be gone.
 */
const MAX_START_MS = 2_000;

/**
 * Returns true once the outgoing calls of the upstream can be served. Requests
 * accepted earlier fail with their first call: a restarted node answered 29 of
 * its first 30 requests with the upstream's status 500.
 */
export function isStarted(state: StartState): boolean {
  if (!state.hasConfiguration) return false;
  if (state.elapsedMs >= MAX_START_MS) return true;
  const {hasNodeList, isBehindPeers, knownServices, linkedServices} = state;
  return (
    hasNodeList &&
    !isBehindPeers &&
    [...knownServices].every((service) => linkedServices.has(service))
  );
}
