/** Decides which requests a stopping node accepts. */
import type {StopSchedule} from 'sycamoreyoke/process/stopSchedule';
import type {ParentRequest} from '../process/parentCall.js';
import {isCallEvidence} from '../process/parentCall.js';

/** Times on the node's clock and a duration, ms. */
export interface RequestTiming {
  readonly nowMs: number;
  readonly deadlineMs: number;
  /** Time that a request of the route usually takes at most, if known. */
  readonly usualMs: number | undefined;
}

/**
 * Accepts only a request that can be answered before the stop and, late in it,
 * only calls for running requests.
 */
export function isAcceptedDuringStop(
  stop: StopSchedule,
  parent: ParentRequest | undefined,
  {nowMs, deadlineMs, usualMs}: RequestTiming,
): boolean {
  if (stop.hasTimeToAnswer(nowMs, deadlineMs, usualMs)) return true;
  if (!parent) return false;
  // If it may be a client's request, it must not be cut off at the end.
  const isCall = isCallEvidence(parent.evidence);
  return isCall || stop.clampDeadline(deadlineMs) === deadlineMs;
}
