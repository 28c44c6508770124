/** Decides whether and when an attempt is retried. */
import type {Random} from '../random.js';
import {Outcome, RefusalReason} from '../types.js';
import {MAX_ATTEMPT} from './constants.js';
import {hasTimeFor} from './deadline.js';

/** State of a request after an attempt has ended or stayed unanswered. */
export interface RetryContext {
  readonly outcome: Outcome;
  readonly reason?: RefusalReason;
  readonly isIdempotent: boolean;
  /** Number of the attempt that ended. */
  readonly attempt: number;
  /** Remaining retries of this call. */
  readonly allowance: number;
  readonly nowMs: number;
  readonly deadline: number;
  /** Shortest time in which an attempt is expected to complete. */
  readonly serviceMs: number;
  readonly retryAfterMs?: number;
}

/** Bounds of the backoff delay, from the retry limit of the class. */
export interface Backoff {
  readonly baseMs: number;
  readonly maxMs: number;
}

/** Why an attempt is not retried. */
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

/** Refusal reasons that would be the same at every other node. */
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
 * Decides whether an attempt is retried, and after which delay. The caller of
 * this function must then check the retry budget of the service and the retry
 * ledger of the request, in this order: a retry refused by the budget must not
 * use up the ledger.
 */
export function decideRetry(
  context: RetryContext,
  backoff: Backoff,
  random: Random,
): RetryDecision {
  const reason = findNoRetryReason(context);
  if (reason) return {isRetried: false, reason};
  const delayMs = computeDelay(context, backoff, random);
  const startMs = context.nowMs + delayMs;
  if (!hasTimeFor(context.deadline, startMs, context.serviceMs)) {
    return {isRetried: false, reason: NoRetryReason.DEADLINE};
  }
  return {isRetried: true, delayMs};
}

function findNoRetryReason(context: RetryContext): NoRetryReason | undefined {
  if (context.outcome === Outcome.DONE) return NoRetryReason.COMPLETED;
  if (context.outcome === Outcome.UNKNOWN && !context.isIdempotent) {
    return NoRetryReason.MAY_HAVE_RUN;
  }
  if (context.reason && PERMANENT_REASONS.has(context.reason)) {
    return NoRetryReason.PERMANENT;
  }
  if (context.allowance < 1) return NoRetryReason.NO_ALLOWANCE;
  if (context.attempt >= MAX_ATTEMPT) return NoRetryReason.TOO_MANY_ATTEMPTS;
  return undefined;
}

/**
 * Exponential backoff with full jitter: a uniform delay below a limit that
 * doubles with each attempt. The jitter is added to retry-after, so that
 * refused callers do not all retry at the same moment.
 */
function computeDelay(
  context: RetryContext,
  backoff: Backoff,
  random: Random,
): number {
  const maxJitterMs = Math.min(
    backoff.maxMs,
    backoff.baseMs * 2 ** context.attempt,
  );
  return (context.retryAfterMs ?? 0) + random() * maxJitterMs;
}
