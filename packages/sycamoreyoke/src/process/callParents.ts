/** Finds the running request on whose behalf an upstream makes a call. */

/** A request that is running on the upstream. */
export interface RunningParent {
  readonly ticket: string;
  /** Deadline of the request, ms on the clock of the node. */
  readonly deadlineMs: number;
}

/**
 * A call has the deadline of its parent request. The deadlines differ only by
 * rounding and by the time that the call takes to arrive.
 */
const DEADLINE_TOLERANCE_MS = 6;

interface ParentState {
  readonly parent: RunningParent;
  /** Start of the request, or end of its latest call. */
  idleSinceMs: number;
  openCalls: number;
}

/**
 * Tracks the requests that run on the upstream and the calls they make. A call
 * does not name its parent request, so the parent is inferred. If the remaining
 * time of the parent limits that of the call, their deadlines match. Otherwise,
 * since most upstreams make their calls sequentially, the parent is assumed to
 * be the most recently active request without an open call.
 */
export class CallParents {
  private readonly states = new Map<string, ParentState>();

  /** Records that the upstream started to run a request. */
  start(parent: RunningParent, nowMs: number): void {
    const {ticket} = parent;
    this.states.set(ticket, {parent, idleSinceMs: nowMs, openCalls: 0});
  }

  finish(ticket: string): void {
    this.states.delete(ticket);
  }

  /** Whether a running request has the given deadline, within 6 ms. */
  hasDeadline(callDeadlineMs: number): boolean {
    return this.findByDeadline(callDeadlineMs) !== undefined;
  }

  /** Records a call and returns the ticket of its parent, if one is found. */
  startCall(callDeadlineMs: number): string | undefined {
    const state =
      this.findByDeadline(callDeadlineMs) ??
      this.findLatestIdle(callDeadlineMs);
    if (!state) return undefined;
    state.openCalls += 1;
    return state.parent.ticket;
  }

  /** Records the response to a call made for the request. */
  finishCall(ticket: string, nowMs: number): void {
    const state = this.states.get(ticket);
    if (!state) return;
    state.openCalls -= 1;
    state.idleSinceMs = nowMs;
  }

  private findByDeadline(callDeadlineMs: number): ParentState | undefined {
    let best: ParentState | undefined;
    let smallestDifferenceMs = DEADLINE_TOLERANCE_MS;
    for (const state of this.states.values()) {
      const {deadlineMs} = state.parent;
      const differenceMs = Math.abs(deadlineMs - callDeadlineMs);
      if (differenceMs > smallestDifferenceMs) continue;
      best = state;
      smallestDifferenceMs = differenceMs;
    }
    return best;
  }

  private findLatestIdle(callDeadlineMs: number): ParentState | undefined {
    let best: ParentState | undefined;
    for (const state of this.states.values()) {
      // A call never has a later deadline than its parent.
      const isCandidate =
        state.openCalls === 0 &&
        state.parent.deadlineMs + DEADLINE_TOLERANCE_MS >= callDeadlineMs;
      if (!isCandidate) continue;
      if (!best || state.idleSinceMs > best.idleSinceMs) best = state;
    }
    return best;
  }
}
