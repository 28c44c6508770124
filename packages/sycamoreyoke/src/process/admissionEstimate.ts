import {Importance} from '../types.js';
import type {AdmissionLevel, Arrival} from './types.js';

/** Bounds of the time for which a level holds. */
const SHORTEST_VALID_MS = 20;
const LONGEST_VALID_MS = 1_000;
/** Weight of an arrival in the slack of its importance. */
const SLACK_WEIGHT = 0.05;
/** Period in which the count of starts fades to a third. */
const START_FADE_MS = 300;

/** An importance counts as starved this long after a request expired. */
const STARVED_MS = 2_000;

/** State of a gate's queue. */
export interface QueueState {
  readonly nowMs: number;
  readonly waitingByImportance: readonly number[];
  readonly queueLimit: number;
  readonly maxWaitMs: number;
  /** Time in which the queue gets shorter by one. */
  readonly drainMsPerRequest: number;
}

/** What was observed of one importance. */
interface Observed {
  slackMs: number | undefined;
  starts: number;
  startedMs: number;
  expiredMs: number;
}

/** Estimates how long a request of each importance would wait. */
export class AdmissionEstimate {
  private readonly observed: readonly Observed[] = Array.from(
    {length: Importance.CRITICAL + 1},
    () => ({slackMs: undefined, starts: 0, startedMs: 0, expiredMs: -Infinity}),
  );

  /** Takes note of the time that an arrival can spare. */
  observeSlack({importance}: Arrival, slackMs: number): void {
    const observed = this.get(importance);
    observed.slackMs =
      observed.slackMs === undefined
        ? slackMs
        : observed.slackMs + SLACK_WEIGHT * (slackMs - observed.slackMs);
  }

  /** Takes note of a start. */
  observeStart(importance: Importance, nowMs: number): void {
    const observed = this.get(importance);
    observed.starts = computeStarts(observed, nowMs) + 1;
    observed.startedMs = nowMs;
  }

  /** Takes note of a request that waited in vain. */
  observeExpiry(importance: Importance, nowMs: number): void {
    this.get(importance).expiredMs = nowMs;
  }

  /**
   * The requests ahead at the rate of all starts. Where requests have expired,
   * that misses that more important ones keep arriving; then also those of the
   * same importance at the rate of their own starts.
   */
  computeWaitMs(importance: Importance, state: QueueState): number {
    const waiting = state.waitingByImportance[importance] ?? 0;
    const observed = this.get(importance);
    const aheadMs = this.computeAheadMs(importance, state);
    const isStarved = state.nowMs - observed.expiredMs < STARVED_MS;
    if (waiting === 0 || !isStarved) return aheadMs;
    const starts = computeStarts(observed, state.nowMs);
    return Math.max(aheadMs, (waiting * START_FADE_MS) / starts);
  }

  /**
   * The lowest importance whose usual slack covers its wait. CRITICAL is never
   * below the level, so nothing refuses it early.
   */
  computeLevel(state: QueueState): AdmissionLevel {
    for (let level = Importance.HIGH; level >= Importance.LOW; level -= 1) {
      const excessMs = this.computeExcessMs(level, state);
      if (excessMs > 0) {
        return {lowestAdmitted: level + 1, validMs: clampValidMs(excessMs)};
      }
    }
    return {lowestAdmitted: Importance.LOW, validMs: LONGEST_VALID_MS};
  }

  private computeAheadMs(importance: Importance, state: QueueState): number {
    let ahead = 0;
    for (let level = importance; level <= Importance.CRITICAL; level += 1) {
      ahead += state.waitingByImportance[level] ?? 0;
    }
    const drainMs = ahead * state.drainMsPerRequest;
    return ahead >= state.queueLimit
      ? Math.max(drainMs, LONGEST_VALID_MS)
      : drainMs;
  }

  private computeExcessMs(level: Importance, state: QueueState): number {
    const slackMs = Math.min(
      this.get(level).slackMs ?? Infinity,
      state.maxWaitMs,
    );
    return this.computeWaitMs(level, state) - slackMs;
  }

  private get(importance: Importance): Observed {
    return this.observed[importance] as Observed;
  }
}

function computeStarts({starts, startedMs}: Observed, nowMs: number): number {
  return starts * Math.exp((startedMs - nowMs) / START_FADE_MS);
}

function clampValidMs(excessMs: number): number {
  const boundedMs = Math.min(
    Math.max(excessMs, SHORTEST_VALID_MS),
    LONGEST_VALID_MS,
  );
  return Math.ceil(boundedMs);
}
