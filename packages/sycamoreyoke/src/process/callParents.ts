/** Finds the running request for which an upstream makes a call. */

/** A request that runs on the upstream. */
export interface RunningParent {
  readonly ticket: string;
  /** When the upstream stops working on it, on the node's clock. */
  readonly deadlineMs: number;
}

/**
 * A call expires with the request for which it is made, so both deadlines
 * agree to within the time that the call takes to arrive and rounding.
 */
const TOLERANCE_MS = 6;

interface ParentState {
  readonly parent: RunningParent;
  /** Start of the request, or end of its latest call. */
  quietSinceMs: number;
  openCalls: number;
}

/**
 * Follows the requests that run on the upstream and the calls they make. A call
 * names no parent. Its deadline does, where the parent has less time left than
 * the call may take. Otherwise most upstreams make one call after the other, so
 * the parent is the request without an open call that was busy last.
 */
export class CallParents {
  private readonly states = new Map<string, ParentState>();

  /** The upstream began to work on a request. */
  start(parent: RunningParent, nowMs: number): void {
    const {ticket} = parent;
    this.states.set(ticket, {parent, quietSinceMs: nowMs, openCalls: 0});
  }

  finish(ticket: string): void {
    this.states.delete(ticket);
  }

  /** Whether a running request has the deadline that a call would have. */
  hasDeadline(callDeadlineMs: number): boolean {
    return this.findByDeadline(callDeadlineMs) !== undefined;
  }

  /** Ticket of the request for which a call was made, if one fits. */
  startCall(callDeadlineMs: number): string | undefined {
    const state =
      this.findByDeadline(callDeadlineMs) ??
      this.findBySequence(callDeadlineMs);
    if (!state) return undefined;
    state.openCalls += 1;
    return state.parent.ticket;
  }

  /** A call that was made for the request has its answer. */
  finishCall(ticket: string, nowMs: number): void {
    const state = this.states.get(ticket);
    if (!state) return;
    state.openCalls -= 1;
    state.quietSinceMs = nowMs;
  }

  private findByDeadline(callDeadlineMs: number): ParentState | undefined {
    let best: ParentState | undefined;
    let bestMs = TOLERANCE_MS;
    for (const state of this.states.values()) {
      const {deadlineMs} = state.parent;
      const differenceMs = Math.abs(deadlineMs - callDeadlineMs);
      if (differenceMs > bestMs) continue;
      best = state;
      bestMs = differenceMs;
    }
    return best;
  }

  private findBySequence(callDeadlineMs: number): ParentState | undefined {
    let best: ParentState | undefined;
    for (const state of this.states.values()) {
      // A call never has more time than the request for which it is made.
      const isPossible =
        state.openCalls === 0 &&
        state.parent.deadlineMs + TOLERANCE_MS >= callDeadlineMs;
      if (!isPossible) continue;
      if (!best || state.quietSinceMs > best.quietSinceMs) best = state;
    }
    return best;
  }
}
