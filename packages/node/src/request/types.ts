import type {CompiledClass} from 'sycamoreyoke/version/compile';
import type {EntryGrant} from 'sycamoreyoke/process/entryLedger';
import type {SendAnswer} from 'sycamoreyoke/request/outcome';
import type {CallHeaders} from 'sycamoreyoke/request/types';
import type {Importance, RequestIdentity} from 'sycamoreyoke/types';

/** The listener on which a call arrived. */
export enum CallOrigin {
  /** From an outside caller, whose headers are not trusted. */
  PUBLIC = 'public',
  /** From another node. */
  PEER = 'peer',
}

/** An incoming call whose headers and body have been validated. */
export interface IncomingCall {
  /** Request id of the caller; the identity of a claim has its key instead. */
  readonly requestId: string;
  readonly identity: RequestIdentity;
  /** `<caller>/<request id>` of the request that entered the system. */
  readonly rootId: string;
  readonly headers: CallHeaders;
  readonly compiledClass: CompiledClass;
  readonly importance: Importance;
  /** Deadline in ms on the monotonic clock of the node. */
  readonly deadline: number;
  readonly grant: EntryGrant;
  readonly method: string;
  readonly path: string;
  /** Request headers to forward. */
  readonly forwardedHeaders: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A call to be sent to another service. */
export interface OutgoingRequest {
  readonly requestId: string;
  readonly identity: RequestIdentity;
  readonly rootId: string;
  readonly headers: CallHeaders;
  readonly compiledClass: CompiledClass;
  readonly importance: Importance;
  /** Deadline in ms on the monotonic clock of the node. */
  readonly deadline: number;
  /** Retries that may be used for the call. */
  readonly allowance: number;
  readonly method: string;
  readonly path: string;
  readonly forwardedHeaders: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** The result of delivering a call to another service. */
export interface DeliveryResult {
  readonly answer: SendAnswer;
  /** Retries used for the call, by this node and further down the chain. */
  readonly retries: number;
}
