import type {Member} from 'sycamoreyoke/process/types';
import type {Outcome, RefusalReason} from 'sycamoreyoke/types';

/**
 * Lets a later send of the same guarded request join the earlier execution, so
 * that the request cannot run twice. An application that may resend after a
 * restart must store it.
 */
export interface ResumeToken {
  /** Member that the request is pinned to, for classes guarded by a pin. */
  readonly pinned?: Member;
  /** For classes guarded by a claim. */
  readonly idempotencyKey?: string;
  /** Lowest attempt number that a later send may use. */
  readonly nextAttempt: number;
}

/** A request sent by the application. */
export interface CallRequest {
  readonly requestClass: string;
  /** Must be the same for every resend; generated when absent. */
  readonly requestId?: string;
  readonly method?: string;
  readonly path?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array;
  /** In milliseconds; default: the timeout of the request class. */
  readonly timeoutMs?: number;
  /** Token from the result of an earlier send of the same request. */
  readonly resume?: ResumeToken;
}

/** Result of a request. */
export interface CallResult {
  readonly requestId: string;
  readonly outcome: Outcome;
  readonly reason?: RefusalReason;
  /** HTTP status; 0 when there is no response. */
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Uint8Array;
  /** Number of times the caller sent the request. */
  readonly sends: number;
  /** Retries used across the whole call chain. */
  readonly retries: number;
  /** Present for guarded classes. */
  readonly resume?: ResumeToken;
}

/** Identity of the caller and the nodes to contact first. */
export interface CallerOptions {
  /** Name by which the nodes know the caller. */
  readonly caller: string;
  readonly token: string;
  /** Public URLs of at least one node; the caller learns of others there. */
  readonly entries: readonly string[];
  /** Data centre of the caller; members in it are preferred. */
  readonly dataCentre: string;
}
