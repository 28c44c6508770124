import {InvariantError} from './errors.js';

/**
 * Invariants that the program checks at run time, from the list "What must
 * always hold".
 */
export enum Invariant {
  RETRIES_BOUNDED = 'retries-bounded',
  CRITICAL_SHED_LAST = 'critical-shed-last',
  RESPONSE_MATCHES_REQUEST = 'response-matches-request',
  NOT_RUN_IS_TRUE = 'not-run-is-true',
  RUNS_AT_MOST_ONCE = 'runs-at-most-once',
  LEAVING_GETS_NO_WORK = 'leaving-gets-no-work',
  STOP_CUTS_NOTHING = 'stop-cuts-nothing',
  CONFIGURATION_NEVER_OLDER = 'configuration-never-older',
}

/** Called for each violation of an invariant. */
export type InvariantReporter = (invariant: Invariant, detail: string) => void;

/** Throws at the first violation; for tests and benchmarks. */
export const reportByThrowing: InvariantReporter = (invariant, detail) => {
  throw new InvariantError(`${invariant}: ${detail}`);
};
