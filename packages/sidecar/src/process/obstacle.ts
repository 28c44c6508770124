/** Why a gate refuses a call at once, and for how long. */
import {STOP_RETRY_MS} from '../constants.js';
import {GateReason} from '../types.js';

export interface Obstacle {
  readonly reason: GateReason;
  readonly retryAfterMs: number;
}

export const STOPPING: Obstacle = {
  reason: GateReason.NODE_STOPPING,
  retryAfterMs: STOP_RETRY_MS,
};

export function createObstacle(reason: GateReason, retryAfterMs = 0): Obstacle {
  return {reason, retryAfterMs};
}
