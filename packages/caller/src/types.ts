import type {Member} from 'sycamoreyoke/process/types';
import type {Outcome, RefusalReason} from 'sycamoreyoke/types';

/**
 * What a later send of the same guarded request needs, so that it cannot run a
 * second time. An application that may send again after a restart keeps it.
 */
export interface ResumeToken {
  readonly pinned?: Member;
  readonly idempotencyKey?: string;
  readonly nextAttempt: number;
}

/** A request of the application. */
export interface CallRequest {
  readonly requestClass: string;
  /** Stays the same for every resend; generated when absent. */
  readonly requestId?: string;
  readonly method?: string;
  readonly path?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array;
  /** In milliseconds; the time limit of the class when absent. */
  readonly timeoutMs?: number;
  /** From the result of an earlier send of the same request. */
  readonly resume?: ResumeToken;
}

/** What became of a request. */
export interface CallResult {
  readonly requestId: string;
  readonly outcome: Outcome;
  readonly reason?: RefusalReason;
  /** 0 when there is no response. */
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Uint8Array;
  readonly sends: number;
  /** Retries used across the whole call chain. */
  readonly retries: number;
  /** Present for guarded classes. */
  readonly resume?: ResumeToken;
}

/** Who calls, and where the first node is found. */
export interface CallerOptions {
  readonly caller: string;
  readonly token: string;
  /** Public URLs of any nodes; the others are learned from them. */
  readonly entries: readonly string[];
  /** Data centre of the caller; its own members are called first. */
  readonly dataCentre: string;
}
