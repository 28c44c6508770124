/** Decides whether and when an attempt is sent again. */
import type {Random} from '../random.js';
import {Outcome, RefusalReason} from '../types.js';
import {MAX_ATTEMPT} from './constants.js';
import {isReachable} from './deadline.js';

/** What is known when an attempt has ended or has gone silent. */
export interface RetryQuestion {
  readonly outcome: Outcome;
  readonly reason?: RefusalReason;
  readonly isIdempotent: boolean;
  /** Number of the attempt that ended. */
  readonly attempt: number;
  /** Retries left for this call. */
  readonly allowance: number;
  readonly nowMs: number;
  readonly deadline: number;
  /** Shortest time in which an attempt can be expected to complete. */
  readonly serviceMs: number;
  readonly retryAfterMs?: number;
}

/** Bounds of the delay before a retry, from the retry limit of the class. */
export interface Backoff {
  readonly baseMs: number;
  readonly maxMs: number;
}

/** Why an attempt is not sent again. */
export enum NoRetryReason {
  COMPLETED = 'completed',
  MAY_HAVE_RUN = 'may-have-run',
  PERMANENT = 'permanent',
  NO_ALLOWANCE = 'no-allowance',
  TOO_MANY_ATTEMPTS = 'too-many-attempts',
  DEADLINE = 'deadline',
}

export type RetryDecision =
  | {readonly isRetried: true; readonly delayMs: number}
  | {readonly isRetried: false; readonly reason: NoRetryReason};

/** Refusals that every other node would repeat. */
const PERMANENT_REASONS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.MALFORMED,
  RefusalReason.UNAUTHENTICATED,
  RefusalReason.FORBIDDEN,
  RefusalReason.TOO_LARGE,
  RefusalReason.CRASHING,
  RefusalReason.DEADLINE,
  RefusalReason.CANCELLED,
  RefusalReason.SUPERSEDED,
  RefusalReason.WRONG_INCARNATION,
  RefusalReason.EXPIRED_PIN,
  RefusalReason.EXPIRED_KEY,
  RefusalReason.CLAIM_OWNER_GONE,
]);

/**
 * Decides on a retry. The caller of this function then asks the retry budget
 * of the service and the ledger of the request, in this order, since a retry
 * that the budget refuses must not use up the ledger.
 */
export function decideRetry(
  question: RetryQuestion,
  backoff: Backoff,
  random: Random,
): RetryDecision {
  const refusal = findObstacle(question);
  if (refusal) return {isRetried: false, reason: refusal};
  const delayMs = computeDelay(question, backoff, random);
  const startMs = question.nowMs + delayMs;
  if (!isReachable(question.deadline, startMs, question.serviceMs)) {
    return {isRetried: false, reason: NoRetryReason.DEADLINE};
  }
  return {isRetried: true, delayMs};
}

function findObstacle(question: RetryQuestion): NoRetryReason | undefined {
  if (question.outcome === Outcome.DONE) return NoRetryReason.COMPLETED;
  if (question.outcome === Outcome.UNKNOWN && !question.isIdempotent) {
    return NoRetryReason.MAY_HAVE_RUN;
  }
  if (question.reason && PERMANENT_REASONS.has(question.reason)) {
    return NoRetryReason.PERMANENT;
  }
  if (question.allowance < 1) return NoRetryReason.NO_ALLOWANCE;
  if (question.attempt >= MAX_ATTEMPT) return NoRetryReason.TOO_MANY_ATTEMPTS;
  return undefined;
}

/**
 * Full jitter: uniform below a limit that doubles with each attempt. The
 * jitter is added to retry-after, so that refused callers do not come back
 * at the same moment.
 */
function computeDelay(
  question: RetryQuestion,
  backoff: Backoff,
  random: Random,
): number {
  const limitMs = Math.min(
    backoff.maxMs,
    backoff.baseMs * 2 ** question.attempt,
  );
  return (question.retryAfterMs ?? 0) + random() * limitMs;
}
