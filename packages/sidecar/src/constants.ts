/** Timeouts and limits of the sidecar; the name of a time ends in its unit. */

/** Longest delay of a timer; a longer one would fire at once. */
export const MAX_DELAY_MS = 2 ** 31 - 1;
/**
 * Connecting on a local network takes milliseconds; the retransmission of a
 * lost packet takes 1 s more.
 */
export const CONNECT_TIMEOUT_MS = 1_200;
/** Interval at which links are checked for silence. */
export const LINK_TICK_MS = 100;
/** A link with pending calls is pinged after this silence. */
export const PING_MS = 400;
/** The same if a call takes longer than its kind usually does at the node. */
export const OVERDUE_PING_MS = 100;
/** A call is overdue after this multiple of its usual time, and no sooner. */
export const OVERDUE_FACTOR = 2;
export const MIN_OVERDUE_MS = 100;
/**
 * If a ping under calls is not answered within this time, another connection is
 * dialled. If the node answers on it first, it replaces the silent one.
 */
export const REPLACE_MS = 150;
/** Shortest interval between two such attempts on a link. */
export const MIN_REPLACE_INTERVAL_MS = 2_000;
/**
 * An idle link is pinged after this silence. In a full mesh of 79 nodes, pings
 * every 500 ms used too much CPU time.
 */
export const IDLE_PING_MS = 2_500;
/**
 * A link whose ping is not answered within this time is dead. The time covers
 * the retransmission of a lost packet.
 */
export const PING_TIMEOUT_MS = 1_000;
/**
 * An accepted link is closed after this silence. The node that dialled it sends
 * pings, so it is gone or partitioned, and dials again if it can.
 */
export const ACCEPTED_SILENCE_MS = 8_000;
/** Interval of the reports that a node sends while it reads a large frame. */
export const PROGRESS_REPORT_MS = 50;
/** First delay before a lost link is dialled again; doubles each time. */
export const REDIAL_MIN_MS = 100;
/** Longest delay before a lost link is dialled again. */
export const REDIAL_MAX_MS = 1_000;
/**
 * A peer that keeps its side of a closing link open is considered gone after
 * this silence. The time covers the retransmission of a lost packet.
 */
export const CLOSING_SILENCE_MS = 1_500;
/**
 * Time for which a closing link refuses calls before it ends, if the peer runs
 * the previous version, which does not understand GOODBYE.
 */
export const CLOSING_REFUSAL_MS = 200;
/** Time at the end of a close that is reserved for sending the last frames. */
export const CLOSING_FLUSH_MS = 100;
/**
 * Time for which the calls of a lost link wait for another connection to the
 * same process, on which their results arrive.
 */
export const RESUME_WAIT_MS = 1_500;
/** The same for idempotent calls, which can be sent to another node. */
export const RESUME_IDEMPOTENT_MS = 400;
/** A gate keeps unacknowledged results for this long, and of this size. */
export const RETAINED_RESULT_MS = 4_000;
export const RETAINED_RESULT_BYTES = 8 * 1024 * 1024;
/** Time for which a node is avoided after it lost its link or had a fault. */
export const AVOID_MS = 1_000;
/**
 * Delay that debounces changes of the node list; a starting node gets a change
 * for each other node.
 */
export const LINK_UPDATE_MS = 20;
/**
 * Links of a node to one service. Ten leave enough capacity when three fail at
 * once; links to all nodes would grow with the square of the fleet.
 */
export const LINK_BOUNDS = {total: 10, local: 6} as const;
/** Largest frame between nodes: the largest body and its headers. */
export const MAX_FRAME_BYTES = 80 * 1024 * 1024;

/** Idle time after which a connection to the upstream is not reused. */
export const UPSTREAM_IDLE_MS = 4_000;
/**
 * The same for non-idempotent requests, whose outcome is unknown if the
 * upstream has silently dropped the connection.
 */
export const UPSTREAM_NON_IDEMPOTENT_IDLE_MS = 250;
/**
 * Time after a refusal or an unexpected response in which non-idempotent
 * requests use new connections. A faulty upstream may send a response twice,
 * and only on a new connection a response cannot belong to an earlier request.
 */
export const UPSTREAM_AMBIGUITY_MS = 60_000;
/**
 * Time to wait for the response of a request after a refusal that may belong to
 * an earlier one; most responses take less.
 */
export const AMBIGUOUS_REFUSAL_MS = 1_000;
/**
 * Time to wait on a new connection behind a refusal without an id. It is the
 * last thing that an upstream sends for a request, so a response that follows
 * shows that the refusal was not meant.
 */
export const UNNAMED_REFUSAL_MS = 40;
/**
 * Share of the announced keep-alive timeout in which connections are reused.
 */
export const KEEP_ALIVE_SHARE = 0.6;
/**
 * Limit of what an upstream may send for one request besides the body: heads,
 * interim responses, framing and trailers.
 */
export const MAX_OTHER_RESPONSE_BYTES = 128 * 1024;
/**
 * Timeout for connecting to the upstream on the same VM; a VM that hangs never
 * answers.
 */
export const UPSTREAM_CONNECT_TIMEOUT_MS = 600;
/** Timeout of a status check, which the upstream answers without work. */
export const STATUS_CHECK_TIMEOUT_MS = 1_000;
/** Time for which an upstream counts as down after a refused connection. */
export const UPSTREAM_DOWN_MS = 300;

/** Shortest interval between connections opened to detect a crash. */
export const PROBE_INTERVAL_MS = 100;

/**
 * Share of the announced slots used at once. An upstream slows down as its last
 * slots fill, and new connections take slots too.
 */
export const SLOT_SHARE = 0.95;
/** Limit of the requests that wait at a gate. */
export const GATE_QUEUE_LIMIT = 400;
/** Interval at which waiting requests are checked for expired deadlines. */
export const GATE_TICK_MS = 20;
/** Slots assumed until the upstream's first heartbeat. */
export const DEFAULT_SLOTS = 1;
/** Crash suspects that a node sends to another one in a message. */
export const MAX_SENT_SUSPECTS = 4_096;
/** Share of the drain time in which queued requests may still start. */
export const DRAIN_START_SHARE = 0.6;

/**
 * Delay after the deadline of a request until the node answers it, so that the
 * gate's answer, which is more specific, can arrive first.
 */
export const ANSWER_MARGIN_MS = 60;
/** Timeout of requests that have none of their own. */
export const DEFAULT_TIMEOUT_MS = 10_000;
/** Retry delay advised to clients when no upstream is reachable. */
export const NO_MEMBER_RETRY_MS = 400;

/** A peer's newer version is fetched from it if the store is this late. */
export const PEER_VERSION_WAIT_MS = 400;
/** Delay after a failed call to the store; doubles up to the maximum. */
export const STORE_RETRY_MIN_MS = 100;
export const STORE_RETRY_MAX_MS = 1_000;

/**
 * A store that has lost its history may return lists that are some seconds old,
 * so it is listed repeatedly for this long.
 */
export const RELIST_PERIOD_MS = 5_000;
export const RELIST_INTERVAL_MS = 1_000;
/** A call to the store younger than this is not aborted by a reset. */
export const MIN_RESET_AGE_MS = 500;
/**
 * Time for which a node keeps a record that a restored store lacks. Its owner
 * writes it within a second, and nodes that read many changes pause up to 15 s.
 */
export const RESTORE_SETTLE_MS = 30_000;
/**
 * Removed rows that a node remembers, since a restored store may still have
 * them. Leavings and crash marks are few.
 */
export const MAX_REMOVED_ROWS = 256;
/**
 * Links over which a node announces a new version at once. The cost of using
 * all links would grow with the deployment; the nodes that hear of it inform
 * others.
 */
export const ANNOUNCED_LINKS = 8;
/** Shortest interval between pings of all links. */
export const MIN_PROBE_ALL_INTERVAL_MS = 1_000;

/**
 * A request that may have waited longer than this to be read is started only
 * after the next read, which shows whether it was cancelled meanwhile.
 */
export const LATE_READ_MS = 20;

/** Requests of one client connection that are processed concurrently. */
export const MAX_PIPELINED_REQUESTS = 64;
/** Limit of the answers of one connection that wait for an earlier answer. */
export const MAX_WAITING_BYTES = 16 * 1024 * 1024;
/** Time for a client to close its side of a connection that was ended. */
export const CLIENT_LINGER_MS = 500;
/**
 * Retry delay advised to clients of a stopping node, about its restart time.
 */
export const STOP_RETRY_MS = 1_000;

/**
 * Silence after which the row of a node is removed; longer than a restart or
 * the partitions that occur daily.
 */
export const ROW_REMOVAL_MS = 60_000;
/** Interval at which rows are checked for removal. */
export const ROW_CHECK_INTERVAL_MS = 10_000;
/**
 * Mean length of a long poll of the node list. It can be long: nodes learn of
 * each other over links, and the poll of the configuration detects dead
 * connections.
 */
export const NODES_WATCH_MEAN_MS = 12_000;
/**
 * Number of nodes assumed until the list was read, so that a node that starts
 * while the store is unreachable takes a small part of the retry budget's
 * slack.
 */
export const ASSUMED_NODES = 64;
