import type {LatencySample, LatencyWindow} from './latencyWindow.js';
import {
  addSample,
  compareLatency,
  computeMeans,
  createWindow,
  isComplete,
} from './latencyWindow.js';
import {Completion} from './types.js';

/** A request that has released its slot. */
export interface LimitSample extends LatencySample {
  /** Number of running requests when it finished, including itself. */
  readonly running: number;
}

/** Adapts the concurrency limit of a gate to the capacity of its upstream. */
export interface ConcurrencyLimiter {
  readLimit(): number;
  observe(sample: LimitSample): void;
}

/** Creates the limiter of a gate from the slots that its upstream announced. */
export type LimiterFactory = (announcedSlots: number) => ConcurrencyLimiter;

/** Highest limit, as a multiple of the announced slots. */
const MAX_LIMIT_FACTOR = 4;
/** Lowest limit, as a share of the announced slots; never below 1. */
const MIN_LIMIT_SHARE = 0.1;
/** The limit counts as saturated when this share of it is in use. */
const SATURATION_SHARE = 0.9;
/** Factor applied to the limit after a refusal by the upstream. */
const DECREASE_FACTOR = 0.9;

/** Keeps the limit at the announced slots. */
export class FixedLimiter implements ConcurrencyLimiter {
  constructor(private readonly slots: number) {}

  readLimit(): number {
    return this.slots;
  }

  observe(): void {}
}

/**
 * Additive increase while saturated, multiplicative decrease on refusals by the
 * upstream and on timeouts.
 */
export class AimdLimiter implements ConcurrencyLimiter {
  private limit: number;
  private lastDecreaseMs = -Infinity;

  constructor(private readonly slots: number) {
    this.limit = slots;
  }

  readLimit(): number {
    return Math.floor(this.limit);
  }

  observe(sample: LimitSample): void {
    if (sample.completion === Completion.SUCCEEDED) {
      if (isSaturated(sample, this.limit)) {
        this.limit = clampLimit(this.limit + 1 / this.limit, this.slots);
      }
      return;
    }
    const isOverload =
      sample.completion === Completion.SHED_BY_UPSTREAM ||
      sample.completion === Completion.TIMED_OUT;
    if (!isOverload || sample.startedMs < this.lastDecreaseMs) return;
    this.limit = clampLimit(this.limit * DECREASE_FACTOR, this.slots);
    this.lastDecreaseMs = sample.finishedMs;
  }
}

/** Ratio of latency to its long-term mean above which the limit falls. */
const GRADIENT_TOLERANCE = 1.5;
/** Weight of the new limit in the moving average. */
const GRADIENT_LIMIT_WEIGHT = 0.2;
/** Weight of a window in the long-term mean latency. */
const LONG_TERM_WEIGHT = 0.05;

/** Adjusts the limit by the ratio of the long-term latency to the latest. */
export class GradientLimiter implements ConcurrencyLimiter {
  private limit: number;
  private readonly longTermMeansMs = new Map<string, number>();
  private window: LatencyWindow | undefined;

  constructor(private readonly slots: number) {
    this.limit = slots;
  }

  readLimit(): number {
    return Math.floor(this.limit);
  }

  observe(sample: LimitSample): void {
    this.window ??= createWindow(sample.finishedMs);
    addSample(this.window, sample, isSaturated(sample, this.limit));
    if (!isComplete(this.window, sample.finishedMs)) return;
    const {selfTimeRatio} = compareLatency(this.window, this.longTermMeansMs);
    const isMostlySaturated =
      this.window.saturatedCount > this.window.count / 2;
    updateMeans(
      this.longTermMeansMs,
      computeMeans(this.window),
      LONG_TERM_WEIGHT,
    );
    this.window = createWindow(sample.finishedMs);
    if (!isMostlySaturated) return;
    const ratio = GRADIENT_TOLERANCE / selfTimeRatio;
    const gradient = Math.min(1, Math.max(0.5, ratio));
    const target = this.limit * gradient + Math.sqrt(this.limit);
    this.limit = clampLimit(
      this.limit + GRADIENT_LIMIT_WEIGHT * (target - this.limit),
      this.slots,
    );
  }
}

/** Ratio of self time to the baseline above which a trial is needed. */
const TRIAL_TOLERANCE = 1.4;
/** A trial lowers the limit to no less than this share of it. */
const MIN_TRIAL_FACTOR = 0.7;
/** The lower limit stays if less than this share of the excess remains. */
const MAX_REMAINING_EXCESS = 0.5;
/** Factor applied to the limit after a saturated window of normal latency. */
const GROWTH_FACTOR = 1.05;
/** Relative difference from the baseline that is considered noise. */
const NOISE_MARGIN = 0.15;
/** Weight of a window in the baseline when self time has clearly fallen. */
const BASELINE_FALL_WEIGHT = 0.3;
/** Weight of a window in the baseline otherwise. */
const BASELINE_WEIGHT = 0.1;

enum TrialPhase {
  /** No trial is in progress. */
  NONE,
  /** Self time rose; a second window has to confirm it. */
  CONFIRMING,
  /** The trial limit is in force. */
  LOWERED,
}

/**
 * Gradient limiter that tests each decrease. When self time rises while the
 * limit is saturated, it tries a lower limit. If self time then falls, requests
 * were queueing in the upstream, and the lower limit stays. Otherwise the
 * upstream itself is slower and a lower limit would only reduce throughput, so
 * the previous limit is restored and the new self time becomes the baseline.
 */
export class TrialLimiter implements ConcurrencyLimiter {
  private limit: number;
  private limitBeforeTrial: number;
  private phase = TrialPhase.NONE;
  private readonly baselineMs = new Map<string, number>();
  private ratioBeforeTrial = 1;
  private window: LatencyWindow | undefined;
  private lastDecreaseMs = -Infinity;

  constructor(private readonly slots: number) {
    this.limit = slots;
    this.limitBeforeTrial = slots;
  }

  readLimit(): number {
    return Math.floor(this.limit);
  }

  observe(sample: LimitSample): void {
    if (sample.completion === Completion.SHED_BY_UPSTREAM) {
      this.applyRefusal(sample);
      return;
    }
    this.window ??= createWindow(sample.finishedMs);
    // Requests that started before the trial did not run under its limit.
    const isFromBeforeTrial = sample.startedMs < this.window.openedMs;
    if (this.phase === TrialPhase.LOWERED && isFromBeforeTrial) return;
    addSample(this.window, sample, isSaturated(sample, this.limit));
    if (!isComplete(this.window, sample.finishedMs)) return;
    const window = this.window;
    this.window = createWindow(sample.finishedMs);
    if (this.phase === TrialPhase.LOWERED) this.finishTrial(window);
    else this.applyWindow(window);
  }

  /**
   * Lowers the limit at once, but ignores refusals of requests that started
   * before the last decrease, so that one round trip lowers it only once.
   */
  private applyRefusal(sample: LimitSample): void {
    if (sample.startedMs < this.lastDecreaseMs) return;
    this.lastDecreaseMs = sample.finishedMs;
    this.phase = TrialPhase.NONE;
    this.setLimit(Math.min(this.limit, sample.running) * DECREASE_FACTOR);
  }

  private applyWindow(window: LatencyWindow): void {
    const isMostlySaturated = window.saturatedCount > window.count / 2;
    const {selfTimeRatio, excessShare} = compareLatency(
      window,
      this.baselineMs,
    );
    this.updateBaseline(window, selfTimeRatio, isMostlySaturated);
    if (!isMostlySaturated) {
      this.phase = TrialPhase.NONE;
    } else if (selfTimeRatio <= TRIAL_TOLERANCE) {
      this.phase = TrialPhase.NONE;
      this.setLimit(Math.max(this.limit + 1, this.limit * GROWTH_FACTOR));
    } else if (this.phase === TrialPhase.NONE) {
      this.phase = TrialPhase.CONFIRMING;
    } else {
      this.startTrial(selfTimeRatio, excessShare);
    }
  }

  /**
   * Lowers the limit to the upstream's actual slots, assuming that the excess
   * time is queueing: the share of its time that a request spends in the
   * upstream's queue equals the share of the limit that is queued there.
   */
  private startTrial(selfTimeRatio: number, excessShare: number): void {
    this.phase = TrialPhase.LOWERED;
    this.ratioBeforeTrial = selfTimeRatio;
    this.limitBeforeTrial = this.limit;
    this.setLimit(this.limit * Math.max(MIN_TRIAL_FACTOR, 1 - excessShare));
  }

  private finishTrial(window: LatencyWindow): void {
    this.phase = TrialPhase.NONE;
    const {selfTimeRatio} = compareLatency(window, this.baselineMs);
    const isQueueing =
      selfTimeRatio - 1 < MAX_REMAINING_EXCESS * (this.ratioBeforeTrial - 1);
    if (isQueueing) return;
    this.setLimit(this.limitBeforeTrial);
    updateMeans(this.baselineMs, computeMeans(window), 1);
  }

  private updateBaseline(
    window: LatencyWindow,
    selfTimeRatio: number,
    isMostlySaturated: boolean,
  ): void {
    const weight = chooseBaselineWeight(selfTimeRatio, isMostlySaturated);
    updateMeans(this.baselineMs, computeMeans(window), weight);
  }

  private setLimit(limit: number): void {
    this.limit = clampLimit(limit, this.slots);
  }
}

/** Creates the limiter that gates use by default. */
export const createDefaultLimiter: LimiterFactory = (slots) =>
  new TrialLimiter(slots);

/**
 * Within the noise margin, the baseline follows rises and falls with the same
 * weight; if it followed only falls, it would drift down and cause one trial
 * after another. A clear rise while saturated may be queueing, which a trial has
 * to decide, so it leaves the baseline unchanged.
 */
function chooseBaselineWeight(
  selfTimeRatio: number,
  isMostlySaturated: boolean,
): number {
  if (selfTimeRatio < 1 - NOISE_MARGIN) return BASELINE_FALL_WEIGHT;
  return isMostlySaturated && selfTimeRatio > 1 + NOISE_MARGIN
    ? 0
    : BASELINE_WEIGHT;
}

function isSaturated(sample: LimitSample, limit: number): boolean {
  return sample.running >= Math.floor(limit) * SATURATION_SHARE;
}

function clampLimit(limit: number, slots: number): number {
  const lowest = Math.max(1, slots * MIN_LIMIT_SHARE);
  return Math.min(Math.max(limit, lowest), slots * MAX_LIMIT_FACTOR);
}

/** Moves each mean towards its new value and adds the means of new kinds. */
function updateMeans(
  known: Map<string, number>,
  means: ReadonlyMap<string, number>,
  weight: number,
): void {
  for (const [kind, meanMs] of means) {
    const before = known.get(kind);
    known.set(
      kind,
      before === undefined ? meanMs : before + weight * (meanMs - before),
    );
  }
}
