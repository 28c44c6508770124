/** Times and sizes of the allotments; the name of a time ends in its unit. */

/** Nodes that may own accounts. */
export const OWNER_COUNT = 8;
/** Longest and shortest validity of a lent token. */
export const TOKEN_LIFETIME_MS = 500;
export const MIN_TOKEN_LIFETIME_MS = 100;
/**
 * A bucket holds at least the gain of this time. An origin asks no more often
 * than ASK_INTERVAL_MS and would otherwise not reach a rate whose burst is
 * smaller than what is gained between two asks.
 */
export const MIN_CAPACITY_MS = 50;
/** Shortest interval between two messages of an origin to an owner. */
export const ASK_INTERVAL_MS = 20;
/** An origin asks if its tokens do not last for this time. */
export const LOW_TOKENS_MS = 100;
/** Longest wait of a request for the answer to its ask. */
export const MAX_WAIT_MS = 150;
/** Unused tokens are returned this long before they expire. */
export const RETURN_MARGIN_MS = 60;
/** An ask without an answer after this time is lost. */
export const ASK_TIMEOUT_MS = 300;
/**
 * An owner that does not lend is not asked again for this time. It must be less
 * than MAX_WAIT_MS, so that waiting requests outlast a takeover.
 */
export const OWNER_PAUSE_MS = 50;
/** Reachable owners of an account that an origin asks, the first of the order. */
export const MAX_ASKED_OWNERS = 3;
/** Time constant of the moving average of an account's demand. */
export const DEMAND_MS = 500;
/** Interval at which the nodes of the owner set contact each other. */
export const CONTACT_INTERVAL_MS = 250;
/**
 * A node of the owner set counts as absent after this silence. It must exceed
 * CONTACT_LEASE_MS, so that an owner stops to lend before it is replaced.
 */
export const TAKEOVER_MS = 1_000;
/**
 * A node whose process was found gone counts as gone for this time; a dead
 * address is dialled again more often. It may have been started since, on the
 * other side of a partition.
 */
export const GONE_MS = 1_200;
/**
 * A started node counts the others as heard for this time. It must exceed
 * GONE_MS: its earlier process may have answered an owner, and an owner for which
 * it is gone does not know its answers.
 */
export const START_GRACE_MS = 1_500;
/** Validity of an answer of a node of the owner set, from its ask on. */
export const CONTACT_LEASE_MS = 700;
/**
 * The same while a node is absent, so that a substitute soon learns that the
 * owner is back.
 */
export const ABSENCE_CONTACT_MS = 50;
/**
 * Time for which a substitute lends after the owner is back, which lends after
 * CONTACT_LEASE_MS. The difference covers ABSENCE_CONTACT_MS and the way, and is
 * less than MAX_WAIT_MS, so that requests outlast it.
 */
export const HANDBACK_MS = 550;
/** Retry delay advised while no owner lends: the time of a takeover. */
export const NO_OWNER_RETRY_MS = 1_000;
