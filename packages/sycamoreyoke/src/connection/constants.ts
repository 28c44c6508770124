/** Maximum idle time after which a call connection is still reused. */
export const MAX_IDLE_MS = 5_000;
/** Maximum idle time for requests that must not be sent twice. */
export const MAX_IDLE_NON_IDEMPOTENT_MS = 1_000;
/** Response timeout as a multiple of the observed p99. */
export const RESPONSE_TIMEOUT_FACTOR = 3;
export const MIN_RESPONSE_TIMEOUT_MS = 50;
export const MAX_RESPONSE_TIMEOUT_MS = 2_000;
/** With fewer samples the maximum response timeout applies. */
export const MIN_LATENCY_SAMPLES = 20;
/** A latency sample is dropped after one to two generations. */
export const LATENCY_GENERATION_MS = 10_000;
/** Interval between heartbeats on a control connection. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
/** Missed heartbeats after which a replacement connection is opened. */
export const MAX_MISSED_HEARTBEATS = 2;
