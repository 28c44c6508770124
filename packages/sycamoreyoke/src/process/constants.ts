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
/** Each node probes one member of its service at this interval. */
export const PROBE_INTERVAL_MS = 1_000;
/** Wait for the response to a probe; with 500 ms a silent member was still
 * called 3 s after its death in most random runs. */
export const PROBE_TIMEOUT_MS = 300;
/** Members asked to probe a silent one. */
export const INDIRECT_PROBES = 3;
/** Time that a suspected member has to refute. */
export const SUSPICION_MS = 1_000;
/** A gap between two ticks that counts as a pause of the process. */
export const PAUSE_GAP_MS = 1_000;
/** Without an answer for this long a woken process takes itself as isolated. */
export const STALE_LIMIT_MS = 2_000;
/** DEAD and LEAVING records are kept this long, so that old news cannot revive
 * them and members beyond a network cut are found again. */
export const GONE_RETENTION_MS = 600_000;
/** A DEAD record is probed again at this interval. */
export const DEAD_PROBE_INTERVAL_MS = 2_000;
/** After a DEAD member answered, others are probed at this interval... */
export const HEAL_PROBE_INTERVAL_MS = 100;
/** ...for this long. */
export const HEAL_MS = 10_000;
/** Updates in one message. */
export const MAX_UPDATE_BYTES = 1_024;
/** Urgent updates are announced directly at this interval; by probes alone,
 * news triples each second and needs 7 s and more for 3,000 members. */
export const ANNOUNCE_INTERVAL_MS = 200;
/** Members told at each announcement. */
export const ANNOUNCE_FANOUT = 3;
/** An urgent update is announced until it has been sent this often. */
export const URGENT_SENDS = 6;
/** Two lists asked for because of a differing hash are this far apart. */
export const LIST_INTERVAL_MS = 3_000;
/** Lists without an equal hash after which all differing members are sent. */
export const LISTS_BEFORE_ALL = 6;
/** Responses with another hash before a list is asked for. */
export const MISMATCHES_BEFORE_LIST = 3;
/** Changes that an informant can replay; older askers get all members. */
export const CHANGE_LOG_LENGTH = 4_096;
/** Parts of the table that are compared by hash. */
export const HASH_BUCKETS = 64;
/** Caller's poll of an informant. */
export const POLL_INTERVAL_MS = 1_000;
/** A caller that has unreachable members to report polls this early. */
export const REPORT_INTERVAL_MS = 200;
/** Unreachable members in one poll; bounds the probes that a caller causes. */
export const MAX_REPORTS = 4;
/** A service is polled this long after the last call to it. */
export const POLL_AFTER_CALL_MS = 60_000;
/** A view without a response for this long is stale. */
export const VIEW_STALE_MS = 3_000;
/** Exclusion after one missed answer of a member. */
export const FIRST_EVIDENCE_MS = 3_000;
/** Exclusion after a refused connection or a second failure in a row. */
export const EVIDENCE_MS = 8_000;
/** Time within which a leaving member stops getting new work. */
export const LEAVE_KNOWN_MS = 3_000;
/** Rows of a service in the table. */
export const SEED_SLOTS = 4;
export const SEED_REFRESH_MS = 120_000;
export const SEED_RETENTION_MS = 360_000;
export const SEED_RETRY_MS = 10_000;
export const MIRROR_REFRESH_MS = 300_000;
/** A node that knows no live peer looks for contacts at this interval. */
export const CONTACT_RETRY_MS = 10_000;
