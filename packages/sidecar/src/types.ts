/** Types shared by the sidecar's tasks, and the interfaces of its adapter. */
import type {BodyBytes} from './connection/bodyBytes.js';
import {isIP} from 'node:net';
import type {AllotmentTolerance} from 'sycamoreyoke/process/allotment/types';
import type {Importance} from 'sycamoreyoke/types';
import type {SendEnd} from 'sycamoreyoke/request/resend';
import type {UpstreamLeaving} from 'sycamoreyoke/process/upstreamLeavings';
import type {UpstreamLoad} from 'sycamoreyoke/process/placement';
import type {StorePosition} from 'sycamoreyoke/process/storePosition';
import type {RouteTable} from 'sycamoreyoke/version/routeTable';

const LARGEST_PORT = 65_535;

/** Alternating header names and values, in the order of their arrival. */
export type HeaderList = readonly string[];

/** An IP address and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Whether the host is an IP address and the port is from 1 to 65535. */
export function isAddress({host, port}: Address): boolean {
  return (
    isIP(host) !== 0 &&
    Number.isInteger(port) &&
    port > 0 &&
    port <= LARGEST_PORT
  );
}

/** A call that is sent to the node beside an upstream. */
export interface OutgoingCall {
  readonly requestId: string;
  readonly service: string;
  /** Service of the VM where the request began. */
  readonly callerService: string;
  /** Name of the route; requests of one route take a similar time. */
  readonly kind: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
  readonly body: BodyBytes;
  /** Time until the deadline, as of sending, ms. */
  readonly leftMs: number;
  /** Time, as of sending, within which a start is fully useful, ms. */
  readonly usefulMs: number;
  readonly importance: Importance;
  readonly isIdempotent: boolean;
  /** Client account whose key the request has, if any; the upstream learns it. */
  readonly account: string | undefined;
  /**
   * Account that an upstream's call is probably made for. Only the fair order
   * uses it: no header tells for which request a call is made.
   */
  readonly inferredAccount?: string | undefined;
}

/** Why a gate did not deliver a response. */
export enum GateReason {
  OVERLOADED = 'overloaded',
  DEADLINE = 'deadline',
  DRAINING = 'draining',
  UPSTREAM_DOWN = 'upstream-down',
  WRONG_SERVICE = 'wrong-service',
  UPSTREAM_REFUSED = 'upstream-refused',
  CONNECTION_LOST = 'connection-lost',
  BAD_RESPONSE = 'bad-response',
  /** The upstream sent more bytes than a response may have. */
  RESPONSE_TOO_LARGE = 'response-too-large',
  /** Incomplete responses of all connections took too much memory. */
  MEMORY_FULL = 'memory-full',
  CANCELLED = 'cancelled',
  LINK_LOST = 'link-lost',
  /** The node closes its links; the call has not run and will not run. */
  LINK_CLOSING = 'link-closing',
  NO_MEMBER = 'no-member',
  NODE_STOPPING = 'node-stopping',
  /** The request has crashed upstreams of the service. */
  CRASHING = 'crashing',
}

/** The result of a call; status, headers and body only with a response. */
export interface CallResult {
  readonly end: SendEnd;
  readonly reason: GateReason | undefined;
  /** When to try again, ms; only with a refusal. */
  readonly retryAfterMs: number;
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
}

/** A call that can be cancelled. */
export interface PendingCall {
  cancel(): void;
  /** Whether it waits at the gate, so that no upstream has received it. */
  readonly isWaiting?: () => boolean;
}

/** Handles the result of a call; called once. */
export type ResultHandler = (result: CallResult) => void;

/** A node of the deployment. */
export interface NodeRecord {
  readonly node: string;
  /** Differs for each start of the node's process. */
  readonly incarnation: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly address: Address;
}

/** The upstreams that a node has acknowledged to leave. */
export interface LeavingNotice {
  /** Name of the node. */
  readonly node: string;
  readonly leavings: readonly UpstreamLeaving[];
}

/** A version of the configuration and the bytes it was decoded from. */
export interface VersionedConfiguration {
  readonly table: RouteTable;
  readonly content: Uint8Array;
}

/** What an adapter reads from the headers of a client's request. */
export interface ClientHead {
  readonly requestId: string | undefined;
  readonly leftMs: number | undefined;
  /** Key of a client account. */
  readonly key: string | undefined;
  /** Headers that are forwarded to the upstream. */
  readonly headers: HeaderList;
}

/** What an adapter reads from the status and headers of a response. */
export interface UpstreamHead {
  readonly requestId: string | undefined;
  /** Whether the response has the upstream's seal. */
  readonly isSealed: boolean;
  /** Whether the upstream reports the request as not run. */
  readonly isNotRun: boolean;
  /** Whether another instance answered than the one addressed. */
  readonly isOtherInstance: boolean;
}

/** What an adapter reads from the answer to a status check. */
export interface StatusAnswer {
  /** Whether the upstream is healthy and not leaving. */
  readonly isServing: boolean;
  /** Whether it refused the check like any other request. */
  readonly isNotRun: boolean;
  readonly instance: string | undefined;
}

/** What the node tells the upstream about a request, in headers. */
export interface UpstreamAdditions {
  readonly requestId: string;
  readonly leftMs: number;
  readonly instance: string;
  readonly callerService: string;
  /** Client account whose key the request has; calls of upstreams have none. */
  readonly account: string | undefined;
}

/** Reads and writes the headers used between node, clients and upstream. */
export interface WireProtocol {
  readClientHead(headers: HeaderList): ClientHead;
  buildUpstreamHeaders(additions: UpstreamAdditions): HeaderList;
  readUpstreamHead(status: number, headers: HeaderList): UpstreamHead;
  readStatusAnswer(status: number, headers: HeaderList): StatusAnswer;
}

/** Decodes stored configuration; throws a ValidationError if it is invalid. */
export type ConfigurationDecoder = (content: Uint8Array) => RouteTable;

/** A row of a table, or a change of it, and where it was read. */
export interface StoredRow extends StorePosition {
  readonly key: string;
  /** Undefined if the row was removed. */
  readonly value: Uint8Array | undefined;
}

/** Rows of a table and the table version that they reflect. */
export interface RowBatch extends StorePosition {
  readonly rows: readonly StoredRow[];
}

/** What is known about a row that was to be removed. */
export enum RowRemoval {
  DONE = 'done',
  /** The row has another version or was removed before. */
  CHANGED = 'changed',
  /** The store is in another era than the row's version, so nothing was sent. */
  NOT_SENT = 'not-sent',
  /**
   * The answer came from another era. The store may have removed another row
   * that has the version by chance.
   */
  UNCERTAIN = 'uncertain',
}

/** Tables of the platform's store that a node uses. */
export enum StoreTable {
  /** One row with the active configuration. */
  CONFIGURATION = 'configuration',
  /**
   * One row per node, per request refused for crashing upstreams, and per node
   * that was stopped while its upstream was leaving.
   */
  NODES = 'nodes',
}

/** The platform's store as a node uses it. */
export interface FleetStore {
  list(table: StoreTable): Promise<RowBatch>;
  /**
   * Waits for rows changed after a version. Rejects with a HistoryLostError if
   * the store does not have the version or the changes after it, or with a StoreSilentError if it has
   * not answered when the wait is over.
   */
  watch(
    table: StoreTable,
    afterVersion: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<RowBatch>;
  /** Writes a row of the node table; resolves to the era that has it. */
  writeRow(key: string, value: Uint8Array): Promise<number>;
  /** Removes a row of the node table if it still has the version. */
  removeRow(key: string, readIn: StorePosition): Promise<RowRemoval>;
  /** Calls back when any answer shows that the store is in a later era. */
  subscribeToEras(handleEra: (era: number) => void): void;
}

/** The state that a node reports to its peers. */
export interface NodeReport {
  readonly configurationVersion: number;
  readonly load: UpstreamLoad;
}

/** Settings that can be changed while the sidecar runs. */
export interface ReloadableSettings {
  /** Time from SIGTERM to SIGKILL, ms. */
  readonly graceMs: number;
  /** Time in which a draining upstream must stop getting requests, ms. */
  readonly drainMs: number;
  readonly retryBudget: {
    /** Retries that reach an upstream, as a share of the requests. */
    readonly share: number;
    /** Additional retries that the whole deployment may make. */
    readonly slack: number;
  };
  /** Tolerated excess over the allotments of client accounts, if any. */
  readonly allotmentTolerance: AllotmentTolerance | undefined;
}

/** Settings of a sidecar. */
export interface SidecarSettings extends ReloadableSettings {
  readonly node: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly ip: string;
  readonly peerPort: number;
  /** Memory that the process may use, MB. */
  readonly memoryMb: number;
  /** Descriptors that the process may have open. */
  readonly maxFds: number;
  readonly metricsPort: number | undefined;
  readonly outbound: Address;
  readonly ready: Address;
  readonly upstream: Address;
}
