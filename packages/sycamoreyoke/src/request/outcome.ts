/** Outcomes of single sends, and the combined outcome of a request. */
import {Outcome, RefusalReason} from '../types.js';
import type {CallResponse} from './types.js';

/** The answer to a send. */
export interface SendAnswer {
  readonly outcome: Outcome;
  readonly reason?: RefusalReason;
  /** Present exactly when the outcome is DONE. */
  readonly response?: CallResponse;
  /** After NOT_RUN: the lowest attempt number that may still run. */
  readonly nextAttempt?: number;
}

/** One send of a request, as seen by its caller. */
export interface SentAttempt {
  readonly attempt: number;
  /** Absent while the send is unanswered. */
  readonly answer?: SendAnswer;
}

/** Progress of a send when it ended. */
export enum SendPhase {
  /** No byte of the request had been written to the next hop. */
  BEFORE_DISPATCH = 'before-dispatch',
  AFTER_DISPATCH = 'after-dispatch',
}

/**
 * Reasons after which another send of the request may have run, even if this
 * one was not dispatched.
 */
const REASONS_WITH_UNKNOWN_OUTCOME: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.WRONG_INCARNATION,
  RefusalReason.EXPIRED_PIN,
  RefusalReason.EXPIRED_KEY,
  RefusalReason.CLAIM_HELD,
  RefusalReason.CLAIM_OWNER_GONE,
  RefusalReason.BAD_RESPONSE,
]);

/** Returns the outcome implied by a refusal reason in a phase of the send. */
export function decideOutcome(
  reason: RefusalReason,
  phase: SendPhase,
): Outcome.NOT_RUN | Outcome.UNKNOWN {
  if (phase === SendPhase.AFTER_DISPATCH) return Outcome.UNKNOWN;
  return REASONS_WITH_UNKNOWN_OUTCOME.has(reason)
    ? Outcome.UNKNOWN
    : Outcome.NOT_RUN;
}

/**
 * Creates the answer for a refusal reason. `nextAttempt` is included only if
 * the outcome is NOT_RUN.
 */
export function createRefusalAnswer(
  reason: RefusalReason,
  phase = SendPhase.BEFORE_DISPATCH,
  nextAttempt?: number,
): SendAnswer {
  const outcome = decideOutcome(reason, phase);
  return outcome === Outcome.NOT_RUN && nextAttempt !== undefined
    ? {outcome, reason, nextAttempt}
    : {outcome, reason};
}

/**
 * Combines the answers to all sends of one request. If a send was answered
 * DONE, the request is DONE. Otherwise, an unanswered or UNKNOWN send makes it
 * UNKNOWN. It is NOT_RUN only if every send was answered NOT_RUN, or if there
 * were no sends.
 */
export function mergeOutcomes(sends: readonly SentAttempt[]): SendAnswer {
  const answers = sends.map(({answer}) => answer);
  const done = answers.find((answer) => answer?.outcome === Outcome.DONE);
  if (done) return done;
  const unknown = answers.find((answer) => answer?.outcome === Outcome.UNKNOWN);
  if (unknown) return unknown;
  if (answers.includes(undefined)) {
    return {outcome: Outcome.UNKNOWN, reason: RefusalReason.CONNECTION_LOST};
  }
  const last = answers.at(-1);
  return {
    outcome: Outcome.NOT_RUN,
    ...(last?.reason === undefined ? {} : {reason: last.reason}),
    nextAttempt: computeNextAttempt(sends),
  };
}

/**
 * Returns the lowest attempt number that is above the attempt numbers of all
 * sends and not excluded by any answer.
 */
export function computeNextAttempt(sends: readonly SentAttempt[]): number {
  return sends.reduce(
    (next, {attempt, answer}) =>
      Math.max(next, attempt + 1, answer?.nextAttempt ?? 0),
    0,
  );
}

/**
 * Returns true if the request may be sent to another node. An idempotent
 * request always may; any other only if none of its sends has run or can still
 * run.
 */
export function isOtherNodeAllowed(
  sends: readonly SentAttempt[],
  isIdempotent: boolean,
): boolean {
  return isIdempotent || mergeOutcomes(sends).outcome === Outcome.NOT_RUN;
}
