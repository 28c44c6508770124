/** Objects of a deployment, at most. */
export const MAX_OBJECTS = 10_000;
/** Classes that one caller may send; keeps its row below the row limit. */
export const MAX_CALLER_CLASSES = 256;
/** A change entry holds an object twice and must fit in one row of 64 KB. */
export const MAX_OBJECT_BYTES = 24 * 1_024;
/** Bytes of change entries in one row; leaves room for the row's other fields. */
export const MAX_CHANGE_ROW_BYTES = 60 * 1_024;
/** Bytes of the rows that one publish writes. */
export const MAX_TRANSACTION_BYTES = 3_500_000;

export const HEAD_KEY = 'configuration/head';
export const OBJECT_PREFIX = 'configuration/objects/';
export const CHANGE_PREFIX = 'configuration/changes/';
export const SNAPSHOT_PREFIX = 'configuration/snapshot-';

/** Change rows and marks of removed objects are kept this long. */
export const HISTORY_RETENTION_MS = 7 * 24 * 3_600_000;
/** A snapshot is written at least this often, in versions. */
export const SNAPSHOT_INTERVAL = 100;
/** Snapshots alternate between this many names, so their storage is bounded. */
export const SNAPSHOT_SLOTS = 2;
/** Tries of one publish, first one included. */
export const MAX_PUBLISH_ATTEMPTS = 16;
/** Wait before a retry of a publish: up to this, times the number of tries. */
export const PUBLISH_BACKOFF_MS = 50;
/** Rows of one range read. */
export const OBJECT_PAGE = 1_000;
export const CHANGE_PAGE = 100;
