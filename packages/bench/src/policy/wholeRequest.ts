import type {Ledger} from './ledger.js';
import type {RequestKind} from './types.js';

/** A request of a caller over all its sends. */
export interface WholeRequest {
  readonly kind: RequestKind;
  readonly firstSentMs: number;
  readonly ledger: Ledger;
  sends: number;
  isAnswered: boolean;
  nodeRetries: number;
  starts: number;
  earlyRefusals: number;
}

/** One send of a caller. */
export interface Attempt {
  readonly request: WholeRequest;
  readonly deadline: number;
  isOver: boolean;
  slotMs: number;
}
