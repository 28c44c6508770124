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

/** Progress of a running request. */
export interface ParentProgress {
  readonly startedMs: number;
  readonly answeredCalls: number;
}

interface ParentState {
  readonly parent: RunningParent;
  readonly startedMs: number;
  answeredCalls: number;
  /** Start of the request, or end of its latest call. */
  idleSinceMs: number;
  openCalls: number;
  /** Whether the request still runs. */
  isRunning: boolean;
}

/** A request that had no open call at this time. */
interface IdleEntry {
  readonly state: ParentState;
  readonly sinceMs: number;
}

/** Outdated entries that the list may hold before it is rebuilt. */
const MAX_STALE_ENTRIES = 64;

/**
 * Tracks the requests that run on the upstream and the calls they make. A call
 * does not name its parent request, so the parent is inferred. If the remaining
 * time of the parent limits that of the call, their deadlines match. Otherwise,
 * since most upstreams make their calls sequentially, the parent is assumed to
 * be the most recently active request without an open call.
 */
export class CallParents {
  private readonly states = new Map<string, ParentState>();
  /** Running requests by their deadline, in steps of the tolerance. */
  private readonly statesByStep = new Map<number, Set<ParentState>>();
  /** In the order of time; a request may have outdated entries before. */
  private idleEntries: IdleEntry[] = [];

  /** Records that the upstream started to run a request. */
  start(parent: RunningParent, nowMs: number): void {
    const {ticket, deadlineMs} = parent;
    const state: ParentState = {
      parent,
      startedMs: nowMs,
      answeredCalls: 0,
      idleSinceMs: nowMs,
      openCalls: 0,
      isRunning: true,
    };
    this.states.set(ticket, state);
    const step = computeStep(deadlineMs);
    const sameStep = this.statesByStep.get(step);
    if (sameStep) sameStep.add(state);
    else this.statesByStep.set(step, new Set([state]));
    this.addIdle(state);
  }

  finish(ticket: string): void {
    const state = this.states.get(ticket);
    if (!state) return;
    this.states.delete(ticket);
    state.isRunning = false;
    const step = computeStep(state.parent.deadlineMs);
    const sameStep = this.statesByStep.get(step);
    sameStep?.delete(state);
    if (sameStep?.size === 0) this.statesByStep.delete(step);
  }

  /** Whether a running request has the given deadline, within 6 ms. */
  hasDeadline(callDeadlineMs: number): boolean {
    return this.findByDeadline(callDeadlineMs) !== undefined;
  }

  /** Returns the ticket of the parent of a call, if one is found. */
  findParent(callDeadlineMs: number): string | undefined {
    return this.findState(callDeadlineMs)?.parent.ticket;
  }

  /** Records a call and returns the ticket of its parent, if one is found. */
  startCall(callDeadlineMs: number): string | undefined {
    const state = this.findState(callDeadlineMs);
    if (!state) return undefined;
    state.openCalls += 1;
    return state.parent.ticket;
  }

  /** Returns the progress of a running request. */
  readProgress(ticket: string): ParentProgress | undefined {
    return this.states.get(ticket);
  }

  /** Records the response to a call made for the request. */
  finishCall(ticket: string, nowMs: number): void {
    const state = this.states.get(ticket);
    if (!state) return;
    state.openCalls -= 1;
    state.answeredCalls += 1;
    state.idleSinceMs = nowMs;
    if (state.openCalls === 0) this.addIdle(state);
  }

  private addIdle(state: ParentState): void {
    this.idleEntries.push({state, sinceMs: state.idleSinceMs});
    const most = 2 * this.states.size + MAX_STALE_ENTRIES;
    if (this.idleEntries.length <= most) return;
    this.idleEntries = this.idleEntries.filter(isIdle);
  }

  private findState(callDeadlineMs: number): ParentState | undefined {
    return (
      this.findByDeadline(callDeadlineMs) ?? this.findLatestIdle(callDeadlineMs)
    );
  }

  private findByDeadline(callDeadlineMs: number): ParentState | undefined {
    let best: ParentState | undefined;
    let smallestDifferenceMs = DEADLINE_TOLERANCE_MS;
    const step = computeStep(callDeadlineMs);
    for (const near of [step - 1, step, step + 1]) {
      for (const state of this.statesByStep.get(near) ?? []) {
        const {deadlineMs} = state.parent;
        const differenceMs = Math.abs(deadlineMs - callDeadlineMs);
        if (differenceMs > smallestDifferenceMs) continue;
        best = state;
        smallestDifferenceMs = differenceMs;
      }
    }
    return best;
  }

  private findLatestIdle(callDeadlineMs: number): ParentState | undefined {
    for (let index = this.idleEntries.length - 1; index >= 0; index -= 1) {
      const entry = this.idleEntries[index] as IdleEntry;
      const {deadlineMs} = entry.state.parent;
      // A call never has a later deadline than its parent.
      const canBeParent = deadlineMs + DEADLINE_TOLERANCE_MS >= callDeadlineMs;
      if (canBeParent && isIdle(entry)) return entry.state;
    }
    return undefined;
  }
}

function computeStep(deadlineMs: number): number {
  return Math.floor(deadlineMs / DEADLINE_TOLERANCE_MS);
}

/** Whether the request has had no open call since the time of the entry. */
function isIdle({state, sinceMs}: IdleEntry): boolean {
  return (
    state.isRunning && state.openCalls === 0 && state.idleSinceMs === sinceMs
  );
}
