/** Dependencies of the task that keeps the links. */
import type {Clock} from 'sycamoreyoke/clock';
import type {GrantMessage} from 'sycamoreyoke/process/allotment/allotmentNode';
import type {CrashSuspect} from 'sycamoreyoke/process/crashRegister';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import type {
  LinkedProcesses,
  NodeProcess,
} from 'sycamoreyoke/process/linkedProcesses';
import type {Random} from 'sycamoreyoke/random';
import type {
  LeavingNotice,
  NodeRecord,
  NodeReport,
  OutgoingCall,
  PendingCall,
  ResultHandler,
} from '../types.js';
import type {ConfigurationPeer} from './configurationTask.js';
import type {HeldBytes} from './heldBytes.js';

/** What the task needs from the other parts of the node. */
export interface PeerTaskParts {
  readonly self: NodeRecord;
  readonly clock: Clock;
  readonly random: Random;
  readonly record: EventRecorder;
  readonly describeReport: () => NodeReport;
  /** Offers a call to this node's own gate, which needs no link. */
  readonly offerLocally: (
    call: OutgoingCall,
    handle: ResultHandler,
  ) => PendingCall;
  readonly handlePeerVersion: (
    version: number,
    peer: ConfigurationPeer,
  ) => void;
  /** Called when a link is silent; connections to the store may be, too. */
  readonly handleSilentLink: () => void;
  readonly handleConfiguration: (content: Uint8Array) => void;
  readonly handleNode: (node: NodeRecord) => void;
  /** Called with a node at whose address another node has answered. */
  readonly handleReplacedNode: (node: NodeRecord) => void;
  readonly listSuspects: () => readonly CrashSuspect[];
  readonly handleSuspects: (suspects: readonly CrashSuspect[]) => void;
  readonly linked: LinkedProcesses;
  /** Lists what a node has to know that has just been linked. */
  readonly listNotices: (process: NodeProcess) => readonly LeavingNotice[];
  readonly handleNotice: (notice: LeavingNotice) => void;
  /** Whether to ask peers for the node list, as the store is unreachable. */
  readonly needsNodes: () => boolean;
  /** Called when bytes of a node are read. */
  readonly handleActivity: () => void;
  /** The budget for the frames of all links. */
  readonly held: Pick<HeldBytes, 'hold'>;
  /** Chooses nodes to link besides those that are called. */
  readonly chooseOwners: (nodes: readonly NodeRecord[]) => ReadonlySet<string>;
  readonly handleGrant: (node: string, message: GrantMessage) => void;
  readonly handleOwnerLost: (node: string) => void;
  /** Called when the address of a node refuses connections. */
  readonly handleOwnerGone: (node: string) => void;
}
