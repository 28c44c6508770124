import type {Clock} from 'sycamoreyoke/clock';

/** The clock of the machine. */
export const systemClock: Clock = {
  readMs: () => performance.now(),
  readDate: () => new Date(),
};
