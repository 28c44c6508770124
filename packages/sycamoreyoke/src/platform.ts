/** Interfaces of the platform's services that the library uses. */

/** A row of the table service. */
export interface TableRow {
  readonly key: string;
  readonly value: string;
  /** Increased by the table on each write; 0 means that the row is absent. */
  readonly version: number;
}

/**
 * Precondition of a transaction: the row has this version. Version 0 means that
 * the row is absent.
 */
export interface TableCheck {
  readonly key: string;
  readonly version: number;
}

/** A write within a transaction. Without a value the row is deleted. */
export interface TableWrite {
  readonly key: string;
  readonly value?: string;
  /** The table may purge the row after this many milliseconds. */
  readonly retentionMs?: number;
}

/**
 * An atomic transaction: if all checks hold, all writes are applied; otherwise
 * nothing is written.
 */
export interface TableTransaction {
  readonly checks: readonly TableCheck[];
  readonly writes: readonly TableWrite[];
}

/** Result of a transaction. */
export interface TransactionResult {
  readonly committed: boolean;
  /**
   * Current state of the rows whose check failed; an absent row has version 0.
   */
  readonly conflicts: readonly TableRow[];
}

/**
 * The platform's transactional table. A call that rejects with
 * PlatformUnavailableError may or may not have taken effect.
 */
export interface TableService {
  read(key: string): Promise<TableRow | undefined>;
  /**
   * Up to `limit` rows, in key order, whose key starts with the prefix and is
   * greater than `after`.
   */
  list(prefix: string, after: string, limit: number): Promise<TableRow[]>;
  run(transaction: TableTransaction): Promise<TransactionResult>;
}

/** The platform's object store. */
export interface ObjectStore {
  read(name: string): Promise<Uint8Array | undefined>;
  write(name: string, content: Uint8Array): Promise<void>;
  list(prefix: string): Promise<string[]>;
}
