/** Results of calls that end without a response. */
import {SendEnd} from 'sycamoreyoke/request/resend';
import {NO_MEMBER_RETRY_MS} from '../constants.js';
import type {CallResult} from '../types.js';
import {GateReason} from '../types.js';

const EMPTY_BODY = new Uint8Array(0);

/** Creates a result without a response; times in ms. */
export function createFailure(
  end: SendEnd,
  reason: GateReason,
  retryAfterMs = 0,
): CallResult {
  return {end, reason, retryAfterMs, status: 0, headers: [], body: EMPTY_BODY};
}

/** Creates the result of a call that was not run because its link closes. */
export function createClosingRefusal(): CallResult {
  return createFailure(
    SendEnd.REFUSED_BY_GATE,
    GateReason.LINK_CLOSING,
    NO_MEMBER_RETRY_MS,
  );
}

/** Creates the result of a call that may or may not have run. */
export function createLoss(): CallResult {
  return createFailure(SendEnd.LOST, GateReason.LINK_LOST);
}

/** Creates the result of a call whose response was not kept. */
export function createMemoryLoss(): CallResult {
  return createFailure(SendEnd.LOST, GateReason.MEMORY_FULL);
}

/** Creates the result of a call that has not reached the gate and will not. */
export function createNonArrival(): CallResult {
  return createFailure(SendEnd.REFUSED_BY_GATE, GateReason.LINK_LOST);
}
