/** What the sidecar's tasks say to each other, and what an adapter supplies. */
import {isIP} from 'node:net';
import type {Importance} from 'sycamoreyoke/types';
import type {SendEnd} from 'sycamoreyoke/request/resend';
import type {UpstreamLoad} from 'sycamoreyoke/process/placement';
import type {RouteTable} from 'sycamoreyoke/version/routeTable';

const LARGEST_PORT = 65_535;

/** Header names and values in turn, as they arrived. */
export type HeaderList = readonly string[];

/** IP address and port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Whether a socket can be opened to an address. */
export function isAddress({host, port}: Address): boolean {
  return (
    isIP(host) !== 0 &&
    Number.isInteger(port) &&
    port > 0 &&
    port <= LARGEST_PORT
  );
}

/** A call on its way to the node beside an upstream. */
export interface OutgoingCall {
  readonly requestId: string;
  readonly service: string;
  /** Service of the VM where the request began. */
  readonly callerService: string;
  /** Route of the request; requests of one route take similar time. */
  readonly kind: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
  /** Time left when it is sent, ms. */
  readonly leftMs: number;
  /** Time left in which a start is of full use, ms. */
  readonly usefulMs: number;
  readonly importance: Importance;
  readonly isIdempotent: boolean;
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
  /** The upstream sent more than one response may have. */
  RESPONSE_TOO_LARGE = 'response-too-large',
  /** Unfinished responses took too much memory together. */
  MEMORY_FULL = 'memory-full',
  CANCELLED = 'cancelled',
  LINK_LOST = 'link-lost',
  /** The node closes its links; the call has not run and will not. */
  LINK_CLOSING = 'link-closing',
  NO_MEMBER = 'no-member',
  NODE_STOPPING = 'node-stopping',
  /** The request has crashed upstreams of the service. */
  CRASHING = 'crashing',
}

/** How a call at a gate ended. */
export interface CallResult {
  readonly end: SendEnd;
  readonly reason: GateReason | undefined;
  /** When to try again, ms; only with a refusal. */
  readonly retryAfterMs: number;
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
}

/** A call that can be given up. */
export interface PendingCall {
  cancel(): void;
  /** Whether it waits at the gate, so that its upstream has not seen it. */
  readonly isWaiting?: () => boolean;
}

/** Takes the result of a call, once. */
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

/** A version of the configuration and the bytes it was decoded from. */
export interface VersionedConfiguration {
  readonly table: RouteTable;
  readonly content: Uint8Array;
}

/** What an adapter reads from the head of a client's request. */
export interface ClientHead {
  readonly requestId: string | undefined;
  readonly leftMs: number | undefined;
  /** Headers that go on to the upstream. */
  readonly headers: HeaderList;
}

/** What an adapter reads from the head of an upstream's response. */
export interface UpstreamHead {
  readonly requestId: string | undefined;
  /** The upstream vouches for the response. */
  readonly isSealed: boolean;
  /** The upstream says that it has not run the request. */
  readonly isNotRun: boolean;
  /** Another instance answered than the one that was named. */
  readonly isOtherInstance: boolean;
}

/** What the node adds to a request for an upstream. */
export interface UpstreamAdditions {
  readonly requestId: string;
  readonly leftMs: number;
  readonly instance: string;
  readonly callerService: string;
}

/** Names of headers between the node, its clients and its upstream. */
export interface WireProtocol {
  readClientHead(headers: HeaderList): ClientHead;
  buildUpstreamHeaders(additions: UpstreamAdditions): HeaderList;
  readUpstreamHead(status: number, headers: HeaderList): UpstreamHead;
}

/** Decodes stored configuration; throws a ValidationError. */
export type ConfigurationDecoder = (content: Uint8Array) => RouteTable;

/** A changed row of a watched table. */
export interface StoredRow {
  readonly key: string;
  /** Absent when the row was removed. */
  readonly value: Uint8Array | undefined;
  readonly version: number;
}

/** Rows of a table and the version up to which they are known. */
export interface RowBatch {
  readonly rows: readonly StoredRow[];
  readonly version: number;
}

/** Tables of the platform's store that a node uses. */
export enum StoreTable {
  /** One row for the configuration in force. */
  CONFIGURATION = 'configuration',
  /** One row for each node and for each request that crashes upstreams. */
  NODES = 'nodes',
}

/** The platform's store as a node uses it. */
export interface FleetStore {
  list(table: StoreTable): Promise<RowBatch>;
  /**
   * Waits for rows changed after a version; throws a HistoryLostError, or a
   * StoreSilentError when the wait is over without an answer.
   */
  watch(
    table: StoreTable,
    afterVersion: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<RowBatch>;
  /** Writes a row of the table of nodes. */
  writeRow(key: string, value: Uint8Array): Promise<void>;
  /** Removes the row if it still has the version. */
  removeRow(key: string, version: number): Promise<void>;
}

/** What a node tells its peers about itself. */
export interface NodeReport {
  readonly configurationVersion: number;
  readonly load: UpstreamLoad;
}

/** Settings that a running sidecar takes over. */
export interface SidecarBounds {
  /** Time from SIGTERM to SIGKILL, ms. */
  readonly graceMs: number;
  /** Time in which a draining upstream must stop getting requests, ms. */
  readonly drainMs: number;
  readonly retryBudget: {
    /** Arrivals beyond the first, as a share of the requests. */
    readonly share: number;
    /** Arrivals beyond the share that the whole deployment may make. */
    readonly slack: number;
  };
}

/** Settings of a sidecar, whatever their source. */
export interface SidecarSettings extends SidecarBounds {
  readonly node: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly ip: string;
  readonly peerPort: number;
  readonly metricsPort: number | undefined;
  readonly outbound: Address;
  readonly ready: Address;
  readonly upstream: Address;
}
