/** A call connection is not reused after this idle time. */
export const MAX_IDLE_MS = 5_000;
/** The same for requests that must not be written twice. */
export const MAX_IDLE_UNREPEATABLE_MS = 1_000;
/** Response timeout as a multiple of the observed p99. */
export const RESPONSE_TIMEOUT_FACTOR = 3;
export const MIN_RESPONSE_TIMEOUT_MS = 50;
export const MAX_RESPONSE_TIMEOUT_MS = 2_000;
/** Below this many samples the longest response timeout is used. */
export const MIN_LATENCY_SAMPLES = 20;
/** A latency sample is forgotten after one to two of these. */
export const LATENCY_GENERATION_MS = 10_000;
/** Interval of heartbeats on control connections. */
export const HEARTBEAT_MS = 1_000;
/** Missed heartbeats before the replacement is opened. */
export const MAX_MISSED_HEARTBEATS = 2;
