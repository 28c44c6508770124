/** Decides what a node that stops still takes, and when it answers the rest. */

/**
 * Part of the grace time in which requests are taken as before: two missed
 * readiness checks, one a second, pass before clients go elsewhere.
 */
const LINGER_SHARE = 5 / 12;
/** Part in which requests are taken if they arrive on open connections. */
const TAKE_SHARE = 0.48;
/** Part after which requests that still run are answered as unknown. */
const ANSWER_SHARE = 7 / 8;
/** Part after which connections are closed; the rest covers delayed timers. */
const EXIT_SHARE = 11 / 12;
/** Part kept for the answers of requests when calls of the upstream end. */
const REPLY_SHARE = 5 / 24;

/** The result of a call has to reach the request before that is answered. */
const CALL_MARGIN_MS = 100;

/** Points in time of a stop, on the clock of the node, ms. */
export class StopSchedule {
  /** The listener stays open until then for clients that do not know yet. */
  readonly lingerUntilMs: number;
  /** The listener stays open until then for calls of running requests. */
  readonly callsUntilMs: number;
  readonly answerMs: number;
  readonly exitMs: number;
  private readonly takeUntilMs: number;

  /**
   * The end counts from the time at which the signal was sent. The listener
   * stays open for as long after the node has ceased to say that it is ready.
   */
  constructor(startedMs: number, graceMs: number, handledMs = startedMs) {
    this.lingerUntilMs = handledMs + LINGER_SHARE * graceMs;
    this.takeUntilMs = startedMs + TAKE_SHARE * graceMs;
    this.answerMs = startedMs + ANSWER_SHARE * graceMs;
    this.callsUntilMs = this.answerMs - REPLY_SHARE * graceMs;
    this.exitMs = startedMs + EXIT_SHARE * graceMs;
  }

  /** Whether a request of a client is taken now. */
  isTaking(nowMs: number): boolean {
    return nowMs < this.takeUntilMs;
  }

  /**
   * Whether a call of another node is run: one that may outlast the stop would
   * be broken off, and its origin may still find another node.
   */
  hasTimeFor(nowMs: number, deadlineMs: number): boolean {
    return this.isTaking(nowMs) && deadlineMs <= this.answerMs;
  }

  /** Whether a call that waits at the gate may still start. */
  hasTimeToStart(nowMs: number, deadlineMs: number): boolean {
    return this.isTaking(nowMs) || deadlineMs <= this.answerMs;
  }

  /** Whether the listener accepts connections. */
  isListening(nowMs: number, hasRunningCalls: boolean): boolean {
    if (nowMs >= this.answerMs) return false;
    if (nowMs < this.lingerUntilMs) return true;
    return hasRunningCalls && nowMs < this.callsUntilMs;
  }

  /** Deadline of a call for a request that was taken before. */
  clampDeadline(deadlineMs: number): number {
    return Math.min(deadlineMs, this.answerMs - CALL_MARGIN_MS);
  }
}
