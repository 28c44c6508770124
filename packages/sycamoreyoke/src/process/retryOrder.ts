/** Decides which calls get the retries of a scarce allowance. */
import type {Clock} from '../clock.js';
import {Importance} from '../types.js';

/** Work done for the request that makes a call. */
export interface WorkDone {
  /** Calls of the request that were answered. */
  readonly answeredCalls: number;
  /** Part of the request's time that has passed, 0 to 1. */
  readonly spentShare: number;
}

/** Progress of a running request. */
export interface RequestProgress {
  readonly startedMs: number;
  readonly answeredCalls: number;
}

/** Computes the work done for a running request with a deadline. */
export function computeWorkDone(
  {startedMs, answeredCalls}: RequestProgress,
  deadlineMs: number,
  nowMs: number,
): WorkDone {
  const spentShare = (nowMs - startedMs) / (deadlineMs - startedMs);
  return {answeredCalls, spentShare};
}

/** Time constant of the decay of the counts. */
const DECAY_MS = 1_000;
/**
 * Time over which the allowance that is left is spread. New first attempts add
 * to it meanwhile.
 */
const SPREAD_MS = 1_000;
/** Answered calls that are told apart. */
const MAX_ANSWERED = 5;
/** Ranks of one importance: no parent, then two for each number of calls. */
const RANKS = 2 * (MAX_ANSWERED + 1) + 1;
const IMPORTANCES = Importance.CRITICAL + 1;

/**
 * Orders retries by importance, then by how near the request that makes the
 * call is to its end: by its answered calls, then by the time it has spent.
 * Calls without such a request come last. A retry can't wait for more valuable
 * ones, so each rank is admitted while the recent demand of the ranks above it
 * leaves a part of the allowance. Handles loads in which calls fail for seconds
 * and ask for many times the allowance; without scarcity all are admitted.
 */
export class RetryOrder {
  /** Decaying counts of the retries that were asked for, by rank. */
  private readonly asked = new Float64Array(IMPORTANCES * RANKS);
  private updatedMs = 0;

  constructor(private readonly clock: Clock) {}

  /**
   * Counts a retry that is asked for and decides whether to admit it.
   * @param room retries that the allowance has left.
   */
  admit(
    importance: Importance,
    work: WorkDone | undefined,
    room: number,
  ): boolean {
    this.refresh();
    const rank = computeRank(importance, work);
    let demand = 0;
    for (let above = rank + 1; above < this.asked.length; above += 1) {
      demand += this.asked[above] ?? 0;
    }
    this.asked[rank] = (this.asked[rank] ?? 0) + 1;
    return (demand * SPREAD_MS) / DECAY_MS + 1 <= room;
  }

  private refresh(): void {
    const nowMs = this.clock.readMs();
    const factor = Math.exp((this.updatedMs - nowMs) / DECAY_MS);
    this.updatedMs = nowMs;
    for (let rank = 0; rank < this.asked.length; rank += 1) {
      this.asked[rank] = (this.asked[rank] ?? 0) * factor;
    }
  }
}

function computeRank(
  importance: Importance,
  work: WorkDone | undefined,
): number {
  const first = importance * RANKS;
  if (!work) return first;
  const answered = Math.min(MAX_ANSWERED, work.answeredCalls);
  return first + 1 + 2 * answered + (work.spentShare >= 0.5 ? 1 : 0);
}
