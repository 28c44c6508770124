/** Times and rates of the demo. */

export const DURATION_MS = 30_000;
/** The trigger is a load surge together with a slow photos service. */
export const TRIGGER_START_MS = 4_000;
export const TRIGGER_MS = 10_000;
export const TRIGGER_END_MS = TRIGGER_START_MS + TRIGGER_MS;
export const SURGE_FACTOR = 4;
export const KILL_AT_MS = 20_000;
export const DRAIN_AT_MS = 24_000;

/** Service time of photos during the trigger. */
export const SLOW_PHOTOS_MS = 100;

/** Limit for a graceful stop; exceeds the longest timeout of a class. */
export const STOP_TIMEOUT_MS = 8_000;

/** Immediate resends of a failed request by the plain HTTP caller. */
export const PLAIN_RESENDS = 4;

/** Short enough to read a node's ring of 10,000 events before it wraps. */
export const COLLECT_INTERVAL_MS = 3_000;

export const RESULT_FOLDER = 'results/demo';
