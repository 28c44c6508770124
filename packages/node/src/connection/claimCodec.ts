/** Converts claims and outcomes between the library and the wire format. */
import type {
  ClaimWrite,
  ClaimWriteResult,
} from 'sycamoreyoke/process/claimBatcher';
import {ClaimWriteState} from 'sycamoreyoke/process/claimBatcher';
import type {SendAnswer} from 'sycamoreyoke/request/outcome';
import {Outcome, RefusalReason} from 'sycamoreyoke/types';
import type {
  AskOutcomeResponse,
  ClaimWriteResult as WireResult,
} from '../gen/sycamoreyoke/control/v1/control_pb.js';
import {
  ClaimWriteState as WireState,
  Outcome as WireOutcome,
} from '../gen/sycamoreyoke/control/v1/control_pb.js';

const STATE_TO_WIRE: Readonly<Record<ClaimWriteState, WireState>> = {
  [ClaimWriteState.COMMITTED]: WireState.COMMITTED,
  [ClaimWriteState.CONFLICT]: WireState.CONFLICT,
  [ClaimWriteState.UNKNOWN]: WireState.UNSPECIFIED,
  [ClaimWriteState.NOT_SUBMITTED]: WireState.NOT_SUBMITTED,
};

const OUTCOME_TO_WIRE: Readonly<Record<Outcome, WireOutcome>> = {
  [Outcome.DONE]: WireOutcome.DONE,
  [Outcome.NOT_RUN]: WireOutcome.NOT_RUN,
  [Outcome.UNKNOWN]: WireOutcome.UNKNOWN,
};

/** Encodes a claim write for the batcher node. */
export function encodeWrite(write: ClaimWrite) {
  return {
    key: write.key,
    expectedVersion: BigInt(write.expectedVersion),
    value: write.value,
    retentionMs: BigInt(write.retentionMs),
  };
}

/** Encodes the result of a claim write. */
export function encodeWriteResult(result: ClaimWriteResult) {
  const state = STATE_TO_WIRE[result.state];
  if (result.state !== ClaimWriteState.CONFLICT) return {state};
  const {value, version} = result.row;
  return {state, rowValue: value, rowVersion: BigInt(version)};
}

/** Decodes the result of a claim write; an unrecognised state is UNKNOWN. */
export function decodeWriteResult(
  key: string,
  result: WireResult | undefined,
): ClaimWriteResult {
  switch (result?.state) {
    case WireState.COMMITTED:
      return {state: ClaimWriteState.COMMITTED};
    case WireState.NOT_SUBMITTED:
      return {state: ClaimWriteState.NOT_SUBMITTED};
    case WireState.CONFLICT: {
      const version = Number(result.rowVersion);
      const row = {key, value: result.rowValue, version};
      return {state: ClaimWriteState.CONFLICT, row};
    }
    default:
      return {state: ClaimWriteState.UNKNOWN};
  }
}

/** Encodes the answer of the owner of a claim. */
export function encodeAnswer(answer: SendAnswer) {
  return {
    outcome: OUTCOME_TO_WIRE[answer.outcome],
    reason: answer.reason ?? '',
    nextAttempt: answer.nextAttempt ?? 0,
    status: answer.response?.status ?? 0,
    headers: {...answer.response?.headers},
    body: answer.response?.body ?? new Uint8Array(0),
  };
}

/**
 * Decodes the answer of the owner of a claim; undefined when its outcome is not
 * recognised.
 */
export function decodeAnswer(wire: AskOutcomeResponse): SendAnswer | undefined {
  const reason = Object.values(RefusalReason).find(
    (candidate) => String(candidate) === wire.reason,
  );
  switch (wire.outcome) {
    case WireOutcome.DONE: {
      const {status, headers, body} = wire;
      return {outcome: Outcome.DONE, response: {status, headers, body}};
    }
    case WireOutcome.NOT_RUN:
      return {
        outcome: Outcome.NOT_RUN,
        ...(reason === undefined ? {} : {reason}),
        ...(wire.nextAttempt > 0 ? {nextAttempt: wire.nextAttempt} : {}),
      };
    case WireOutcome.UNKNOWN:
      return {
        outcome: Outcome.UNKNOWN,
        ...(reason === undefined ? {} : {reason}),
      };
    default:
      return undefined;
  }
}
