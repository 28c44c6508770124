/**
 * Paces an upstream that has just started or recovered.
 *
 * Load: several origins have work for a service, and one of its upstreams comes
 * up cold. Its free slots attract all of that work at once, while it runs each
 * request several times slower than a warm one.
 */
import {Completion} from './types.js';

/** Part of the full limit with which the pace begins. */
const INITIAL_SHARE = 0.25;
/** Smallest limit; one request alone would wait for each answer in turn. */
const MIN_PACED_LIMIT = 2;
/** Growth for each success until the upstream has shown too much load. */
const FAST_GROWTH = 1;
/**
 * The same afterwards: about a sixth in the time of a request, so that the
 * limit stays near what the upstream serves.
 */
const SLOW_GROWTH = 0.15;
/** Factor of the limit after an answer that shows too much load. */
const DECREASE_FACTOR = 0.7;

/** A finished request, as far as the pace depends on it. */
export interface PaceSample {
  readonly startedMs: number;
  readonly finishedMs: number;
  readonly completion: Completion;
  /** Requests that ran when it finished, including itself. */
  readonly running: number;
}

/**
 * A limit that grows from a part of the full one as answers prove it. Each
 * success raises it by one, so it doubles in the time of one request while it
 * is used up, whatever that time is. A refusal, timeout or failure lowers it,
 * at most once per round of requests, since the others of the round were
 * started under the same limit, and makes it grow more slowly from there on.
 * Refusals at the lowest limit say nothing about the load.
 */
export class StartPace {
  private limit: number | undefined;
  private floor = 0;
  private growth = FAST_GROWTH;
  private lastDecreaseMs = -Infinity;

  /** Begins the pace below a full limit. */
  start(fullLimit: number): void {
    this.floor = Math.max(
      MIN_PACED_LIMIT,
      Math.ceil(fullLimit * INITIAL_SHARE),
    );
    this.limit = this.floor;
    this.growth = FAST_GROWTH;
    this.lastDecreaseMs = -Infinity;
  }

  isActive(): boolean {
    return this.limit !== undefined;
  }

  /** Returns the present limit, at most the full one. */
  computeLimit(fullLimit: number): number {
    if (this.limit === undefined) return fullLimit;
    return Math.min(fullLimit, Math.floor(this.limit));
  }

  /** Adapts the limit to an answer, and ends the pace at the full limit. */
  observe(sample: PaceSample, fullLimit: number): void {
    if (this.limit === undefined) return;
    if (sample.completion === Completion.SUCCEEDED) this.raise(sample);
    else if (isOverloadSign(sample.completion)) this.reset(sample);
    if (this.limit >= fullLimit) this.limit = undefined;
  }

  /** Answers prove a limit only if a good part of it was in use. */
  private raise({running}: PaceSample): void {
    const limit = this.limit ?? 0;
    if (2 * running >= limit) this.limit = limit + this.growth;
  }

  /** Lowers the limit after too much load. */
  private reset({startedMs, finishedMs}: PaceSample): void {
    const limit = this.limit ?? 0;
    if (startedMs < this.lastDecreaseMs || limit <= this.floor) return;
    this.lastDecreaseMs = finishedMs;
    this.growth = SLOW_GROWTH;
    this.limit = Math.max(this.floor, limit * DECREASE_FACTOR);
  }
}

function isOverloadSign(completion: Completion): boolean {
  return (
    completion === Completion.SHED_BY_UPSTREAM ||
    completion === Completion.TIMED_OUT ||
    completion === Completion.FAILED
  );
}
