import {Completion} from './types.js';

/** Shortest window of a limiter. */
const WINDOW_MS = 200;
/** Samples of a window, at least; fewer leave more than a tenth of noise. */
const WINDOW_SAMPLES = 100;

/** What a window needs of a finished request. */
export interface LatencySample {
  readonly startedMs: number;
  readonly finishedMs: number;
  /** Time in which the upstream waited for calls of its own. */
  readonly childMs: number;
  readonly kind: string;
  readonly completion: Completion;
}

interface KindLatency {
  count: number;
  sumMs: number;
}

/** Mean own time by kind of request. */
export type MeanTimes = ReadonlyMap<string, number>;

/** Own time of the requests that finished since the window was opened. */
export interface LatencyWindow {
  readonly openedMs: number;
  readonly kinds: Map<string, KindLatency>;
  count: number;
  /** Time that the requests held their slots, calls of their own included. */
  heldMs: number;
  /** Samples taken while the limit was in use. */
  saturated: number;
}

export function createWindow(openedMs: number): LatencyWindow {
  return {openedMs, kinds: new Map(), count: 0, heldMs: 0, saturated: 0};
}

/** Adds a request that ran to its end; others say nothing about latency. */
export function addSample(
  window: LatencyWindow,
  sample: LatencySample,
  isSaturated: boolean,
): void {
  if (sample.completion !== Completion.SUCCEEDED) return;
  const heldMs = sample.finishedMs - sample.startedMs;
  const ownMs = heldMs - sample.childMs;
  window.heldMs += heldMs;
  const known = window.kinds.get(sample.kind) ?? {count: 0, sumMs: 0};
  known.count += 1;
  known.sumMs += Math.max(0, ownMs);
  window.kinds.set(sample.kind, known);
  window.count += 1;
  if (isSaturated) window.saturated += 1;
}

/** Whether the window has run long enough to compare its latency. */
export function isComplete(window: LatencyWindow, nowMs: number): boolean {
  return window.count >= WINDOW_SAMPLES && nowMs - window.openedMs >= WINDOW_MS;
}

/** Mean own time of each kind in the window. */
export function computeMeans(window: LatencyWindow): Map<string, number> {
  return new Map(
    [...window.kinds].map(([kind, {count, sumMs}]) => [kind, sumMs / count]),
  );
}

/** Own time in a window, compared with earlier means. */
export interface LatencyComparison {
  /** Own time as a multiple of the earlier means. */
  readonly stretch: number;
  /** Own time beyond the earlier means, as a share of the time held. */
  readonly excessShare: number;
}

/**
 * Compares kind by kind, so that a change of the mix does not look like a
 * change of latency.
 */
export function compareLatency(
  window: LatencyWindow,
  means: MeanTimes,
): LatencyComparison {
  let ownMs = 0;
  let expectedMs = 0;
  for (const [kind, latency] of window.kinds) {
    const meanMs = means.get(kind);
    if (meanMs === undefined) continue;
    ownMs += latency.sumMs;
    expectedMs += latency.count * meanMs;
  }
  if (expectedMs === 0) return {stretch: 1, excessShare: 0};
  const excessMs = Math.max(0, ownMs - expectedMs);
  return {
    stretch: ownMs / expectedMs,
    excessShare: excessMs / Math.max(window.heldMs, 1),
  };
}
