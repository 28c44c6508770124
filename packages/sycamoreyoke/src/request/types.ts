import type {HybridTime} from '../process/hybridClock.js';
import type {Importance, Outcome, RefusalReason} from '../types.js';

/** The pin of a request: the only node process that may run it. */
export interface Pin {
  readonly incarnation: string;
  readonly epoch: number;
}

/** What the headers of a call say, after their check. */
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
  /** Execution id of the request that the upstream runs. */
  readonly parentId?: string;
  readonly importance?: Importance;
  readonly time?: HybridTime;
  readonly contentDigest?: string;
}

/** What a node adds to a response. */
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
