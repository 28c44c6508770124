/** Decides what a stopping node still accepts and when it answers the rest. */

/**
 * Share of the grace time in which connections are accepted as before: clients
 * go elsewhere only after two failed readiness checks, one per second.
 */
const LINGER_SHARE = 5 / 12;
/** Share in which requests on open connections are accepted. */
const ACCEPT_SHARE = 0.48;
/** Share after which running requests are answered as unknown. */
const ANSWER_SHARE = 7 / 8;
/** Share after which connections are closed; the rest covers late timers. */
const EXIT_SHARE = 11 / 12;
/** Share reserved for answering requests after the upstream's calls end. */
const REPLY_SHARE = 5 / 24;

/** Time for the result of a call to reach its request before the answer. */
const CALL_MARGIN_MS = 100;

/** Times of the phases of a stop, on the clock of the node, ms. */
export class StopSchedule {
  /** End of accepting connections from clients that do not know of the stop. */
  readonly lingerUntilMs: number;
  /** End of accepting connections for calls of running requests. */
  readonly lingerForCallsUntilMs: number;
  readonly answerMs: number;
  readonly exitMs: number;
  private readonly acceptUntilMs: number;
  /** Latest end of a call whose result still reaches its request. */
  private readonly lastEndMs: number;

  /**
   * The grace time counts from startedMs, when the signal was sent. The
   * listener lingers from handledMs, when the node stopped reporting ready.
   */
  constructor(startedMs: number, graceMs: number, handledMs = startedMs) {
    this.lingerUntilMs = handledMs + LINGER_SHARE * graceMs;
    this.acceptUntilMs = startedMs + ACCEPT_SHARE * graceMs;
    this.answerMs = startedMs + ANSWER_SHARE * graceMs;
    this.lastEndMs = this.answerMs - CALL_MARGIN_MS;
    this.lingerForCallsUntilMs = this.answerMs - REPLY_SHARE * graceMs;
    this.exitMs = startedMs + EXIT_SHARE * graceMs;
  }

  /**
   * Returns true if a client's request that arrives now can be answered before
   * the stop: by its deadline or, if its usual time is known, by that.
   */
  hasTimeToAnswer(
    nowMs: number,
    deadlineMs: number,
    usualMs = Infinity,
  ): boolean {
    const endMs = Math.min(deadlineMs, nowMs + usualMs);
    return this.isAcceptingRequests(nowMs) && endMs <= this.lastEndMs;
  }

  /** Returns true if client requests are accepted now. */
  isAcceptingRequests(nowMs: number): boolean {
    return nowMs < this.acceptUntilMs;
  }

  /**
   * Returns true if a call from another node can finish before the stop. Other
   * calls would be aborted, and their origin can still choose another node.
   */
  hasTimeToFinish(nowMs: number, deadlineMs: number): boolean {
    return this.isAcceptingRequests(nowMs) && deadlineMs <= this.answerMs;
  }

  /** Returns true if a call waiting at the gate may still start. */
  hasTimeToStart(nowMs: number, deadlineMs: number): boolean {
    return this.isAcceptingRequests(nowMs) || deadlineMs <= this.answerMs;
  }

  /** Returns true if the listener accepts connections. */
  isListening(nowMs: number, hasRunningCalls: boolean): boolean {
    if (nowMs >= this.answerMs) return false;
    if (nowMs < this.lingerUntilMs) return true;
    return hasRunningCalls && nowMs < this.lingerForCallsUntilMs;
  }

  /** Limits a call's deadline to the time before its request is answered. */
  clampDeadline(deadlineMs: number): number {
    return Math.min(deadlineMs, this.lastEndMs);
  }
}
