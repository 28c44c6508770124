/**
 * The bucket from which an origin serves an account while no owner can be
 * reached: its equal part of the tolerated excess.
 */
import type {Random} from '../../random.js';
import {TokenBucket} from './tokenBucket.js';
import type {Allotment, AllotmentTolerance} from './types.js';

/** Computes an origin's part of the tolerance, requests a second. */
export function computeFallbackRate(
  {ratePerS}: Allotment,
  {windowMs, overage, slack}: AllotmentTolerance,
  nodes: number,
): number {
  return (overage * ratePerS + (slack * 1000) / windowMs) / Math.max(1, nodes);
}

/**
 * Creates the bucket. It begins at a random level: the part of a node can be
 * less than one request in a window, and all nodes would gain it together.
 */
export function createFallbackBucket(
  nowMs: number,
  ratePerS: number,
  random: Random,
): TokenBucket {
  return new TokenBucket({ratePerS, capacity: 1}, nowMs, random());
}
