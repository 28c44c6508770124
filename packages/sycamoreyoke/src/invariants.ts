import {InvariantError} from './errors.js';

/** Points of "What must always hold" that the program asserts itself. */
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

/** Called with each violated invariant. */
export type InvariantReporter = (invariant: Invariant, detail: string) => void;

/** Reporter for tests and measurements: stops at the first violation. */
export const reportByThrowing: InvariantReporter = (invariant, detail) => {
  throw new InvariantError(`${invariant}: ${detail}`);
};
