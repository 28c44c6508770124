/** Types of the demo. */
import type {Execution} from '@sycamoreyoke/standins/upstream/executions';
import type {RequestRecord} from '@sycamoreyoke/standins/load/records';
import type {TimelineEvent} from 'sycamoreyoke/process/events';

/** A service of the demo; its settings apply to each of its upstreams. */
export interface DemoService {
  readonly name: string;
  /** Data centre of each upstream. */
  readonly dataCentres: readonly string[];
  readonly slots: number;
  readonly connections: number;
  readonly serviceTimeMs: number;
  /** Child calls of its upstreams, as `class>called class`. */
  readonly calls: string;
}

/** The properties of a request class that the checks use. */
export interface DemoClass {
  readonly name: string;
  readonly isIdempotent: boolean;
  readonly isCritical: boolean;
  /** Highest number of retries allowed for one request. */
  readonly retries: number;
}

/** What a run recorded, as input of the checks. */
export interface DemoEvidence {
  readonly records: readonly RequestRecord[];
  /** Executions on all upstreams; one entry per request and upstream. */
  readonly executions: readonly Execution[];
  readonly events: readonly TimelineEvent[];
  /** Number of reads that missed events of a node. */
  readonly timelineGaps: number;
  /** Exit code of the drained node; null if it had to be killed. */
  readonly drainExitCode: number | null;
  /** Violations counted by the nodes, by invariant. */
  readonly violationCounts: ReadonlyMap<string, number>;
}

/** Result of a check. */
export interface CheckResult {
  readonly name: string;
  readonly violations: number;
  /** Request ids or invariant names of the first few violations. */
  readonly examples: readonly string[];
}
