/** Deadlines of requests on the monotonic clock of the process. */
import {HOP_RESERVE_MS, MAX_TIMEOUT_MS} from './constants.js';

/**
 * Deadline of a request that arrives now. A timeout is never extended: the
 * class and the request bound each other.
 */
export function createDeadline(
  nowMs: number,
  classTimeoutMs: number,
  timeoutMs = classTimeoutMs,
): number {
  return nowMs + Math.min(timeoutMs, classTimeoutMs, MAX_TIMEOUT_MS);
}

/** Deadline of a call made for a running request. */
export function createCallDeadline(
  parentDeadline: number,
  callDeadline: number,
): number {
  return Math.min(parentDeadline, callDeadline);
}

/** Time left, 0 when the deadline has passed. */
export function readRemaining(deadline: number, nowMs: number): number {
  return Math.max(0, deadline - nowMs);
}

/** True when work of this length still ends before the deadline. */
export function isReachable(
  deadline: number,
  nowMs: number,
  workMs: number,
): boolean {
  return nowMs + workMs < deadline;
}

/**
 * Timeout header of the next hop: whole milliseconds, less the time that the
 * response needs to travel back, so that the far side gives up first.
 * Undefined when too little is left for the call to be of use.
 */
export function computeHopTimeout(
  deadline: number,
  nowMs: number,
  reserveMs = HOP_RESERVE_MS,
): number | undefined {
  const timeoutMs = Math.floor(deadline - nowMs - reserveMs);
  if (timeoutMs < 1) return undefined;
  return Math.min(timeoutMs, MAX_TIMEOUT_MS);
}
