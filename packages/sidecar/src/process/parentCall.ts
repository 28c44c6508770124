/** What is inferred of the running request for which an upstream makes a call. */
import type {ParentEvidence} from 'sycamoreyoke/process/callParents';
import type {WorkDone} from 'sycamoreyoke/process/retryOrder';
import type {Importance} from 'sycamoreyoke/types';

/** The request for which the upstream probably makes a call. */
export interface ParentRequest {
  readonly requestId: string;
  /** The highest of all requests for which the call may be made. */
  readonly importance: Importance;
  /** Account that the request belongs to, or probably belongs to. */
  readonly account: string | undefined;
  /** Without a matching deadline, the call may be a client's request. */
  readonly evidence: ParentEvidence;
  /** Returns how near the request is to its end. */
  readWork(): WorkDone | undefined;
}

/** The same, while the call counts as open. */
export interface ParentCall extends ParentRequest {
  /** Records that the call was answered. */
  finish(): void;
}
