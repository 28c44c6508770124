import type {Clock} from 'sycamoreyoke/clock';
import type {InvariantReporter} from 'sycamoreyoke/invariants';
import type {AdmissionLevelCache} from 'sycamoreyoke/process/admissionLevel';
import type {CrashRegister} from 'sycamoreyoke/process/crashRegister';
import type {EntryLedger} from 'sycamoreyoke/process/entryLedger';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import type {HybridClock} from 'sycamoreyoke/process/hybridClock';
import type {Metrics} from 'sycamoreyoke/process/metrics';

import type {Member, Router} from 'sycamoreyoke/process/types';
import type {Random} from 'sycamoreyoke/random';
import type {CallConnections} from '../connection/callConnections.js';
import type {TokenDigests} from '../request/callerCheck.js';
import type {ConfigurationTask} from './configurationTask.js';
import type {DrainTask} from './drainTask.js';
import type {ExecutorTask} from './executorTask.js';
import type {GateTask} from './gateTask.js';
import type {Lifecycle} from './lifecycle.js';
import type {LostExecutions} from './lostExecutions.js';
import type {MemberLatencies} from './memberLatencies.js';
import type {PauseTask} from './pauseTask.js';
import type {RetryBudgets} from './retryBudgets.js';
import type {RunningRequests} from './runningRequests.js';
import type {UpstreamMonitor} from './upstreamMonitor.js';

/** The components of a node that request handlers use. */
export interface NodeParts {
  readonly service: string;
  readonly incarnation: string;
  /** URL origin of the upstream, such as http://127.0.0.1:8080. */
  readonly upstreamOrigin: string;
  readonly clock: Clock;
  readonly hybridClock: HybridClock;
  readonly random: Random;
  readonly record: EventRecorder;
  readonly report: InvariantReporter;
  readonly metrics: Metrics;
  readonly lifecycle: Lifecycle;
  readonly configuration: ConfigurationTask;
  readonly tokenDigests: TokenDigests;
  readonly entryLedger: EntryLedger;
  readonly gate: GateTask;
  readonly drain: DrainTask;
  readonly pauseTask: PauseTask;
  readonly executor: ExecutorTask;
  readonly runningRequests: RunningRequests;
  readonly crashRegister: CrashRegister;
  readonly lostExecutions: LostExecutions;
  readonly upstreamMonitor: UpstreamMonitor;
  readonly callConnections: CallConnections;
  readonly router: Router;
  readonly admissionLevels: AdmissionLevelCache;
  readonly memberLatencies: MemberLatencies;
  readonly retryBudgets: RetryBudgets;
  /** Called for each new request that the node accepts. */
  readonly observeWork: (requestId: string) => void;
  /**
   * Keeps the members of a service up to date while it is called. Returns the
   * pending member look-up, or undefined when members are known.
   */
  readonly subscribe: (service: string) => Promise<void> | undefined;
  /** Reports to the membership that a member of another service failed. */
  readonly reportUnreachable: (member: Member, isRefused: boolean) => void;
  /** Reports that a member refused a call because it is leaving. */
  readonly reportLeaving: (member: Member) => void;
}
