/** Spreads the return of refused clients over time. */
import {Importance} from '../types.js';

/** Time in which refused clients may return, and at which pace. */
export interface ReturnPeriod {
  /** Delay before which no capacity is expected, ms. */
  readonly firstMs: number;
  /** Longest delay that the client honours, ms. */
  readonly maxMs: number;
  /** Time in which there is capacity for one more client, ms. */
  readonly msPerReturn: number;
}

/** Part of the period that is left to clients of the lower importances. */
const MIN_SPREAD_PART = 0.5;

/**
 * Assigns each refused client a time to return, in the order of importance: a
 * client returns after those of its own and higher importances that were
 * refused before. If the period is too short for all, it is filled again.
 * Handles a surge of refusals, which would otherwise return together.
 */
export class ReturnSchedule {
  /** Next free time of each importance. */
  private readonly nextMs = new Float64Array(Importance.CRITICAL + 1);

  /** Returns the delay until the client should return, ms. */
  reserve(
    importance: Importance,
    {firstMs, maxMs, msPerReturn}: ReturnPeriod,
    nowMs: number,
  ): number {
    const spreadMs = Math.max(0, maxMs - firstMs);
    const earliestMs = nowMs + Math.min(firstMs, maxMs);
    const latestStartMs = earliestMs + MIN_SPREAD_PART * spreadMs;
    const higherMs = Math.max(0, ...this.nextMs.subarray(importance + 1));
    const startMs = Math.min(latestStartMs, Math.max(earliestMs, higherMs));
    const nextMs = Math.max(startMs, this.nextMs[importance] ?? 0);
    const dueMs = nextMs <= earliestMs + spreadMs ? nextMs : startMs;
    this.nextMs[importance] = dueMs + msPerReturn;
    return dueMs - nowMs;
  }
}

/** Promised returns that are kept; the oldest is dropped. */
const MAX_PROMISES = 4_096;
/** A client may return this much earlier, since its timer may be early. */
const EARLY_TOLERANCE_MS = 20;

/**
 * Knows which refused requests were told to return later, by request ID. One
 * that is repeated before has no claim to the capacity that others wait for.
 */
export class PromisedReturns {
  private readonly dueMs = new Map<string, number>();

  add(requestId: string, dueMs: number): void {
    this.dueMs.delete(requestId);
    this.dueMs.set(requestId, dueMs);
    if (this.dueMs.size <= MAX_PROMISES) return;
    for (const oldest of this.dueMs.keys()) {
      this.dueMs.delete(oldest);
      return;
    }
  }

  /** Returns the time until the promised return, ms; 0 if it may return. */
  computeLeftMs(requestId: string, nowMs: number): number {
    const dueMs = this.dueMs.get(requestId);
    if (dueMs === undefined) return 0;
    const leftMs = dueMs - nowMs;
    if (leftMs > EARLY_TOLERANCE_MS) return leftMs;
    this.dueMs.delete(requestId);
    return 0;
  }
}
