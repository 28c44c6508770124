/** How a send ends, and how the ends of several sends combine. */
import {Outcome, RefusalReason} from '../types.js';
import type {CallResponse} from './types.js';

/** What a send is answered with. */
export interface SendAnswer {
  readonly outcome: Outcome;
  readonly reason?: RefusalReason;
  /** Present exactly when the outcome is DONE. */
  readonly response?: CallResponse;
  /** Lowest attempt number that may still run, after NOT_RUN. */
  readonly nextAttempt?: number;
}

/** One send of a request as its caller sees it. */
export interface SentAttempt {
  readonly attempt: number;
  /** Absent while the send is unanswered. */
  readonly answer?: SendAnswer;
}

/** How far a send had come when it ended. */
export enum SendPhase {
  /** No byte of the request was written to the next hop. */
  BEFORE_DISPATCH = 'before-dispatch',
  AFTER_DISPATCH = 'after-dispatch',
}

/**
 * Reasons that leave open whether another send of the request ran, even when
 * this one was not dispatched.
 */
const UNKNOWN_REASONS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.WRONG_INCARNATION,
  RefusalReason.EXPIRED_PIN,
  RefusalReason.EXPIRED_KEY,
  RefusalReason.CLAIM_HELD,
  RefusalReason.CLAIM_OWNER_GONE,
  RefusalReason.BAD_RESPONSE,
]);

/** The outcome that a reason implies at a phase of the send. */
export function decideOutcome(
  reason: RefusalReason,
  phase: SendPhase,
): Outcome.NOT_RUN | Outcome.UNKNOWN {
  if (phase === SendPhase.AFTER_DISPATCH) return Outcome.UNKNOWN;
  return UNKNOWN_REASONS.has(reason) ? Outcome.UNKNOWN : Outcome.NOT_RUN;
}

/** Creates the answer that a reason implies. */
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
 * Combines the sends of one request. A complete response decides; otherwise an
 * unanswered or UNKNOWN send leaves the request UNKNOWN, and it is NOT_RUN only
 * if every send was answered NOT_RUN. Without any send it is NOT_RUN.
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

/** Lowest attempt number that no send has used and no answer has excluded. */
export function computeNextAttempt(sends: readonly SentAttempt[]): number {
  return sends.reduce(
    (next, {attempt, answer}) =>
      Math.max(next, attempt + 1, answer?.nextAttempt ?? 0),
    0,
  );
}

/**
 * True when another node may be chosen for the request: an idempotent request
 * always, any other only when no send of it can run or have run.
 */
export function isFreeToMove(
  sends: readonly SentAttempt[],
  isIdempotent: boolean,
): boolean {
  return isIdempotent || mergeOutcomes(sends).outcome === Outcome.NOT_RUN;
}
