/** The share of one node in the retry budget of a service, by importance. */
import type {Clock} from '../clock.js';
import {Importance} from '../types.js';
import {RetryBudget} from './retryBudget.js';
import type {WorkDone} from './retryOrder.js';
import {RetryOrder} from './retryOrder.js';

/** Limit on the retries to a service by all nodes together, per window. */
export interface FleetRetryBudget {
  /** Allowed retries as a share of the first attempts. */
  readonly share: number;
  /** Retries that all nodes together may make in addition to the share. */
  readonly slack: number;
}

/** Counts first attempts and retries of the requests to a service. */
export interface RetryAllowance {
  recordFirstAttempt(): void;
  /**
   * Takes a retry from the budget; returns false when it is used up.
   * @param mayHaveRun whether an earlier attempt may have been executed.
   * @param work what was done for the request that makes the call, if any.
   */
  takeRetry(
    importance: Importance,
    mayHaveRun: boolean,
    work?: WorkDone,
  ): boolean;
}

/** Part of the budget that is used; the rest covers windows of falling load. */
const USED_SHARE = 0.85;
/**
 * Part of the budget for requests that may have been executed: a second
 * execution repeats its calls to further services, so a chain of services
 * multiplies such retries.
 */
const MAY_HAVE_RUN_SHARE = 0.5;
/**
 * Part of the budget for requests below CRITICAL; the rest is reserved for
 * CRITICAL requests.
 */
const BELOW_CRITICAL_SHARE = 0.55;

/**
 * Creates the allowance of one node. The node applies the share to its own
 * requests and gets an equal part of the slack, which is divided by the current
 * number of nodes. The bounds are read at each use, so changes apply at once.
 */
export function createRetryAllowance(
  clock: Clock,
  bounds: FleetRetryBudget,
  countNodes: () => number,
): RetryAllowance {
  const createBudget = (part: number) =>
    new RetryBudget(
      clock,
      () => bounds.share * part,
      () => Math.max(1, Math.floor((bounds.slack * part) / countNodes())),
    );
  const total = createBudget(USED_SHARE);
  const mayHaveExecuted = createBudget(MAY_HAVE_RUN_SHARE);
  const belowCritical = createBudget(BELOW_CRITICAL_SHARE);
  const order = new RetryOrder(clock);
  const budgets = [total, mayHaveExecuted, belowCritical];
  return {
    recordFirstAttempt: () =>
      budgets.forEach((budget) => budget.recordFirstAttempt()),
    takeRetry: (importance, mayHaveRun, work) => {
      const applicable = [
        total,
        ...(mayHaveRun ? [mayHaveExecuted] : []),
        ...(importance === Importance.CRITICAL ? [] : [belowCritical]),
      ];
      const room = Math.min(...applicable.map((budget) => budget.readRoom()));
      if (!order.admit(importance, work, room) || room < 1) return false;
      applicable.forEach((budget) => budget.takeRetry());
      return true;
    },
  };
}
