/** A member gets full load this long after its start. */
export const COLD_START_MS = 10_000;
/** Requests that wait at a gate, at most. */
export const DEFAULT_QUEUE_LIMIT = 500;
/** The reader of a service reads the configuration's head this often. */
export const HEAD_READ_INTERVAL_MS = 3_000;
/** A starting node tries the head again after this long. */
export const STARTING_RETRY_MS = 1_000;
/** A starting node takes the table to be down after this many failed reads. */
export const STARTING_FAILED_READS = 3;
/** Peers that must confirm a new node's configuration while the table is down. */
export const STARTING_PEER_RESPONSES = 2;
/** A peer that did not answer a pull within this time is passed over. */
export const PULL_TIMEOUT_MS = 500;
/** Wait between reads of the table for missing changes, plus up to as much. */
export const TABLE_READ_RETRY_MS = 500;
/** Peers told at once of an adopted version; 4 reach 98 in 100 members. */
export const ANNOUNCE_FAN_OUT = 4;
/** Versions kept for peers that are behind. */
export const DELTA_HISTORY_VERSIONS = 200;
/** Edits kept for peers that are behind; about 1 MB. */
export const DELTA_HISTORY_EDITS = 4_000;
