/** In-memory table service with faults, and object store, for tests. */
import {expect} from 'chai';
import {PlatformUnavailableError} from '../errors.js';
import type {
  ObjectStore,
  TableRow,
  TableService,
  TableTransaction,
  TransactionResult,
} from '../platform.js';

/** Fault of a table operation. */
export enum TableFault {
  NONE,
  /** The operation does not take effect. */
  DOWN,
  /** The operation takes effect, but its response is lost. */
  LOST,
  /** The operation takes effect after it was reported as failed. */
  LATE,
}

export class MemoryTable implements TableService {
  reads = 0;
  private lastVersion = 0;

  /**
   * `delay` runs before and after each operation; `fault` selects the fault of
   * the operation.
   */
  constructor(
    private readonly delay: () => Promise<void> = async () => {},
    private readonly fault: () => TableFault = () => TableFault.NONE,
    readonly rows = new Map<string, TableRow>(),
  ) {}

  read(key: string): Promise<TableRow | undefined> {
    this.reads += 1;
    return this.handle(() => this.rows.get(key));
  }

  list(prefix: string, after: string, limit: number): Promise<TableRow[]> {
    this.reads += 1;
    return this.handle(() =>
      [...this.rows.values()]
        .filter(({key}) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1))
        .slice(0, limit),
    );
  }

  run(transaction: TableTransaction): Promise<TransactionResult> {
    return this.handle(() => this.apply(transaction));
  }

  private async handle<T>(operation: () => T): Promise<T> {
    await this.delay();
    const fault = this.fault();
    if (fault === TableFault.LATE) void this.delay().then(operation);
    if (fault === TableFault.LOST) operation();
    if (fault !== TableFault.NONE) {
      throw new PlatformUnavailableError('no response');
    }
    const result = operation();
    await this.delay();
    return result;
  }

  private apply(transaction: TableTransaction): TransactionResult {
    const conflicts = transaction.checks
      .filter(({key, version}) => {
        return (this.rows.get(key)?.version ?? 0) !== version;
      })
      .map(({key}) => this.rows.get(key) ?? {key, value: '', version: 0});
    if (conflicts.length > 0) return {committed: false, conflicts};
    for (const {key, value} of transaction.writes) {
      this.lastVersion += 1;
      if (value === undefined) this.rows.delete(key);
      else this.rows.set(key, {key, value, version: this.lastVersion});
    }
    return {committed: true, conflicts: []};
  }
}

export class MemoryStore implements ObjectStore {
  readonly objects = new Map<string, Uint8Array>();

  read(name: string): Promise<Uint8Array | undefined> {
    return Promise.resolve(this.objects.get(name));
  }

  write(name: string, content: Uint8Array): Promise<void> {
    this.objects.set(name, content);
    return Promise.resolve();
  }

  list(prefix: string): Promise<string[]> {
    const names = [...this.objects.keys()];
    return Promise.resolve(names.filter((name) => name.startsWith(prefix)));
  }
}

// Guards against a test table that applies a transaction partially.
it('memory table: a failed condition writes nothing', async () => {
  const table = new MemoryTable();
  const writes = [{key: 'a', value: '1'}];
  await table.run({checks: [{key: 'a', version: 0}], writes});
  const again = {checks: [{key: 'a', version: 0}], writes};
  expect((await table.run(again)).committed).to.equal(false);
  expect(table.rows.get('a')?.version).to.equal(1);
});
