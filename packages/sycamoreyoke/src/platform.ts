/** The platform's services as the library sees them. */

/** A row of the table service. */
export interface TableRow {
  readonly key: string;
  readonly value: string;
  /** Raised by the table at each write of the row; 0 stands for "absent". */
  readonly version: number;
}

/** Condition of a transaction: the row has this version (0: is absent). */
export interface TableCheck {
  readonly key: string;
  readonly version: number;
}

/** A write of a transaction; without a value the row is deleted. */
export interface TableWrite {
  readonly key: string;
  readonly value?: string;
  /** The table may purge the row after this many milliseconds. */
  readonly retentionMs?: number;
}

/** All checks hold and all writes are made, or nothing is written. */
export interface TableTransaction {
  readonly checks: readonly TableCheck[];
  readonly writes: readonly TableWrite[];
}

/** Rows whose check failed, as they stand; an absent row has version 0. */
export interface TransactionResult {
  readonly committed: boolean;
  readonly conflicts: readonly TableRow[];
}

/**
 * The transactional table service. A call that rejects with
 * PlatformUnavailableError may or may not have taken effect.
 */
export interface TableService {
  read(key: string): Promise<TableRow | undefined>;
  /** Rows with the prefix, keys above `after`, in key order. */
  list(prefix: string, after: string, limit: number): Promise<TableRow[]>;
  run(transaction: TableTransaction): Promise<TransactionResult>;
}

/** The object store. */
export interface ObjectStore {
  read(name: string): Promise<Uint8Array | undefined>;
  write(name: string, content: Uint8Array): Promise<void>;
  list(prefix: string): Promise<string[]>;
}
