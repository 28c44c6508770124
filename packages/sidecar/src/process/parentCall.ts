/** What is inferred of the running request for which an upstream makes a call. */
import {ParentEvidence} from 'sycamoreyoke/process/callParents';
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

/** Whether the evidence shows that the request is a call of the upstream. */
export function isCallEvidence(evidence: ParentEvidence): boolean {
  return evidence !== ParentEvidence.RECENCY;
}

/** Why a request that matches no running one may still be a call. */
export enum CallDoubt {
  /** It fits a request that has ended without an answer. */
  ENDED_PARENT = 'the call is for a request that has ended',
  /** Its connection is the upstream's, but it fits no request. */
  NO_PARENT = 'no request of the call is known',
  /** The node was restarted while its request may have run. */
  FORMER_PROCESS = 'no key, and its request may be from before a restart',
  /** It fits a running request if it was delayed on its way. */
  LATE = 'no key, and it arrived too late for a call of its time left',
}

/** The same, while the call counts as open. */
export interface ParentCall extends ParentRequest {
  /** Records that the call was answered. */
  finish(): void;
}
