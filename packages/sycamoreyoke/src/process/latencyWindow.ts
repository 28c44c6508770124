import {Completion} from './types.js';

/** Minimum length of a window. */
const MIN_WINDOW_MS = 200;
/** Minimum samples in a window; with fewer, the mean varies by over 10 %. */
const MIN_WINDOW_SAMPLES = 100;

/** A finished request, as recorded in a window. */
export interface LatencySample {
  readonly startedMs: number;
  readonly finishedMs: number;
  /** Time that the upstream spent waiting for its own outgoing calls. */
  readonly childMs: number;
  readonly kind: string;
  readonly completion: Completion;
}

interface KindLatency {
  count: number;
  sumMs: number;
}

/**
 * Mean self time by kind of request, ms. Self time is the time for which a
 * request held its slot, without the wait for outgoing calls.
 */
export type MeanSelfTimes = ReadonlyMap<string, number>;

/** Self times of the requests that finished since the window opened. */
export interface LatencyWindow {
  readonly openedMs: number;
  readonly kinds: Map<string, KindLatency>;
  count: number;
  /** Total time for which the requests held their slots, calls included. */
  heldMs: number;
  /** Number of samples taken while the limit was nearly used up. */
  saturatedCount: number;
}

export function createWindow(openedMs: number): LatencyWindow {
  return {openedMs, kinds: new Map(), count: 0, heldMs: 0, saturatedCount: 0};
}

/** Adds a request if it succeeded; others are no measure of latency. */
export function addSample(
  window: LatencyWindow,
  sample: LatencySample,
  isSaturated: boolean,
): void {
  if (sample.completion !== Completion.SUCCEEDED) return;
  const heldMs = sample.finishedMs - sample.startedMs;
  const selfMs = heldMs - sample.childMs;
  window.heldMs += heldMs;
  const known = window.kinds.get(sample.kind) ?? {count: 0, sumMs: 0};
  known.count += 1;
  known.sumMs += Math.max(0, selfMs);
  window.kinds.set(sample.kind, known);
  window.count += 1;
  if (isSaturated) window.saturatedCount += 1;
}

/** Returns true when the window is long enough to compare its latency. */
export function isComplete(window: LatencyWindow, nowMs: number): boolean {
  return (
    window.count >= MIN_WINDOW_SAMPLES &&
    nowMs - window.openedMs >= MIN_WINDOW_MS
  );
}

/** Returns the mean self time of each kind in the window, ms. */
export function computeMeans(window: LatencyWindow): Map<string, number> {
  return new Map(
    [...window.kinds].map(([kind, {count, sumMs}]) => [kind, sumMs / count]),
  );
}

/** Self time in a window relative to earlier means. */
export interface LatencyComparison {
  /** Self time divided by the self time that the earlier means predict. */
  readonly selfTimeRatio: number;
  /** Self time above the earlier means, as a share of the time held. */
  readonly excessShare: number;
}

/**
 * Compares the window with earlier means, kind by kind, so that a different mix
 * of kinds is not mistaken for a change of latency.
 */
export function compareLatency(
  window: LatencyWindow,
  means: MeanSelfTimes,
): LatencyComparison {
  let selfMs = 0;
  let expectedMs = 0;
  for (const [kind, latency] of window.kinds) {
    const meanMs = means.get(kind);
    if (meanMs === undefined) continue;
    selfMs += latency.sumMs;
    expectedMs += latency.count * meanMs;
  }
  if (expectedMs === 0) return {selfTimeRatio: 1, excessShare: 0};
  const excessMs = Math.max(0, selfMs - expectedMs);
  return {
    selfTimeRatio: selfMs / expectedMs,
    excessShare: excessMs / Math.max(window.heldMs, 1),
  };
}
