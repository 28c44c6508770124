/** Decides when a node that starts takes calls. */

/** What a node that starts knows by now. */
export interface StartState {
  readonly hasConfiguration: boolean;
  /** Whether the list of nodes has been read. */
  readonly isListed: boolean;
  /** Services of the nodes that are known, this one's left out. */
  readonly knownServices: ReadonlySet<string>;
  /** Services with an open link to one of their nodes. */
  readonly linkedServices: ReadonlySet<string>;
  readonly elapsedMs: number;
}

/**
 * Time after which a node takes calls although a service is still missing: it
 * may have no node that is up.
 */
const LONGEST_START_MS = 2_000;

/**
 * Whether the calls that an upstream makes for its requests can be served. A
 * request that is taken earlier fails with its first call: a restarted node
 * answered 29 of the first 30 with the upstream's 500.
 */
export function isStarted(state: StartState): boolean {
  if (!state.hasConfiguration) return false;
  if (state.elapsedMs >= LONGEST_START_MS) return true;
  const {isListed, knownServices, linkedServices} = state;
  return (
    isListed &&
    [...knownServices].every((service) => linkedServices.has(service))
  );
}
