import {expect} from 'chai';
import fc from 'fast-check';
import {VirtualClock} from '../clock.js';
import {PlatformUnavailableError} from '../errors.js';
import type {
  TableRow,
  TableTransaction,
  TransactionResult,
} from '../platform.js';
import {createRandom, takeInteger} from '../random.js';
import type {BatchWindow, ClaimWriteResult} from './claimBatcher.js';
import {
  ClaimBatcher,
  ClaimWriteState,
  MAX_BATCH_SIZE,
  MAX_WINDOW_MS,
  MIN_WINDOW_MS,
  SLOW_TRANSACTION_MS,
  WINDOW_SHRINK_FACTOR,
  createBatchWindow,
  finishBatch,
  isBatchDue,
  openBatchWindow,
  startBatch,
} from './claimBatcher.js';

/** In-memory table without faults, with atomic transactions. */
class PlainTable {
  readonly rows = new Map<string, TableRow>();
  readonly batches: number[] = [];
  private version = 0;

  run(transaction: TableTransaction): TransactionResult {
    this.batches.push(transaction.writes.length);
    const conflicts = transaction.checks
      .map(({key, version}) => ({row: this.read(key), version}))
      .filter(({row, version}) => row.version !== version)
      .map(({row}) => row);
    if (conflicts.length > 0) return {committed: false, conflicts};
    for (const {key, value} of transaction.writes) {
      this.version += 1;
      this.rows.set(key, {key, value: value ?? '', version: this.version});
    }
    return {committed: true, conflicts: []};
  }

  read(key: string): TableRow {
    return this.rows.get(key) ?? {key, value: '', version: 0};
  }
}

const createInsert = (key: string, value: string) => ({
  key,
  expectedVersion: 0,
  value,
  retentionMs: 1_000,
});
const runPending = () => new Promise((resolve) => setImmediate(resolve));

// Guards against reporting a claim as committed while another holds the row, a
// claim that gets no result, and batches above their maximum size. It occurs
// when the transactions of two batchers interleave and responses are lost.
it('batcher: two batchers at once give each row to one claim', async () => {
  for (let seed = 1; seed <= 60; seed += 1) {
    const random = createRandom(seed);
    const clock = new VirtualClock();
    const table = new PlainTable();
    const isDown = () => random() < 0.1;
    const service = {
      run: async (transaction: TableTransaction) => {
        const isLost = isDown();
        // Delays some transactions, so that those of the batchers interleave.
        if (random() < 0.5) await runPending();
        const isApplied = !isLost || random() < 0.5;
        const result = isApplied ? table.run(transaction) : undefined;
        if (isLost || !result) throw new PlatformUnavailableError('lost');
        return result;
      },
    };
    const batchers = [0, 1].map(() => new ClaimBatcher(clock, service, 8));
    const results: Array<{key: string; value: string; end: ClaimWriteResult}> =
      [];
    let submitted = 0;
    for (let step = 0; step < 200; step += 1) {
      const batcher = batchers[takeInteger(random, 2)];
      for (let count = takeInteger(random, 4); count > 0; count -= 1) {
        const key = `k${takeInteger(random, 150)}`;
        const value = `${seed}-${submitted}`;
        submitted += 1;
        void batcher
          ?.submit(createInsert(key, value))
          .then((end) => results.push({key, value, end}));
      }
      clock.advance(random() * 10);
      for (const each of batchers) void each.tick();
      if (random() < 0.3) await runPending();
    }
    for (let step = 0; step < 200 && results.length < submitted; step += 1) {
      clock.advance(MAX_WINDOW_MS);
      for (const each of batchers) void each.tick();
      await runPending();
      await runPending();
    }
    expect(results.length).to.equal(submitted);
    expect(Math.max(...table.batches)).to.be.at.most(8);
    for (const {key, value, end} of results) {
      const currentValue = table.read(key).value;
      if (end.state === ClaimWriteState.COMMITTED) {
        expect(currentValue).to.equal(value);
      }
      if (end.state === ClaimWriteState.CONFLICT) {
        expect(end.row.value).to.equal(currentValue);
        expect(currentValue).not.to.equal(value);
      }
    }
  }
});

// Guards against a claim on a taken row failing the other claims of its batch.
it('batcher: a conflict is returned and the rest is written', async () => {
  const clock = new VirtualClock();
  const table = new PlainTable();
  table.run({checks: [], writes: [{key: 'b', value: 'old'}]});
  const batcher = new ClaimBatcher(clock, {
    run: (transaction) => Promise.resolve(table.run(transaction)),
  });
  const ends = ['a', 'b', 'c', 'a'].map((key, index) =>
    batcher.submit(createInsert(key, `n${index}`)),
  );
  for (let step = 0; step < 4; step += 1) {
    clock.advance(MIN_WINDOW_MS);
    await batcher.tick();
  }
  const states = (await Promise.all(ends)).map(({state}) => state);
  expect(states).to.deep.equal([
    ClaimWriteState.COMMITTED,
    ClaimWriteState.CONFLICT,
    ClaimWriteState.COMMITTED,
    ClaimWriteState.CONFLICT,
  ]);
  expect(table.read('a').value).to.equal('n0');
  expect(batcher.readCounts().transactions).to.equal(3);
});

// Guards against an unbounded queue while the table does not answer, and a
// claim that never gets a result when the process stops.
it('batcher: claims above the limit are rejected', async () => {
  const batcher = new ClaimBatcher(
    new VirtualClock(),
    {run: () => new Promise<TransactionResult>(() => undefined)},
    MAX_BATCH_SIZE,
    2,
  );
  const ends = ['a', 'b', 'c'].map((key) =>
    batcher.submit(createInsert(key, 'n')),
  );
  expect((await ends[2])?.state).to.equal(ClaimWriteState.NOT_SUBMITTED);
  batcher.close();
  expect((await ends[0])?.state).to.equal(ClaimWriteState.NOT_SUBMITTED);
});

// Guards against a window outside its bounds, a window that stays long after
// the table has recovered, and concurrent transactions of one batcher.
it('batcher: the window adapts to the speed of the table', () => {
  const step = fc.record({
    durationMs: fc.integer({min: 0, max: 3 * SLOW_TRANSACTION_MS}),
    isTableResponding: fc.boolean(),
    waiting: fc.integer({min: 1, max: 2 * MAX_BATCH_SIZE}),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 40}), (steps) => {
      let nowMs = 0;
      let expectedMs = MIN_WINDOW_MS;
      let window: BatchWindow = createBatchWindow();
      for (const {durationMs, isTableResponding, waiting} of steps) {
        const isFull = waiting >= MAX_BATCH_SIZE && window.isTableResponding;
        window = openBatchWindow(window, nowMs);
        expect(isBatchDue(window, nowMs, waiting)).to.equal(isFull);
        nowMs += expectedMs;
        expect(isBatchDue(window, nowMs, 0)).to.equal(false);
        expect(isBatchDue(window, nowMs, waiting)).to.equal(true);
        window = startBatch(window, nowMs);
        expect(isBatchDue(window, nowMs, waiting)).to.equal(false);
        nowMs += durationMs;
        window = finishBatch(window, nowMs, isTableResponding, false);
        expect(isBatchDue(window, nowMs, 1)).to.equal(false);
        const isFast = isTableResponding && durationMs <= SLOW_TRANSACTION_MS;
        expectedMs = isFast
          ? Math.max(MIN_WINDOW_MS, expectedMs * WINDOW_SHRINK_FACTOR)
          : Math.min(MAX_WINDOW_MS, expectedMs * 2);
        expect(window.windowMs).to.equal(expectedMs);
      }
    }),
    {seed: 31, numRuns: 500},
  );
});
