/** Schedules the calls that a node sends to itself before it joins. */
import type {Clock} from '../clock.js';

/** Calls of a warm-up; a new process is slower for its first 2,800 calls. */
export const WARM_UP_CALLS = 3_000;
/** Time limit, so that a node on a busy VM does not start too late. */
export const WARM_UP_LIMIT_MS = 5_000;
/** Maximum calls in flight. */
export const WARM_UP_CONCURRENCY = 16;
/** Consecutive failed calls that end the warm-up. */
export const WARM_UP_MAX_FAILURES = 50;

export enum WarmUpEnd {
  COMPLETED = 'completed',
  TIME_LIMIT = 'time-limit',
  FAILING = 'failing',
}

/** Number of calls to send now, and the result if the warm-up has ended. */
export interface WarmUpStep {
  readonly sends: number;
  readonly end?: WarmUpEnd;
}

/** Counts the calls of the warm-up and reports its end once. */
export class WarmUp {
  private startedMs = 0;
  private sent = 0;
  private finished = 0;
  private failuresInRow = 0;
  private end: WarmUpEnd | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly calls = WARM_UP_CALLS,
    private readonly limitMs = WARM_UP_LIMIT_MS,
  ) {}

  start(): WarmUpStep {
    this.startedMs = this.clock.readMs();
    return this.advance();
  }

  /** Records the end of a call. */
  finishCall(isSuccess: boolean): WarmUpStep {
    this.finished += 1;
    this.failuresInRow = isSuccess ? 0 : this.failuresInRow + 1;
    return this.advance();
  }

  /** Checks the time limit; must be called at least every 100 ms. */
  tick(): WarmUpStep {
    return this.advance();
  }

  countFinished(): number {
    return this.finished;
  }

  private advance(): WarmUpStep {
    if (this.end) return {sends: 0};
    this.end = this.findEnd();
    if (this.end) return {sends: 0, end: this.end};
    const inFlight = this.sent - this.finished;
    const sends = Math.min(
      WARM_UP_CONCURRENCY - inFlight,
      this.calls - this.sent,
    );
    this.sent += sends;
    return {sends};
  }

  private findEnd(): WarmUpEnd | undefined {
    if (this.finished >= this.calls) return WarmUpEnd.COMPLETED;
    if (this.failuresInRow >= WARM_UP_MAX_FAILURES) return WarmUpEnd.FAILING;
    const elapsedMs = this.clock.readMs() - this.startedMs;
    return elapsedMs >= this.limitMs ? WarmUpEnd.TIME_LIMIT : undefined;
  }
}
