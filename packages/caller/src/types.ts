import type {Outcome, RefusalReason} from 'sycamoreyoke/types';

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
