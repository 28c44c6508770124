/** Deadlines of requests, in milliseconds of the process's monotonic clock. */
import {HOP_RESERVE_MS, MAX_TIMEOUT_MS} from './constants.js';

/**
 * Computes the deadline of a request that arrives now. The shortest of the
 * request's timeout, the timeout of its class and MAX_TIMEOUT_MS applies.
 */
export function createDeadline(
  nowMs: number,
  classTimeoutMs: number,
  timeoutMs = classTimeoutMs,
): number {
  return nowMs + Math.min(timeoutMs, classTimeoutMs, MAX_TIMEOUT_MS);
}

/**
 * Computes the deadline of a call made for a running request; it is never after
 * the deadline of that request.
 */
export function createCallDeadline(
  parentDeadlineMs: number,
  callDeadlineMs: number,
): number {
  return Math.min(parentDeadlineMs, callDeadlineMs);
}

/** Returns the milliseconds left, 0 if the deadline has passed. */
export function readRemaining(deadlineMs: number, nowMs: number): number {
  return Math.max(0, deadlineMs - nowMs);
}

/** Returns true if work of this duration would end before the deadline. */
export function hasTimeFor(
  deadlineMs: number,
  nowMs: number,
  workMs: number,
): boolean {
  return nowMs + workMs < deadlineMs;
}

/**
 * Computes the timeout header for the next hop, in whole milliseconds. The time
 * that the response needs to travel back is subtracted, so that the receiver
 * times out before the sender. Returns undefined if less than 1 ms is left.
 */
export function computeHopTimeout(
  deadlineMs: number,
  nowMs: number,
  reserveMs = HOP_RESERVE_MS,
): number | undefined {
  const timeoutMs = Math.floor(deadlineMs - nowMs - reserveMs);
  if (timeoutMs < 1) return undefined;
  return Math.min(timeoutMs, MAX_TIMEOUT_MS);
}
