/** What is known of the running request for which an upstream makes a call. */
import type {WorkDone} from 'sycamoreyoke/process/retryOrder';
import type {Importance} from 'sycamoreyoke/types';

/** The request for which the upstream makes a call. */
export interface ParentRequest {
  readonly requestId: string;
  readonly importance: Importance;
  /** Account that the request belongs to, or probably belongs to. */
  readonly account: string | undefined;
  /** Whether the deadlines match; if not, it may be a client's request. */
  readonly isConfirmed: boolean;
  /** Returns how near the request is to its end. */
  readWork(): WorkDone | undefined;
}

/** The same, while the call counts as open. */
export interface ParentCall extends ParentRequest {
  /** Records that the call was answered. */
  finish(): void;
}
