/** Refusals of calls by the gate, before they are queued or run. */
import {STOP_RETRY_MS} from '../constants.js';
import {GateReason} from '../types.js';

/** Why a gate refuses a call, and when to try again. */
export interface GateRefusal {
  readonly reason: GateReason;
  readonly retryAfterMs: number;
}

export const NODE_STOPPING_REFUSAL: GateRefusal = {
  reason: GateReason.NODE_STOPPING,
  retryAfterMs: STOP_RETRY_MS,
};

export function createRefusal(
  reason: GateReason,
  retryAfterMs = 0,
): GateRefusal {
  return {reason, retryAfterMs};
}
