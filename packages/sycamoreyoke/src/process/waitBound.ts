/** Maximum time for which a request below CRITICAL waits at a gate. */
export interface WaitBound {
  /** Must be called whenever the length of the queue changes. */
  observe(waiting: number, nowMs: number): void;
  /** Returns the bound at the given time, ms. */
  readMs(nowMs: number): number;
}

/** Creates the wait bound of a gate. */
export type WaitBoundFactory = () => WaitBound;

/** Creates bounds that are always boundMs. */
export function createFixedBound(boundMs: number): WaitBoundFactory {
  return () => ({observe: () => undefined, readMs: () => boundMs});
}

/** Bound while the queue was empty within this time. */
const CODEL_INTERVAL_MS = 100;
/** Bound while the queue has stayed non-empty for longer. */
const CODEL_TARGET_MS = 20;

/**
 * Creates a bound that follows controlled delay (CoDel): it is lowered while the
 * queue stays non-empty.
 */
export const createCodelBound: WaitBoundFactory = () => {
  let lastEmptyMs = -Infinity;
  return {
    observe: (waiting, nowMs) => {
      if (waiting === 0) lastEmptyMs = nowMs;
    },
    readMs: (nowMs) =>
      nowMs - lastEmptyMs > CODEL_INTERVAL_MS
        ? CODEL_TARGET_MS
        : CODEL_INTERVAL_MS,
  };
};
