import type {Clock} from 'sycamoreyoke/clock';

/** Monotonic time in ms since process start, and the wall clock. */
export const systemClock: Clock = {
  readMs: () => performance.now(),
  readDate: () => new Date(),
};
