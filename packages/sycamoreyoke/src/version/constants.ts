/** Maximum number of objects in a deployment. */
export const MAX_OBJECTS = 10_000;
/** Maximum classes of one caller, so that it fits in one row of the table. */
export const MAX_CALLER_CLASSES = 256;
/** A change contains an object twice and must fit in one row of 64 KB. */
export const MAX_OBJECT_BYTES = 24 * 1_024;
/**
 * Bytes of change entries in one row; leaves room for the row's other fields.
 */
export const MAX_CHANGE_ROW_BYTES = 60 * 1_024;
/** Maximum size of all rows that one publish writes. */
export const MAX_TRANSACTION_BYTES = 3_500_000;

export const HEAD_KEY = 'configuration/head';
export const OBJECT_PREFIX = 'configuration/objects/';
export const CHANGE_PREFIX = 'configuration/changes/';
export const SNAPSHOT_PREFIX = 'configuration/snapshot-';

/** Retention of change rows and of the rows of removed objects. */
export const HISTORY_RETENTION_MS = 7 * 24 * 3_600_000;
/** Number of versions between two regular snapshots. */
export const SNAPSHOT_INTERVAL_VERSIONS = 100;
/** Number of names that snapshots rotate through, to bound their storage. */
export const SNAPSHOT_SLOTS = 2;
/** Maximum attempts of one publish, including the first. */
export const MAX_PUBLISH_ATTEMPTS = 16;
/** Upper bound of the delay before a publish attempt, times its number. */
export const PUBLISH_BACKOFF_MS = 50;
/** Rows per range read of the table. */
export const OBJECT_PAGE_ROWS = 1_000;
export const CHANGE_PAGE_ROWS = 100;
