/** Admits requests whose calls fail further down only as far as they succeed. */

/** Minimum share of requests that is admitted, whatever becomes of them. */
const MIN_ADMITTED_SHARE = 0.02;
/** Success share from which on the admitted share grows fast. */
const CLEAN_SHARE = 0.9;
/** Growth for each clean round while the share is far from the last failure. */
const FAST_GROWTH = 4;
/** First growth above the share near which requests failed. */
const SLOW_GROWTH = 1.3;
/** Admitted requests, as a multiple of the share, that are mostly probes. */
const MOSTLY_PROBES = 2;
/**
 * Part of the failing share up to which the share grows fast. Other gates and
 * kinds grow at the same time.
 */
const SAFE_PART = 0.5;
/** Longest series of successes that shows the end of a fault. */
const MAX_SERIES = 8;
/** Assumed success share of a fault in which no request succeeded. */
const MIN_SUCCESS_SHARE = 0.05;
/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.2;
/** A round lasts this multiple of the mean time of a successful request. */
const ROUND_LATENCIES = 1.2;
/** Shortest round, ms. */
const MIN_ROUND_MS = 20;
/**
 * Results are forgotten after this many intervals between probes, and two
 * request times.
 */
const EVIDENCE_PROBES = 10;

/** Requests that may be admitted at once after a pause. */
const MAX_CREDIT = 4;

/** Results within a period in which the admitted share was the same. */
interface Round {
  readonly startedMs: number;
  /** Requests that were offered and admitted in this round. */
  offered: number;
  admitted: number;
  succeeded: number;
  failed: number;
  /** Successes since the last failure. */
  series: number;
}

interface KindState {
  readonly kind: string;
  /** Admitted share; 1 while the kind is not throttled. */
  share: number;
  /** Since when the share is the same. */
  sharedSinceMs: number;
  round: Round;
  /** Accumulated admitted share; each admitted request uses up 1. */
  credit: number;
  nextProbeMs: number;
  lastResultMs: number;
  lastAdmittedMs: number;
  /** Mean time between two admitted requests, ms. */
  admittedGapMs: number;
  /** Mean time of successful requests, ms; 0 without samples. */
  latencyMs: number;
  /** Mean time until a result, ms. */
  resultMs: number;
  /** Share at which requests failed last, if fewer succeeded. */
  failingShare: number | undefined;
  /**
   * Success share at the lowest admitted share, if requests fail even then. The
   * failures do not depend on what is admitted here.
   */
  shareOfProbes: number | undefined;
  /** Growth of the next clean round near the failing share. */
  growth: number;
}

/** Parameters of a throttle. */
export interface ThrottleParameters {
  /** Requests admitted per success; Infinity admits all. */
  readonly headroom: number;
  /** Longest interval between two probes of a throttled kind, ms. */
  readonly probeIntervalMs: number;
  /** Results that a kind must have before it is throttled. */
  readonly minResultsToClose: number;
  /** Results that a round of a throttled kind must have. */
  readonly minResults: number;
  /**
   * Probability, under the success share of the fault, of a series of
   * successes that is taken as its end.
   */
  readonly seriesChance: number;
  /**
   * Requests of a throttled kind that each success admits at once. Below a
   * success share of its inverse they die out.
   */
  readonly creditPerSuccess: number;
}

/** Parameters for a gate with ten or more requests of a kind per second. */
export const GATE_THROTTLE: ThrottleParameters = {
  headroom: 1.5,
  probeIntervalMs: 200,
  minResultsToClose: 10,
  minResults: 3,
  seriesChance: 0.02,
  creditPerSuccess: 0,
};

/** What the throttle does with a kind, for operators. */
export interface ThrottledKind {
  readonly kind: string;
  readonly share: number;
}

/** Called when a kind begins or ceases to be throttled. */
export type ThrottleChangeHandler = (
  kind: string,
  isThrottled: boolean,
) => void;

/** Result of a request that ran. */
export interface ThrottleResult {
  readonly kind: string;
  readonly succeeded: boolean;
  readonly startedMs: number;
  readonly nowMs: number;
}

/**
 * Throttles request kinds whose own calls are refused downstream. Such a
 * request would occupy a slot here and fail, in place of one that could
 * succeed. Handles two kinds of load: a deep service that rejects calls
 * whatever its load, and one that is short of capacity. Only requests that were
 * admitted are evidence, over at least one round of their latency.
 *
 * - The share falls in proportion to the successes, times `headroom`.
 * - If requests succeed at the new share, it grows: fast up to half of the share
 *   that failed, then slowly, and faster with each round without failures.
 * - If they fail even at the lowest share, admitting less does not help. Then a
 *   series of successes that was improbable before shows the end of the fault,
 *   and the kind is opened at once.
 */
export class DownstreamThrottle {
  private readonly kinds = new Map<string, KindState>();

  constructor(
    private readonly parameters: ThrottleParameters,
    private readonly handleChange: ThrottleChangeHandler = () => undefined,
  ) {}

  /** Records the result of a request that ran. */
  observe({kind, succeeded, startedMs, nowMs}: ThrottleResult): void {
    const state = this.readState(kind, nowMs);
    const elapsedMs = nowMs - startedMs;
    state.lastResultMs = nowMs;
    state.resultMs = computeAverage(state.resultMs, elapsedMs);
    if (succeeded) state.latencyMs = computeAverage(state.latencyMs, elapsedMs);
    const {round} = state;
    if (state.share < 1 && startedMs < state.sharedSinceMs) return;
    if (succeeded) {
      round.succeeded += 1;
      round.series += 1;
      state.credit += this.parameters.creditPerSuccess;
    } else {
      round.failed += 1;
      round.series = 0;
    }
    this.decide(state, nowMs);
  }

  /**
   * Decides whether to admit a request of the kind, and counts it.
   * @param maxShare limits the admitted share of a throttled kind.
   */
  admit(kind: string, nowMs: number, maxShare = 1): boolean {
    const state = this.readState(kind, nowMs);
    const {round} = state;
    round.offered += 1;
    if (!this.isAdmitted(state, nowMs, maxShare)) return false;
    round.admitted += 1;
    const gapMs = nowMs - state.lastAdmittedMs;
    state.admittedGapMs = computeAverage(state.admittedGapMs, gapMs);
    state.lastAdmittedMs = nowMs;
    return true;
  }

  /** Throttles an open kind to the lowest share. */
  close(kind: string, nowMs: number): void {
    const state = this.readState(kind, nowMs);
    if (state.share < 1) return;
    state.failingShare = 1;
    state.growth = SLOW_GROWTH;
    this.setShare(state, MIN_ADMITTED_SHARE, nowMs);
  }

  /** Makes the next request of the kind a probe. */
  advanceProbe(kind: string, nowMs: number): void {
    const state = this.kinds.get(kind);
    if (state) state.nextProbeMs = Math.min(state.nextProbeMs, nowMs);
  }

  /** Returns the admitted share of the kind; 1 if it is not throttled. */
  readShare(kind: string, nowMs: number): number {
    const state = this.kinds.get(kind);
    return state && this.isRecent(state, nowMs) ? state.share : 1;
  }

  /** Returns the recent time between two admitted requests of the kind, ms. */
  computeMsPerAdmitted(kind: string): number {
    return this.kinds.get(kind)?.admittedGapMs ?? 0;
  }

  /** Whether the latest result of the kind was a success. */
  isSucceeding(kind: string): boolean {
    return (this.kinds.get(kind)?.round.series ?? 0) > 0;
  }

  /** Lists the kinds that are throttled now. */
  listThrottled(nowMs: number): readonly ThrottledKind[] {
    return [...this.kinds]
      .filter(([, state]) => state.share < 1 && this.isRecent(state, nowMs))
      .map(([kind, {share}]) => ({kind, share}));
  }

  private isAdmitted(
    state: KindState,
    nowMs: number,
    maxShare: number,
  ): boolean {
    const {headroom, probeIntervalMs} = this.parameters;
    if (state.share >= 1 || headroom === Infinity) return true;
    const share = Math.min(state.share, maxShare);
    state.credit = Math.min(MAX_CREDIT, state.credit + share);
    if (state.credit >= 1) {
      state.credit -= 1;
      return true;
    }
    if (nowMs < state.nextProbeMs) return false;
    state.nextProbeMs = Math.max(nowMs, state.nextProbeMs + probeIntervalMs);
    return true;
  }

  private decide(state: KindState, nowMs: number): void {
    const {round} = state;
    const {headroom, minResults, minResultsToClose} = this.parameters;
    if (this.isEndOfFault(state)) {
      state.shareOfProbes = undefined;
      this.setShare(state, 1, nowMs);
      return;
    }
    const results = round.succeeded + round.failed;
    const roundMs = Math.max(MIN_ROUND_MS, ROUND_LATENCIES * state.latencyMs);
    const isComplete =
      nowMs - round.startedMs >= roundMs &&
      results >= (state.share < 1 ? minResults : minResultsToClose);
    if (!isComplete) return;
    const succeededShare = round.succeeded / results;
    if (headroom * succeededShare < 1) {
      this.narrow(state, succeededShare, nowMs);
    } else if (state.share < 1) {
      this.open(state, succeededShare, nowMs);
    } else {
      state.failingShare = undefined;
      state.round = createRound(nowMs);
    }
  }

  /** Whether the requests have succeeded too often for the earlier fault. */
  private isEndOfFault({shareOfProbes, round}: KindState): boolean {
    if (shareOfProbes === undefined) return false;
    const needed =
      Math.log(this.parameters.seriesChance) /
      Math.log(Math.max(MIN_SUCCESS_SHARE, shareOfProbes));
    const series = Math.min(MAX_SERIES, Math.ceil(needed));
    return round.series >= series;
  }

  private narrow(
    state: KindState,
    succeededShare: number,
    nowMs: number,
  ): void {
    state.growth = SLOW_GROWTH;
    if (!isLowest(state)) {
      state.failingShare = state.share;
      state.shareOfProbes = undefined;
      const share = state.share * this.parameters.headroom * succeededShare;
      this.setShare(state, Math.max(MIN_ADMITTED_SHARE, share), nowMs);
      return;
    }
    state.shareOfProbes =
      state.shareOfProbes === undefined
        ? succeededShare
        : computeAverage(state.shareOfProbes, succeededShare);
    state.failingShare = undefined;
    const {series} = state.round;
    state.round = {...createRound(nowMs), series};
  }

  private open(state: KindState, succeededShare: number, nowMs: number): void {
    const {round, failingShare = 1} = state;
    const admitted = Math.max(state.share, round.admitted / round.offered || 0);
    const safeShare = SAFE_PART * failingShare;
    if (succeededShare < CLEAN_SHARE) {
      this.setShare(
        state,
        admitted * this.parameters.headroom * succeededShare,
        nowMs,
      );
    } else if (admitted < safeShare) {
      this.setShare(state, Math.min(FAST_GROWTH * admitted, safeShare), nowMs);
    } else {
      this.setShare(state, admitted * state.growth, nowMs);
      state.growth *= state.growth;
    }
  }

  private setShare(state: KindState, share: number, nowMs: number): void {
    const wasThrottled = state.share < 1;
    state.share = Math.min(1, share);
    state.sharedSinceMs = nowMs;
    state.round = createRound(nowMs);
    const isThrottled = state.share < 1;
    if (isThrottled !== wasThrottled) {
      this.handleChange(state.kind, isThrottled);
    }
  }

  private isRecent(state: KindState, nowMs: number): boolean {
    const {lastResultMs, resultMs} = state;
    const evidenceMs = EVIDENCE_PROBES * this.parameters.probeIntervalMs;
    return nowMs - lastResultMs <= Math.max(evidenceMs, 2 * resultMs);
  }

  private readState(kind: string, nowMs: number): KindState {
    const known = this.kinds.get(kind);
    if (known && this.isRecent(known, nowMs)) return known;
    if (known && known.share < 1) this.handleChange(kind, false);
    const state: KindState = {
      kind,
      share: 1,
      sharedSinceMs: nowMs,
      round: createRound(nowMs),
      credit: 0,
      nextProbeMs: nowMs,
      lastResultMs: nowMs,
      lastAdmittedMs: nowMs,
      admittedGapMs: known?.admittedGapMs ?? 0,
      latencyMs: known?.latencyMs ?? 0,
      resultMs: known?.resultMs ?? 0,
      failingShare: undefined,
      shareOfProbes: undefined,
      growth: SLOW_GROWTH,
    };
    this.kinds.set(kind, state);
    return state;
  }
}

/** Whether a lower share would not admit fewer requests, but for the probes. */
function isLowest({share, round}: KindState): boolean {
  const mostlyProbes = round.admitted >= MOSTLY_PROBES * share * round.offered;
  return share <= MIN_ADMITTED_SHARE || (share < 1 && mostlyProbes);
}

function createRound(startedMs: number): Round {
  return {
    startedMs,
    offered: 0,
    admitted: 0,
    succeeded: 0,
    failed: 0,
    series: 0,
  };
}

function computeAverage(average: number, sample: number): number {
  return average === 0 ? sample : average + SAMPLE_WEIGHT * (sample - average);
}
