/** Types of the demo. */
import type {Execution} from '@sycamoreyoke/standins/upstream/executions';
import type {RequestRecord} from '@sycamoreyoke/standins/load/records';
import type {TimelineEvent} from 'sycamoreyoke/process/events';

/** A service of the deployment and its upstreams. */
export interface DemoService {
  readonly name: string;
  /** Data centre of each upstream. */
  readonly dataCentres: readonly string[];
  readonly slots: number;
  readonly connections: number;
  readonly serviceTimeMs: number;
  /** Calls of its upstreams, as `class>class`. */
  readonly calls: string;
}

/** A request class, as the checks need it. */
export interface DemoClass {
  readonly name: string;
  readonly isIdempotent: boolean;
  readonly isCritical: boolean;
  readonly retries: number;
}

/** What the run leaves for the checks. */
export interface DemoEvidence {
  readonly records: readonly RequestRecord[];
  /** Executions of all upstreams; a request may occur once for each. */
  readonly executions: readonly Execution[];
  readonly events: readonly TimelineEvent[];
  /** Readings before which events of a node were lost. */
  readonly gaps: number;
  /** Exit code of the drained node; null when it had to be killed. */
  readonly drainExitCode: number | null;
  /** Violations that the nodes counted, by invariant. */
  readonly counted: ReadonlyMap<string, number>;
}

/** One check and how often it failed. */
export interface CheckResult {
  readonly name: string;
  readonly violations: number;
  /** Request ids or names of some violations. */
  readonly examples: readonly string[];
}
