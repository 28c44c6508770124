/**
 * The bucket from which an origin serves an account while no owner can be
 * reached: its equal part of the tolerated excess.
 */
import type {Random} from '../../random.js';
import {TokenBucket} from './tokenBucket.js';
import type {Allotment, AllotmentTolerance} from './types.js';

/** Part of the tolerance for origins that reach no owner. */
const FALLBACK_PART = 0.5;

/** Computes an origin's part of the tolerance, requests a second. */
export function computeFallbackRate(
  {ratePerS}: Allotment,
  {windowMs, overage, slack}: AllotmentTolerance,
  nodes: number,
): number {
  const toleratedPerS = overage * ratePerS + (slack * 1000) / windowMs;
  return (FALLBACK_PART * toleratedPerS) / Math.max(1, nodes);
}

/**
 * Computes the part of the tolerance that is left for tokens which are lent
 * before a window and used in it, requests in a window. Without it an account
 * could not use its whole burst.
 */
export function computeExcess(
  {ratePerS, burst}: Allotment,
  {windowMs, overage, slack}: AllotmentTolerance,
): number {
  const allotted = (ratePerS * windowMs) / 1000 + burst;
  return (1 - FALLBACK_PART) * (overage * allotted + slack);
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
