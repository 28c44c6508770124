/** Time after its start until a member gets its full share of the load. */
export const COLD_START_MS = 10_000;
/** Maximum number of requests queued at a gate. */
export const DEFAULT_QUEUE_LIMIT = 500;
/** Interval at which the elected reader reads the configuration's head. */
export const HEAD_READ_INTERVAL_MS = 3_000;
/** Delay before a starting node reads the head again. */
export const STARTING_RETRY_MS = 1_000;
/** Failed reads after which a starting node assumes that the table is down. */
export const STARTING_FAILED_READS = 3;
/**
 * Peers that must confirm the configuration of a starting node while the table
 * is down.
 */
export const STARTING_PEER_RESPONSES = 2;
/** Timeout of a pull from a peer. */
export const PULL_TIMEOUT_MS = 500;
/** Delay between reads of the table, plus a random delay of up to as much. */
export const TABLE_READ_RETRY_MS = 500;
/** Peers to which an adopted version is announced; 4 reach 98% of members. */
export const CONFIGURATION_ANNOUNCE_FANOUT = 4;
/** Maximum number of versions kept for peers that are behind. */
export const DELTA_HISTORY_VERSIONS = 200;
/** Maximum number of edits kept for peers that are behind; about 1 MB. */
export const DELTA_HISTORY_EDITS = 4_000;
/** Interval at which each node probes one member of its service. */
export const PROBE_INTERVAL_MS = 1_000;
/**
 * Timeout of a probe. With 500 ms, most simulated runs still called a member
 * 3 s after its death.
 */
export const PROBE_TIMEOUT_MS = 300;
/** Number of members asked to probe an unresponsive one indirectly. */
export const INDIRECT_PROBE_COUNT = 3;
/** Time within which a suspected member can refute the suspicion. */
export const SUSPICION_MS = 1_000;
/** Time between two ticks above which the process counts as paused. */
export const MIN_PAUSE_MS = 1_000;
/** Time without a response after which a resumed node counts as isolated. */
export const ISOLATION_TIMEOUT_MS = 2_000;
/**
 * DEAD and LEAVING records are kept for this long, so that outdated updates
 * cannot revive them and that members are found again after a partition.
 */
export const DEPARTED_RETENTION_MS = 600_000;
/** Interval at which a DEAD member is probed again. */
export const DEAD_PROBE_INTERVAL_MS = 2_000;
/** Interval of probes to DEAD members once one of them has answered. */
export const HEAL_PROBE_INTERVAL_MS = 100;
/** Time for which HEAL_PROBE_INTERVAL_MS applies. */
export const HEAL_PROBE_PERIOD_MS = 10_000;
/** Maximum size of the updates in one message. */
export const MAX_UPDATE_BYTES = 1_024;
/**
 * Interval at which urgent updates are announced directly. By probes alone the
 * number of informed members triples each second, so that reaching 3,000
 * members takes 7 s or more.
 */
export const UPDATE_ANNOUNCE_INTERVAL_MS = 200;
/** Members to which each announcement of updates is sent. */
export const UPDATE_ANNOUNCE_FANOUT = 3;
/** Number of sends up to which an urgent update is announced directly. */
export const URGENT_SEND_LIMIT = 6;
/** Minimum interval between lists requested because of a hash mismatch. */
export const LIST_INTERVAL_MS = 3_000;
/** Lists without a matching hash until all differing members are sent. */
export const LISTS_BEFORE_FULL_EXCHANGE = 6;
/** Responses with a different hash until a list is requested. */
export const MISMATCHES_BEFORE_LIST = 3;
/** Changes that a polled member can replay; older callers get all members. */
export const CHANGE_LOG_LENGTH = 4_096;
/** Number of buckets of the member table that are compared by hash. */
export const HASH_BUCKETS = 64;
/** Interval at which a caller polls a member. */
export const POLL_INTERVAL_MS = 1_000;
/** Delay of the next poll if unreachable members are to be reported. */
export const REPORT_INTERVAL_MS = 200;
/**
 * Maximum number of unreachable members reported in one poll. It bounds the
 * probes that a caller causes.
 */
export const MAX_REPORTS_PER_POLL = 4;
/** Time after the last call to a service for which it is still polled. */
export const POLL_AFTER_CALL_MS = 60_000;
/** Time without a response after which a view is stale. */
export const VIEW_STALE_MS = 3_000;
/** Time for which a member is excluded after one missing response. */
export const FIRST_FAILURE_EXCLUSION_MS = 3_000;
/**
 * Time for which a member is excluded after a refused connection or a second
 * consecutive failure.
 */
export const REPEATED_FAILURE_EXCLUSION_MS = 8_000;
/** Time within which a leaving member stops receiving new requests. */
export const LEAVE_PROPAGATION_MS = 3_000;
/** Number of seed rows per service in the table. */
export const SEED_SLOTS = 4;
export const SEED_REFRESH_MS = 120_000;
export const SEED_RETENTION_MS = 360_000;
export const SEED_RETRY_MS = 10_000;
export const MIRROR_REFRESH_MS = 300_000;
/** Interval at which a node without a live peer looks for contacts. */
export const CONTACT_RETRY_MS = 10_000;
