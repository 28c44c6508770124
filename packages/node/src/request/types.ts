import type {CompiledClass} from 'sycamoreyoke/version/compile';
import type {EntryGrant} from 'sycamoreyoke/process/entryLedger';
import type {SendAnswer} from 'sycamoreyoke/request/outcome';
import type {CallHeaders} from 'sycamoreyoke/request/types';
import type {Importance, RequestIdentity} from 'sycamoreyoke/types';

/** Where a call came in. */
export enum CallOrigin {
  /** From a caller outside; its headers are not trusted. */
  PUBLIC = 'public',
  /** From another node. */
  PEER = 'peer',
}

/** A call whose headers and body were checked. */
export interface IncomingCall {
  /** The id that the caller uses; the identity of a claim has its key. */
  readonly requestId: string;
  readonly identity: RequestIdentity;
  /** `<caller>/<request id>` where the request entered the system. */
  readonly rootId: string;
  readonly headers: CallHeaders;
  readonly compiledClass: CompiledClass;
  readonly importance: Importance;
  /** On the clock of the node, in milliseconds. */
  readonly deadline: number;
  readonly grant: EntryGrant;
  readonly method: string;
  readonly path: string;
  /** Headers that are passed on. */
  readonly forwardedHeaders: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A call on its way to another service. */
export interface OutgoingRequest {
  readonly requestId: string;
  readonly identity: RequestIdentity;
  readonly rootId: string;
  readonly headers: CallHeaders;
  readonly compiledClass: CompiledClass;
  readonly importance: Importance;
  /** On the clock of the node, in milliseconds. */
  readonly deadline: number;
  readonly allowance: number;
  readonly method: string;
  readonly path: string;
  readonly forwardedHeaders: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** The end of a delivery. */
export interface DeliveryResult {
  readonly answer: SendAnswer;
  /** Retries used for the call, here and below. */
  readonly retries: number;
}
