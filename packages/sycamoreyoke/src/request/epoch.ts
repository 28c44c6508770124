/** The epoch that a pin to a member may carry. */
import type {Member} from '../process/types.js';
import {EPOCH_MS} from './record.js';

/**
 * A reader counts a process as this much younger than it is: a pin of the
 * epoch before is accepted, one of an epoch to come is not.
 */
export const EPOCH_LAG_MS = 5_000;

/** Undefined while the start of the member is not known. */
export function computePinEpoch(
  member: Member,
  nowMs: number,
): number | undefined {
  if (member.startedMs === undefined) return undefined;
  const ageMs = nowMs - member.startedMs - EPOCH_LAG_MS;
  return Math.max(0, Math.floor(ageMs / EPOCH_MS));
}
