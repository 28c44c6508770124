/** Times and rates of the demo. */

export const DURATION_MS = 30_000;
/** Surge and slow photos begin and end together. */
export const TRIGGER_START_MS = 4_000;
export const TRIGGER_MS = 10_000;
export const TRIGGER_END_MS = TRIGGER_START_MS + TRIGGER_MS;
export const SURGE_FACTOR = 4;
export const KILL_AT_MS = 20_000;
export const DRAIN_AT_MS = 24_000;

/** Service time of photos during the trigger. */
export const SLOW_PHOTOS_MS = 100;

/** Longest time of a graceful stop: above the longest timeout of a class. */
export const STOP_TIMEOUT_MS = 8_000;

/** Resends of a caller without the library, each at once. */
export const HARD_RESENDS = 4;

/** A ring holds 10,000 events; it is read before they are overwritten. */
export const COLLECT_INTERVAL_MS = 3_000;

export const RESULT_FOLDER = 'results/demo';
