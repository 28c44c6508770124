/** Computes the epoch for a pin to a member. */
import type {Member} from '../process/types.js';
import {EPOCH_MS} from './record.js';

/**
 * Subtracted from the age of the process when its epoch is computed elsewhere.
 * An estimate that is too low is harmless, since a node accepts pins of its
 * previous epoch; a pin of a future epoch is refused.
 */
export const EPOCH_LAG_MS = 5_000;

/**
 * Returns the epoch that a pin to the member should carry, or undefined if the
 * start time of the member is unknown.
 */
export function computePinEpoch(
  member: Member,
  nowMs: number,
): number | undefined {
  if (member.startedMs === undefined) return undefined;
  const ageMs = nowMs - member.startedMs - EPOCH_LAG_MS;
  return Math.max(0, Math.floor(ageMs / EPOCH_MS));
}
