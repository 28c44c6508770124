/** Bounds how long a request below CRITICAL waits at a gate. */
export interface WaitBound {
  /** Called whenever the queue changes. */
  observe(waiting: number, nowMs: number): void;
  readMs(nowMs: number): number;
}

/** Creates the bound of a gate. */
export type WaitBoundFactory = () => WaitBound;

/** The same bound at all times. */
export function createFixedBound(boundMs: number): WaitBoundFactory {
  return () => ({observe: () => undefined, readMs: () => boundMs});
}

/** Wait allowed while the queue has been empty recently. */
const CODEL_INTERVAL_MS = 100;
/** Wait allowed while it has not. */
const CODEL_TARGET_MS = 20;

/** Controlled delay: a queue that stays non-empty gets a short bound. */
export const createCodelBound: WaitBoundFactory = () => {
  let emptyMs = -Infinity;
  return {
    observe: (waiting, nowMs) => {
      if (waiting === 0) emptyMs = nowMs;
    },
    readMs: (nowMs) =>
      nowMs - emptyMs > CODEL_INTERVAL_MS ? CODEL_TARGET_MS : CODEL_INTERVAL_MS,
  };
};
