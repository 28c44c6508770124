import type {HybridTime} from '../process/hybridClock.js';
import type {Importance, Outcome, RefusalReason} from '../types.js';

/** Identifies the only node process that may run a pinned request. */
export interface Pin {
  readonly incarnation: string;
  readonly epoch: number;
}

/** The validated headers of a call. */
export interface CallHeaders {
  readonly service?: string;
  readonly requestClass: string;
  readonly requestId?: string;
  readonly attempt: number;
  readonly timeoutMs?: number;
  readonly allowance?: number;
  readonly pin?: Pin;
  readonly idempotencyKey?: string;
  readonly caller?: string;
  readonly token?: string;
  readonly rootId?: string;
  /** Execution ID of the request that the upstream is running. */
  readonly parentId?: string;
  readonly importance?: Importance;
  readonly time?: HybridTime;
  readonly contentDigest?: string;
}

/** Values of the headers that a node adds to a response. */
export interface ResponseHeaders {
  readonly outcome: Outcome;
  readonly requestId: string;
  readonly reason?: RefusalReason;
  readonly retries: number;
  readonly level?: string;
  readonly nextAttempt?: number;
  readonly retryAfterMs?: number;
  readonly contentDigest?: string;
  readonly time?: HybridTime;
}

/** A complete response, ready to be sent or replayed. */
export interface CallResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}
