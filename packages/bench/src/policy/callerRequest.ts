import type {RetryBudget} from './retryBudget.js';
import type {RequestKind} from './types.js';

/** A request of a caller, across all its sends. */
export interface CallerRequest {
  readonly kind: RequestKind;
  readonly firstSentMs: number;
  readonly retryBudget: RetryBudget;
  sends: number;
  isAnswered: boolean;
  /** Retries by nodes, over all hops. */
  nodeRetries: number;
  /** Starts on upstreams, over all hops. */
  upstreamStarts: number;
  /** Calls refused by an egress without being sent. */
  earlyRefusals: number;
}

/** One send of a request by its caller. */
export interface Attempt {
  readonly request: CallerRequest;
  /** Virtual time in milliseconds. */
  readonly deadline: number;
  /** Set when the response has arrived or the caller has timed out. */
  isFinished: boolean;
  /** Slot time that the send has used on all upstreams. */
  slotMs: number;
}
