/** A member gets full load this long after its start. */
export const COLD_START_MS = 10_000;
/** Requests that wait at a gate, at most. */
export const DEFAULT_QUEUE_LIMIT = 500;
