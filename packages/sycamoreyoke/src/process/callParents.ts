/** Infers for which running request an upstream makes a call. */

/** A request that is running on the upstream. */
export interface RunningParent {
  readonly ticket: string;
  /** Deadline that the upstream was told, ms on the clock of the node. */
  readonly statedDeadlineMs: number;
}

/** Facts about a request without a key, which may be a call of the upstream. */
export interface PossibleCall {
  /** Earliest and latest time at which it can have arrived, node's clock, ms. */
  readonly earliestMs: number;
  readonly latestMs: number;
  /** Remaining time that it states, ms. */
  readonly leftMs: number;
}

/** What speaks for the parent of a call. */
export enum ParentEvidence {
  /** The call states the time that the parent had left when it arrived. */
  DEADLINE = 'deadline',
  /** The same if the call was delayed on its way. */
  DELAYED = 'delayed',
  /** The parent was active last. */
  RECENCY = 'recency',
}

/** Requests for which a call may have been made; the likeliest one first. */
export interface InferredParents {
  readonly tickets: readonly [string, ...string[]];
  readonly evidence: ParentEvidence;
}

/** Progress of a running request. */
export interface ParentProgress {
  readonly startedMs: number;
  readonly answeredCalls: number;
}

/** Time that a call takes from its upstream to the node. */
const MAX_TRANSIT_MS = 6;
/** Node and upstream both round the remaining time down to milliseconds. */
const ROUNDING_MS = 3;
/**
 * Part of the remaining time that is withheld from the upstream, so that its
 * calls state less time than any client that sends the same kind of request. It
 * exceeds the tolerance for the transit of a call.
 */
const RESERVE_MS = MAX_TRANSIT_MS + ROUNDING_MS;
const MAX_RESERVE_SHARE = 0.05;

/** Computes the deadline to state to the upstream so that it marks its calls. */
export function computeStatedDeadline(
  deadlineMs: number,
  nowMs: number,
): number {
  const leftMs = Math.max(0, deadlineMs - nowMs);
  return deadlineMs - Math.min(RESERVE_MS, leftMs * MAX_RESERVE_SHARE);
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
/** Requests that are remembered without an answer, the latest ones. */
const MAX_ABANDONED = 1_024;

/**
 * Tracks the requests that run on the upstream and the calls they make. A call
 * does not name its parent request, but it expires with it: it states the time
 * that the parent had left when the call was sent. Several requests can fit, and
 * a request of a client can fit by chance, so decisions that need certainty must
 * not rest on the inferred parent. If the time of a call has a shorter limit of
 * its own, the parent is assumed to be the most recently active request without
 * an open call, since most upstreams make their calls sequentially.
 */
export class CallParents {
  private readonly states = new Map<string, ParentState>();
  /** In the order of time; a request may have outdated entries before. */
  private idleEntries: IdleEntry[] = [];
  /** Requests without an answer, for which the upstream may still make calls. */
  private readonly abandoned = new Set<ParentState>();

  constructor(
    /** Time at which the node started, on its clock, ms. */
    private readonly startedMs: number,
  ) {}

  /** Records that the upstream started to run a request. */
  start(parent: RunningParent, nowMs: number): void {
    const state: ParentState = {
      parent,
      startedMs: nowMs,
      answeredCalls: 0,
      idleSinceMs: nowMs,
      openCalls: 0,
      isRunning: true,
    };
    this.states.set(parent.ticket, state);
    this.addIdle(state);
  }

  /**
   * Records the end of a request. Without its answer, the upstream may still be
   * at work on it.
   */
  finish(ticket: string, isAnswered: boolean): void {
    const state = this.states.get(ticket);
    if (!state) return;
    this.states.delete(ticket);
    state.isRunning = false;
    if (!isAnswered) this.addAbandoned(state);
  }

  /**
   * Infers the parent of a call. Whether calls may have been delayed is known
   * from the connection on which it arrived.
   */
  findParents(
    call: PossibleCall,
    mayBeDelayed: boolean,
  ): InferredParents | undefined {
    const matching = this.listMatching(call);
    const [nearest, ...others] = matching;
    if (nearest) {
      const tickets = [nearest, ...others].map(({parent}) => parent.ticket);
      return {
        tickets: tickets as [string, ...string[]],
        evidence: ParentEvidence.DEADLINE,
      };
    }
    const delayed = mayBeDelayed ? this.findDelayed(call) : undefined;
    const found = delayed ?? this.findLatestIdle(call);
    return (
      found && {
        tickets: [found.parent.ticket],
        evidence: delayed ? ParentEvidence.DELAYED : ParentEvidence.RECENCY,
      }
    );
  }

  /** Whether a call fits a request that has ended without an answer. */
  hasAbandonedParent(call: PossibleCall): boolean {
    for (const state of this.abandoned) {
      if (isMatchingCall(state, call)) return true;
    }
    return false;
  }

  /**
   * Whether a call fits a request that a former process of the node can have
   * passed to the upstream, which is told `longestMs` at most.
   */
  hasFormerParent(
    {earliestMs, leftMs}: PossibleCall,
    longestMs: number,
  ): boolean {
    const latestDeadlineMs = this.startedMs + longestMs;
    return earliestMs + leftMs <= latestDeadlineMs + MAX_TRANSIT_MS;
  }

  /** Whether a call fits a running request if it was delayed on its way. */
  hasDelayedParent(call: PossibleCall): boolean {
    return this.findDelayed(call) !== undefined;
  }

  /** Records a call of a running request as open. */
  startCall(ticket: string): void {
    const state = this.states.get(ticket);
    if (state) state.openCalls += 1;
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

  private addAbandoned(state: ParentState): void {
    this.abandoned.add(state);
    if (this.abandoned.size <= MAX_ABANDONED) return;
    const [oldest] = this.abandoned;
    if (oldest) this.abandoned.delete(oldest);
  }

  private addIdle(state: ParentState): void {
    this.idleEntries.push({state, sinceMs: state.idleSinceMs});
    const most = 2 * this.states.size + MAX_STALE_ENTRIES;
    if (this.idleEntries.length <= most) return;
    this.idleEntries = this.idleEntries.filter(isIdle);
  }

  /** Lists the running requests that the call fits, the nearest first. */
  private listMatching(call: PossibleCall): ParentState[] {
    const matching: ParentState[] = [];
    for (const state of this.states.values()) {
      if (isMatchingCall(state, call)) matching.push(state);
    }
    if (matching.length < 2) return matching;
    const measure = (state: ParentState) => measureDistance(state, call);
    return matching.sort((a, b) => measure(a) - measure(b));
  }

  /** Finds the running request with the latest deadline before the call's. */
  private findDelayed(call: PossibleCall): ParentState | undefined {
    let best: ParentState | undefined;
    for (const state of this.states.values()) {
      if (!isDelayedCall(state, call)) continue;
      const isLater =
        !best || state.parent.statedDeadlineMs > best.parent.statedDeadlineMs;
      if (isLater) best = state;
    }
    return best;
  }

  private findLatestIdle(call: PossibleCall): ParentState | undefined {
    const deadlineMs = call.earliestMs + call.leftMs;
    for (let index = this.idleEntries.length - 1; index >= 0; index -= 1) {
      const entry = this.idleEntries[index] as IdleEntry;
      const {statedDeadlineMs} = entry.state.parent;
      // A call never has a later deadline than its parent.
      const canBeParent = statedDeadlineMs + MAX_TRANSIT_MS >= deadlineMs;
      if (canBeParent && isIdle(entry)) return entry.state;
    }
    return undefined;
  }
}

/**
 * Whether the call states the time that the request had left at some moment
 * between the request's start and now, but for transit and rounding.
 */
function isMatchingCall(state: ParentState, call: PossibleCall): boolean {
  const latestDeadlineMs = state.parent.statedDeadlineMs + MAX_TRANSIT_MS;
  return (
    isDelayedCall(state, call) &&
    computeEarliestDeadline(state, call) <= latestDeadlineMs
  );
}

/** The same for a call that was delayed on its way for any time. */
function isDelayedCall(state: ParentState, call: PossibleCall): boolean {
  const {statedDeadlineMs} = state.parent;
  const {latestMs, leftMs} = call;
  return (
    isAfterStart(state, call) &&
    latestMs + leftMs >= statedDeadlineMs - ROUNDING_MS
  );
}

/** Whether the call states no more time than the request had at its start. */
function isAfterStart(
  {parent: {statedDeadlineMs}, startedMs}: ParentState,
  {leftMs}: PossibleCall,
): boolean {
  return leftMs <= statedDeadlineMs - startedMs + MAX_TRANSIT_MS;
}

/** A call arrives after the start of its parent. */
function computeEarliestDeadline(
  {startedMs}: ParentState,
  {earliestMs, leftMs}: PossibleCall,
): number {
  return Math.max(earliestMs, startedMs) + leftMs;
}

/** How far the deadlines are apart at the least, ms. */
function measureDistance(state: ParentState, call: PossibleCall): number {
  const {statedDeadlineMs} = state.parent;
  const firstMs = computeEarliestDeadline(state, call) - statedDeadlineMs;
  const lastMs = statedDeadlineMs - (call.latestMs + call.leftMs);
  return Math.max(0, firstMs, lastMs);
}

/** Whether the request has had no open call since the time of the entry. */
function isIdle({state, sinceMs}: IdleEntry): boolean {
  return (
    state.isRunning && state.openCalls === 0 && state.idleSinceMs === sinceMs
  );
}
