import type {LatencySample, LatencyWindow} from './latencyWindow.js';
import {
  addSample,
  compareLatency,
  computeMeans,
  createWindow,
  isComplete,
} from './latencyWindow.js';
import {Completion} from './types.js';

/** What a limiter learns from a request that left its slot. */
export interface LimitSample extends LatencySample {
  /** Requests running when it finished, itself included. */
  readonly running: number;
}

/** Learns how many requests the upstream can run at once. */
export interface ConcurrencyLimiter {
  readLimit(): number;
  observe(sample: LimitSample): void;
}

/** Creates the limiter of a gate from the announced slots. */
export type LimiterFactory = (announcedSlots: number) => ConcurrencyLimiter;

/** The limit may grow to this multiple of the announced slots. */
const HIGHEST_SHARE = 4;
/** Lowest limit as a share of the announced slots, and at least one. */
const LOWEST_SHARE = 0.1;
/** A request counts as limited when this share of the limit was in use. */
const SATURATED_SHARE = 0.9;
/** Factor after a refusal by the upstream. */
const REFUSAL_FACTOR = 0.9;

/** Always the announced slots. */
export class FixedLimiter implements ConcurrencyLimiter {
  constructor(private readonly slots: number) {}

  readLimit(): number {
    return this.slots;
  }

  observe(): void {}
}

/** Additive increase, multiplicative decrease on refusals and timeouts. */
export class AimdLimiter implements ConcurrencyLimiter {
  private limit: number;
  private decreasedMs = -Infinity;

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
    if (!isOverload || sample.startedMs < this.decreasedMs) return;
    this.limit = clampLimit(this.limit * REFUSAL_FACTOR, this.slots);
    this.decreasedMs = sample.finishedMs;
  }
}

/** Latency may exceed its average by this factor before the limit falls. */
const GRADIENT_TOLERANCE = 1.5;
/** Weight of the new limit. */
const GRADIENT_SMOOTHING = 0.2;
/** Weight of a window in the long-term latency. */
const LONG_TERM_WEIGHT = 0.05;

/** Limit from the ratio of the long-term latency to the present one. */
export class GradientLimiter implements ConcurrencyLimiter {
  private limit: number;
  private readonly longTerm = new Map<string, number>();
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
    const {stretch} = compareLatency(this.window, this.longTerm);
    const isLimited = this.window.saturated > this.window.count / 2;
    updateMeans(this.longTerm, computeMeans(this.window), LONG_TERM_WEIGHT);
    this.window = createWindow(sample.finishedMs);
    if (!isLimited) return;
    const ratio = GRADIENT_TOLERANCE / stretch;
    const gradient = Math.min(1, Math.max(0.5, ratio));
    const target = this.limit * gradient + Math.sqrt(this.limit);
    this.limit = clampLimit(
      this.limit + GRADIENT_SMOOTHING * (target - this.limit),
      this.slots,
    );
  }
}

/** Own time above the baseline by this factor calls for a trial. */
const TRIAL_TOLERANCE = 1.4;
/** Lowest factor of the limit during a trial. */
const LOWEST_TRIAL_FACTOR = 0.7;
/** A trial passes when less than this share of the excess is left. */
const TRIAL_PASS_SHARE = 0.5;
/** Factor of the limit after a window at the limit with normal latency. */
const GROWTH_FACTOR = 1.05;
/** Own time this close to the baseline differs by chance. */
const NOISE_MARGIN = 0.15;
/** Weight of a window in a baseline that falls, and otherwise. */
const BASELINE_FALL_WEIGHT = 0.3;
const BASELINE_WEIGHT = 0.1;

enum TrialPhase {
  /** Nothing is tried. */
  NONE,
  /** Own time rose; a second window has to confirm it. */
  CONFIRM,
  /** The lower limit is in force. */
  LOWERED,
}

/**
 * Latency gradient whose decreases are trials. When own time rises at the
 * limit, a lower limit is tried. If own time falls with it, requests were
 * queueing in the upstream and the lower limit stays. If it does not, the
 * upstream is slower, fewer slots would only serve less, and the former limit
 * returns with the new own time as the baseline.
 */
export class TrialLimiter implements ConcurrencyLimiter {
  private limit: number;
  private limitBefore: number;
  private phase = TrialPhase.NONE;
  private readonly baseline = new Map<string, number>();
  private stretchBefore = 1;
  private window: LatencyWindow | undefined;
  private decreasedMs = -Infinity;

  constructor(private readonly slots: number) {
    this.limit = slots;
    this.limitBefore = slots;
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
    // Requests from before a trial say nothing about the lower limit.
    const isEarlier = sample.startedMs < this.window.openedMs;
    if (this.phase === TrialPhase.LOWERED && isEarlier) return;
    addSample(this.window, sample, isSaturated(sample, this.limit));
    if (!isComplete(this.window, sample.finishedMs)) return;
    const window = this.window;
    this.window = createWindow(sample.finishedMs);
    if (this.phase === TrialPhase.LOWERED) this.finishTrial(window);
    else this.applyWindow(window);
  }

  /** A refusal bounds the limit at once, but only once per round trip. */
  private applyRefusal(sample: LimitSample): void {
    if (sample.startedMs < this.decreasedMs) return;
    this.decreasedMs = sample.finishedMs;
    this.phase = TrialPhase.NONE;
    this.setLimit(Math.min(this.limit, sample.running) * REFUSAL_FACTOR);
  }

  private applyWindow(window: LatencyWindow): void {
    const isLimited = window.saturated > window.count / 2;
    const {stretch, excessShare} = compareLatency(window, this.baseline);
    this.updateBaseline(window, stretch, isLimited);
    if (!isLimited) {
      this.phase = TrialPhase.NONE;
    } else if (stretch <= TRIAL_TOLERANCE) {
      this.phase = TrialPhase.NONE;
      this.setLimit(Math.max(this.limit + 1, this.limit * GROWTH_FACTOR));
    } else if (this.phase === TrialPhase.NONE) {
      this.phase = TrialPhase.CONFIRM;
    } else {
      this.startTrial(stretch, excessShare);
    }
  }

  /**
   * Lowers the limit to the slots that there are if the excess is queueing: the
   * share of the time held that a request spends in the upstream's queue is the
   * share of the limit that waits there.
   */
  private startTrial(stretch: number, excessShare: number): void {
    this.phase = TrialPhase.LOWERED;
    this.stretchBefore = stretch;
    this.limitBefore = this.limit;
    this.setLimit(this.limit * Math.max(LOWEST_TRIAL_FACTOR, 1 - excessShare));
  }

  private finishTrial(window: LatencyWindow): void {
    this.phase = TrialPhase.NONE;
    const {stretch} = compareLatency(window, this.baseline);
    const isQueueing =
      stretch - 1 < TRIAL_PASS_SHARE * (this.stretchBefore - 1);
    if (isQueueing) return;
    this.setLimit(this.limitBefore);
    updateMeans(this.baseline, computeMeans(window), 1);
  }

  private updateBaseline(
    window: LatencyWindow,
    stretch: number,
    isLimited: boolean,
  ): void {
    const weight = chooseBaselineWeight(stretch, isLimited);
    updateMeans(this.baseline, computeMeans(window), weight);
  }

  private setLimit(limit: number): void {
    this.limit = clampLimit(limit, this.slots);
  }
}

/** The limiter that gates use unless told otherwise. */
export const createDefaultLimiter: LimiterFactory = (slots) =>
  new TrialLimiter(slots);

/**
 * Within the noise the baseline moves both ways alike; if it followed only the
 * falls, it would sink and call for trial after trial. At the limit a clearly
 * longer own time is what the baseline is compared with, and does not move it.
 */
function chooseBaselineWeight(stretch: number, isLimited: boolean): number {
  if (stretch < 1 - NOISE_MARGIN) return BASELINE_FALL_WEIGHT;
  return isLimited && stretch > 1 + NOISE_MARGIN ? 0 : BASELINE_WEIGHT;
}

function isSaturated(sample: LimitSample, limit: number): boolean {
  return sample.running >= Math.floor(limit) * SATURATED_SHARE;
}

function clampLimit(limit: number, slots: number): number {
  const lowest = Math.max(1, slots * LOWEST_SHARE);
  return Math.min(Math.max(limit, lowest), slots * HIGHEST_SHARE);
}

/** Moves known means towards new ones, and takes over means of new kinds. */
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
