/** What the origin needs from the other parts of the node. */
import type {AccountMetrics} from 'sycamoreyoke/process/accountMetrics';
import type {Clock} from 'sycamoreyoke/clock';
import type {Metrics} from 'sycamoreyoke/process/metrics';
import type {Random} from 'sycamoreyoke/random';
import type {RetryAllowance} from 'sycamoreyoke/process/retryAllowance';
import type {StopSchedule} from 'sycamoreyoke/process/stopSchedule';
import type {WeightedRotation} from 'sycamoreyoke/process/weightedRotation';
import type {BeginCheck} from './beginCheck.js';
import type {ChildCallLookup} from './callOrigin.js';
import type {HeldBytes} from '../process/heldBytes.js';
import type {PeerTask} from '../process/peerTask.js';
import type {SegmentPool} from '../connection/segmentList.js';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import type {RouteTable} from 'sycamoreyoke/version/routeTable';
import type {AllotmentTask} from '../process/allotmentTask.js';
import type {WireProtocol} from '../types.js';

/** Dependencies of the handler. */
export interface OriginHandlerParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly wire: WireProtocol;
  readonly peers: PeerTask;
  readonly allotments: AllotmentTask;
  readonly rotation: WeightedRotation;
  readonly service: string;
  readonly record: EventRecorder;
  readonly metrics: Metrics;
  /** The budget for the bodies of requests. */
  readonly held: HeldBytes;
  readonly pool: SegmentPool;
  readonly accountMetrics: AccountMetrics;
  readonly readTable: () => RouteTable | undefined;
  readonly readRetryBudget: (service: string) => RetryAllowance;
  readonly beginCheck: BeginCheck;
  readonly childCalls: ChildCallLookup;
  /** Returns the schedule of the stop once the node is stopping. */
  readonly readStopSchedule: () => StopSchedule | undefined;
}
