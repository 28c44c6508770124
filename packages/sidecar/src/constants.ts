/** Timeouts and limits of a sidecar, each with its unit. */

/** Longest time that a timer holds; a longer one would end at once, ms. */
export const MAX_DELAY_MS = 2 ** 31 - 1;
/** Connecting on a local network takes milliseconds; a lost packet costs 1 s. */
export const CONNECT_TIMEOUT_MS = 1_200;
/** Interval at which links are looked at. */
export const LINK_TICK_MS = 250;
/** Silence on a link with calls under way after which it is pinged. */
export const PING_MS = 400;
/** The same for a link without calls: a day of 79 nodes with a link between
 * each two was given up for its processor time with pings every 500 ms. */
export const IDLE_PING_MS = 2_500;
/** A link whose ping is not answered in this time is dead; a lost packet is
 * sent again within it. */
export const PING_TIMEOUT_MS = 1_000;
/** Silence after which an accepted link is closed: its node pings, so it is
 * gone or beyond a partition, and dials again. */
export const ACCEPTED_SILENCE_MS = 8_000;
/** First wait before a lost link is dialled again, doubled each time. */
export const REDIAL_MIN_MS = 100;
/** Longest wait before a lost link is dialled again. */
export const REDIAL_MAX_MS = 1_000;
/** Silence after which a peer that was told of the close of a link, and keeps
 * its side open, is gone; a lost packet is sent again within it. */
export const CLOSING_SILENCE_MS = 1_500;
/** Time for which a link to a node of the earlier version, which knows no
 * GOODBYE, refuses calls before it ends. */
export const CLOSING_REFUSAL_MS = 200;
/** Part of the time of a close that is kept for the last frames. */
export const CLOSING_FLUSH_MS = 100;
/** A node whose link was lost, or that refused for a fault, is avoided. */
export const AVOID_MS = 1_000;
/** Delay after a change of the node list; a start brings one for each node. */
export const LINK_UPDATE_MS = 20;
/**
 * Links of a node to one service. Ten hold enough room when three of them fail
 * together; more would grow with the square of the fleet.
 */
export const LINK_BOUNDS = {total: 10, local: 6} as const;
/** Largest frame between nodes: the largest body and its headers, bytes. */
export const MAX_FRAME_BYTES = 80 * 1024 * 1024;
/** Bytes of unfinished frames of all links; a process has 350 MB. */
export const FRAME_BUFFER_BYTES = 128 * 1024 * 1024;

/** Idle time after which a connection to the upstream is not used again. */
export const UPSTREAM_IDLE_MS = 4_000;
/** The same for requests that must not run twice: on a connection that the
 * upstream has dropped silently they end with an unknown outcome. */
export const UPSTREAM_IDLE_ONCE_MS = 250;
/** Time after a refusal, or a response that nobody expected, in which requests
 * that must not run twice go over new connections: a faulty upstream may write
 * a response once more, and only on a new connection it can't be an old one. */
export const UPSTREAM_DOUBT_MS = 60_000;
/** Time for the response of a request after a refusal that may be an old one;
 * most responses take less. */
export const UNCLEAR_REFUSAL_MS = 1_000;
/** Share of the announced keep-alive time for which a connection is reused. */
export const KEEP_ALIVE_SHARE = 0.6;
/**
 * Bounds of what an upstream may send for one request, bytes. A body is copied
 * on its way to the client, and a process has 350 MB.
 */
export const RESPONSE_LIMITS = {
  maxBodyBytes: 32 * 1024 * 1024,
  maxOtherBytes: 128 * 1024,
} as const;
/** Bytes of unfinished responses of all connections to the upstream. */
export const RESPONSE_BUFFER_BYTES = 64 * 1024 * 1024;
/** Connecting to the upstream on the same VM; a silent VM never answers. */
export const UPSTREAM_CONNECT_TIMEOUT_MS = 600;
/** Time for which an upstream counts as down after it refused a connection. */
export const UPSTREAM_DOWN_MS = 300;

/** Least time between connections that are opened to tell a crash, ms. */
export const PROBE_PAUSE_MS = 100;

/** Share of the announced slots that run at once; an upstream slows down when
 * its last slots fill, and new connections hold slots too. */
export const SLOT_SHARE = 0.95;
/** Requests that wait at a gate, at most. */
export const GATE_QUEUE_LIMIT = 400;
/** Interval at which waiting requests are checked for expiry. */
export const GATE_TICK_MS = 20;
/** Slots assumed until the upstream's first heartbeat. */
export const DEFAULT_SLOTS = 1;
/** Suspects of crashes that a node tells another one at once. */
export const MAX_SPREAD_SUSPECTS = 4_096;
/** Part of the drain bound in which queued requests may still start. */
export const DRAIN_START_SHARE = 0.6;

/** Time for which the node answers after the deadline of a request: the gate's
 * answer, which knows more, should come first. */
export const ANSWER_MARGIN_MS = 60;
/** Time given to requests without a deadline of their own. */
export const DEFAULT_TIMEOUT_MS = 10_000;
/** Advice to clients when no upstream is reachable. */
export const NO_MEMBER_RETRY_MS = 400;

/** A peer's newer version is fetched from it when the store is this late. */
export const PEER_VERSION_WAIT_MS = 400;
/** Wait after a failed call to the store, doubled up to the maximum. */
export const STORE_RETRY_MIN_MS = 100;
export const STORE_RETRY_MAX_MS = 1_000;

/** A store that has lost its history may answer lists that are some seconds
 * behind; it is listed again for this long. */
export const LIST_AGAIN_MS = 5_000;
export const LIST_INTERVAL_MS = 1_000;
/** A call that began this recently is not given up for a doubt, ms. */
export const RESET_PAUSE_MS = 500;
/** Links over which a node tells of a new version at once. More would cost the
 * more the larger the deployment is; the told ones tell others. */
export const ANNOUNCED_LINKS = 8;
/** Least time between doubts about all connections of the node, ms. */
export const DOUBT_PAUSE_MS = 1_000;

/** Requests of one client connection that are passed on at once. */
export const MAX_PIPELINED_REQUESTS = 64;
/** Bytes of answers of one connection that may wait for an earlier answer. */
export const MAX_WAITING_BYTES = 16 * 1024 * 1024;
/** Time in which a client may close its side of a connection that ends. */
export const CLIENT_LINGER_MS = 500;
/** Advice to clients of a node that stops: it is back about then. */
export const STOP_RETRY_MS = 1_000;

/** Silence after which the row of a node is removed: longer than a restart or
 * the partitions that are seen daily. */
export const ROW_REMOVAL_MS = 60_000;
/** Interval at which lost nodes are looked for. */
export const ROW_CHECK_MS = 10_000;
/** Pause before the next wait for changes of the node list, so that changes in
 * quick succession cost one read a node. A new node dials the others, so they
 * know it before its row arrives. */
export const NODES_PAUSE_MS = 3_000;
/** Mean wait for changes of the node list: nodes meet over links, and the wait
 * for the configuration shows silent connections. */
export const NODES_WATCH_MEAN_MS = 12_000;
/** Nodes assumed until the list has been read, so that a node that starts while
 * the store is away takes a small part of the retry budget's slack. */
export const UNLISTED_NODES = 64;
