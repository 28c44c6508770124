import type {
  TableRow,
  TableTransaction,
  TransactionResult,
} from 'sycamoreyoke/platform';

interface StoredRow extends TableRow {
  readonly expiresAtMs: number;
}

/** In-memory rows of the table stand-in, with conditional transactions. */
export class TableState {
  private readonly rows = new Map<string, StoredRow>();
  private nextVersion = 1;

  constructor(private readonly readMs: () => number) {}

  /** Returns undefined when the row does not exist or has expired. */
  read(key: string): TableRow | undefined {
    const row = this.rows.get(key);
    if (!row || row.expiresAtMs <= this.readMs()) return undefined;
    return {key, value: row.value, version: row.version};
  }

  /** Lists up to `limit` rows in key order, with keys above `after`. */
  list(prefix: string, after: string, limit: number): TableRow[] {
    return [...this.rows.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort()
      .map((key) => this.read(key))
      .filter((row) => row !== undefined)
      .slice(0, limit);
  }

  /**
   * Applies all writes, or none when a checked version differs. Version 0
   * stands for a row that does not exist.
   */
  run(transaction: TableTransaction): TransactionResult {
    const conflicts = transaction.checks
      .map(
        ({key, version}) =>
          [this.read(key) ?? {key, value: '', version: 0}, version] as const,
      )
      .filter(([row, version]) => row.version !== version)
      .map(([row]) => row);
    if (conflicts.length > 0) return {committed: false, conflicts};
    for (const {key, value, retentionMs} of transaction.writes) {
      if (value === undefined) {
        this.rows.delete(key);
        continue;
      }
      const version = this.nextVersion++;
      const expiresAtMs = this.readMs() + (retentionMs ?? Infinity);
      this.rows.set(key, {key, value, version, expiresAtMs});
    }
    return {committed: true, conflicts: []};
  }
}
