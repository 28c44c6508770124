import {Importance} from '../types.js';
import type {AdmissionLevel, Arrival} from './types.js';

/** Bounds of the validity of an admission level. */
const MIN_VALIDITY_MS = 20;
const MAX_VALIDITY_MS = 1_000;
/** Smoothing factor of the moving average of the slack. */
const SLACK_SMOOTHING_FACTOR = 0.05;
/** Time constant of the exponential decay of the count of starts. */
const START_DECAY_MS = 300;

/**
 * An importance counts as starved for this long after one of its requests
 * expired in the queue.
 */
const STARVATION_MS = 2_000;

/** Snapshot of a gate's queue. */
export interface QueueState {
  readonly nowMs: number;
  /** Requests that start before a new one of the importance. */
  readonly waitingByImportance: readonly number[];
  readonly queueLimit: number;
  readonly maxWaitMs: number;
  /** Mean time between two starts: the queue shrinks by one in it. */
  readonly drainMsPerRequest: number;
}

/** Statistics of one importance. */
interface ImportanceStats {
  /** Moving average of the slack of arrivals; undefined before the first. */
  slackMs: number | undefined;
  /** Decaying count of starts, as of `lastStartMs`. */
  starts: number;
  lastStartMs: number;
  lastExpiryMs: number;
}

/** Estimates the queueing time of a request of each importance. */
export class AdmissionEstimate {
  private readonly stats: readonly ImportanceStats[] = Array.from(
    {length: Importance.CRITICAL + 1},
    () => ({
      slackMs: undefined,
      starts: 0,
      lastStartMs: 0,
      lastExpiryMs: -Infinity,
    }),
  );

  /**
   * Records the slack of an arrival: the time to its deadline, less its
   * expected service time.
   */
  observeSlack({importance}: Arrival, slackMs: number): void {
    const stats = this.getStats(importance);
    stats.slackMs =
      stats.slackMs === undefined
        ? slackMs
        : stats.slackMs + SLACK_SMOOTHING_FACTOR * (slackMs - stats.slackMs);
  }

  /** Records that a request started. */
  observeStart(importance: Importance, nowMs: number): void {
    const stats = this.getStats(importance);
    stats.starts = computeDecayedStarts(stats, nowMs) + 1;
    stats.lastStartMs = nowMs;
  }

  /** Records that a request expired in the queue. */
  observeExpiry(importance: Importance, nowMs: number): void {
    this.getStats(importance).lastExpiryMs = nowMs;
  }

  /**
   * Estimates the queueing time from the number of requests ahead and the rate
   * of all starts. That ignores that more important requests keep arriving and
   * overtake. So if requests of this importance expired lately, the result is
   * at least the time to start those already waiting, at the rate at which
   * requests of this importance have been starting.
   */
  computeWaitMs(importance: Importance, state: QueueState): number {
    const waiting = state.waitingByImportance[importance] ?? 0;
    const stats = this.getStats(importance);
    const queueAheadMs = this.computeQueueAheadMs(importance, state);
    const isStarved = state.nowMs - stats.lastExpiryMs < STARVATION_MS;
    if (waiting === 0 || !isStarved) return queueAheadMs;
    const starts = computeDecayedStarts(stats, state.nowMs);
    return Math.max(queueAheadMs, (waiting * START_DECAY_MS) / starts);
  }

  /**
   * Computes the lowest importance whose average slack covers its expected
   * queueing time. The level never exceeds CRITICAL, so callers never refuse a
   * CRITICAL request early.
   */
  computeLevel(state: QueueState): AdmissionLevel {
    for (let level = Importance.HIGH; level >= Importance.LOW; level -= 1) {
      const excessMs = this.computeExcessWaitMs(level, state);
      if (excessMs > 0) {
        return {lowestAdmitted: level + 1, validMs: clampValidMs(excessMs)};
      }
    }
    return {lowestAdmitted: Importance.LOW, validMs: MAX_VALIDITY_MS};
  }

  private computeQueueAheadMs(
    importance: Importance,
    state: QueueState,
  ): number {
    let ahead = 0;
    for (let level = importance; level <= Importance.CRITICAL; level += 1) {
      ahead += state.waitingByImportance[level] ?? 0;
    }
    const drainMs = ahead * state.drainMsPerRequest;
    return ahead >= state.queueLimit
      ? Math.max(drainMs, MAX_VALIDITY_MS)
      : drainMs;
  }

  private computeExcessWaitMs(level: Importance, state: QueueState): number {
    const slackMs = Math.min(
      this.getStats(level).slackMs ?? Infinity,
      state.maxWaitMs,
    );
    return this.computeWaitMs(level, state) - slackMs;
  }

  private getStats(importance: Importance): ImportanceStats {
    return this.stats[importance] as ImportanceStats;
  }
}

function computeDecayedStarts(
  {starts, lastStartMs}: ImportanceStats,
  nowMs: number,
): number {
  return starts * Math.exp((lastStartMs - nowMs) / START_DECAY_MS);
}

function clampValidMs(excessMs: number): number {
  const boundedMs = Math.min(
    Math.max(excessMs, MIN_VALIDITY_MS),
    MAX_VALIDITY_MS,
  );
  return Math.ceil(boundedMs);
}
