/** A node's share of the retry budget of a service, by importance. */
import type {Clock} from '../clock.js';
import {Importance} from '../types.js';
import {RetryBudget} from './retryBudget.js';

/** Bounds of the arrivals beyond the first over all nodes, per window. */
export interface FleetRetryBudget {
  /** As a share of the requests for the service. */
  readonly share: number;
  /** Arrivals beyond the share that all nodes together may make. */
  readonly slack: number;
}

/** Counts requests and their further arrivals at upstreams of a service. */
export interface RetryAllowance {
  recordFirst(): void;
  /** Takes an arrival from the budget; false when it has no room. */
  takeRetry(importance: Importance, mayHaveRun: boolean): boolean;
}

/** The rest allows for windows in which the load falls. */
const USED_SHARE = 0.85;
/**
 * Part of the budget for requests that may have run: the calls that a run makes
 * are repeats where they arrive, so a chain of services multiplies them.
 */
const RUN_SHARE = 0.5;
/**
 * Part of the budget for requests below CRITICAL: the last retries are kept for
 * the requests that matter most.
 */
const COMMON_SHARE = 0.55;

/**
 * Creates the share of one of several nodes. Each node may use its part of the
 * share, since it counts its own requests, and an equal part of the slack, which
 * follows the number of nodes. The bounds are read at each use.
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
  const whole = createBudget(USED_SHARE);
  const afterRun = createBudget(RUN_SHARE);
  const common = createBudget(COMMON_SHARE);
  const budgets = [whole, afterRun, common];
  return {
    recordFirst: () => budgets.forEach((budget) => budget.recordFirst()),
    takeRetry: (importance, mayHaveRun) => {
      const needed = [
        whole,
        ...(mayHaveRun ? [afterRun] : []),
        ...(importance === Importance.CRITICAL ? [] : [common]),
      ];
      if (!needed.every((budget) => budget.hasRoom())) return false;
      needed.forEach((budget) => budget.takeRetry());
      return true;
    },
  };
}
