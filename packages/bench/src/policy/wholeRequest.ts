import type {Ledger} from './ledger.js';
import type {RequestKind} from './types.js';

/** A request of a caller, across all its sends. */
export interface WholeRequest {
  readonly kind: RequestKind;
  readonly firstSentMs: number;
  readonly ledger: Ledger;
  sends: number;
  isAnswered: boolean;
  /** Retries by nodes, over all hops. */
  nodeRetries: number;
  /** Starts on upstreams, over all hops. */
  starts: number;
  /** Calls refused by an egress without being sent. */
  earlyRefusals: number;
}

/** One send of a request by its caller. */
export interface Attempt {
  readonly request: WholeRequest;
  /** Virtual time in milliseconds. */
  readonly deadline: number;
  /** Set when the response has arrived or the caller has timed out. */
  isOver: boolean;
  /** Slot time that the send has used on all upstreams. */
  slotMs: number;
}
