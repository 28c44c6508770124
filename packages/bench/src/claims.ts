/**
 * Simulates, on a virtual clock, how many table writes it takes to store
 * claims, and how long the claims wait.
 */
import {VirtualClock} from 'sycamoreyoke/clock';
import {PlatformUnavailableError} from 'sycamoreyoke/errors';
import {ClaimBatcher, ClaimWriteState} from 'sycamoreyoke/process/claimBatcher';
import type {TransactionResult} from 'sycamoreyoke/platform';
import type {Random} from 'sycamoreyoke/random';
import {createRandom} from 'sycamoreyoke/random';

/** A load of claims on a table. */
export interface ClaimLoad {
  readonly services: number;
  /** Claims of all services in total. */
  readonly claimsPerSecond: number;
  /** Transactions that the table accepts; it answers 429 to the rest. */
  readonly tableWritesPerSecond: number;
  readonly tableLatencyMs: number;
}

/** Results of a load. */
export interface ClaimFigures extends ClaimLoad {
  /** Transactions sent to the table, including those answered with 429. */
  readonly writesPerSecond: number;
  readonly claimsPerWrite: number;
  readonly largestBatch: number;
  /** Share of writes that the table answered with 429. */
  readonly refusedWriteShare: number;
  /** Share of claims that are not stored after two writes. */
  readonly failedClaimShare: number;
  readonly medianMs: number;
  readonly p99Ms: number;
  readonly averageWindowMs: number;
}

/** Simulated time of a load; the first half is warm-up and not counted. */
const DURATION_MS = 20_000;
const STEP_MS = 1;
const MAX_WRITES_PER_CLAIM = 2;

/** Table that accepts a limited number of transactions per second. */
class RateLimitedTable {
  private readonly pendingAnswers: Array<{atMs: number; answer: () => void}> =
    [];
  private currentSecond = -1;
  private usedInSecond = 0;
  offeredWrites = 0;
  refusedWrites = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly load: ClaimLoad,
  ) {}

  run(): Promise<TransactionResult> {
    const nowMs = this.clock.readMs();
    const currentSecond = Math.floor(nowMs / 1_000);
    this.usedInSecond =
      currentSecond === this.currentSecond ? this.usedInSecond + 1 : 1;
    this.currentSecond = currentSecond;
    const isRefused = this.usedInSecond > this.load.tableWritesPerSecond;
    if (nowMs >= DURATION_MS / 2) {
      this.offeredWrites += 1;
      if (isRefused) this.refusedWrites += 1;
    }
    return new Promise((resolve, reject) => {
      const answer = isRefused
        ? () => reject(new PlatformUnavailableError('429'))
        : () => resolve({committed: true, conflicts: []});
      this.pendingAnswers.push({
        atMs: nowMs + this.load.tableLatencyMs,
        answer,
      });
    });
  }

  /**
   * Answers the calls that are due. All have the same latency, so they are
   * answered in the order of the calls.
   */
  tick(): void {
    while (
      this.pendingAnswers[0] &&
      this.pendingAnswers[0].atMs <= this.clock.readMs()
    ) {
      this.pendingAnswers.shift()?.answer();
    }
  }
}

interface ClaimTally {
  readonly latenciesMs: number[];
  failed: number;
  claims: number;
}

async function submitClaim(
  batcher: ClaimBatcher,
  clock: VirtualClock,
  key: string,
  tally: ClaimTally,
): Promise<void> {
  const startedMs = clock.readMs();
  const write = {key, expectedVersion: 0, value: key, retentionMs: 1_000};
  let isStored = false;
  for (let count = 0; count < MAX_WRITES_PER_CLAIM && !isStored; count += 1) {
    const {state} = await batcher.submit(write);
    isStored = state === ClaimWriteState.COMMITTED;
  }
  if (startedMs < DURATION_MS / 2) return;
  tally.claims += 1;
  if (isStored) tally.latenciesMs.push(clock.readMs() - startedMs);
  else tally.failed += 1;
}

/** Draws the number of arrivals in one step from a Poisson distribution. */
function countArrivals(random: Random, meanArrivals: number): number {
  const limit = Math.exp(-meanArrivals);
  let count = 0;
  for (let product = random(); product > limit; product *= random()) {
    count += 1;
  }
  return count;
}

/** Simulates a load. Equal seeds give equal results. */
export async function measureClaimLoad(
  load: ClaimLoad,
  seed: number,
): Promise<ClaimFigures> {
  const random = createRandom(seed);
  const clock = new VirtualClock();
  const table = new RateLimitedTable(clock, load);
  const batchers = Array.from(
    {length: load.services},
    () => new ClaimBatcher(clock, table),
  );
  const tally: ClaimTally = {latenciesMs: [], failed: 0, claims: 0};
  const meanArrivals = (load.claimsPerSecond / 1_000) * STEP_MS;
  let submitted = 0;
  let windowSumMs = 0;
  for (let elapsedMs = 0; elapsedMs < DURATION_MS; elapsedMs += STEP_MS) {
    table.tick();
    await new Promise((resolve) => setImmediate(resolve));
    for (
      let remainingArrivals = countArrivals(random, meanArrivals);
      remainingArrivals > 0;
      remainingArrivals -= 1
    ) {
      const batcher = batchers[Math.floor(random() * load.services)];
      submitted += 1;
      if (batcher) void submitClaim(batcher, clock, `k${submitted}`, tally);
    }
    for (const batcher of batchers) {
      const dueMs = batcher.readDueMs();
      if (dueMs !== undefined) void batcher.tick();
      windowSumMs += batcher.readWindowMs();
    }
    clock.advance(STEP_MS);
  }
  const counts = batchers.map((batcher) => batcher.readCounts());
  const sorted = tally.latenciesMs.sort((a, b) => a - b);
  const getQuantile = (fraction: number) =>
    sorted[Math.floor(fraction * (sorted.length - 1))] ?? NaN;
  return {
    ...load,
    writesPerSecond: table.offeredWrites / (DURATION_MS / 2_000),
    claimsPerWrite:
      sorted.length / Math.max(1, table.offeredWrites - table.refusedWrites),
    largestBatch: Math.max(...counts.map(({largestBatch}) => largestBatch)),
    refusedWriteShare: table.refusedWrites / Math.max(1, table.offeredWrites),
    failedClaimShare: tally.failed / Math.max(1, tally.claims),
    medianMs: getQuantile(0.5),
    p99Ms: getQuantile(0.99),
    averageWindowMs: windowSumMs / load.services / (DURATION_MS / STEP_MS),
  };
}

/** The loads shown in docs/design/at-most-once.md. */
export const CLAIM_LOADS: readonly ClaimLoad[] = [
  [1, 10, 5],
  [1, 100, 5],
  [1, 1_000, 5],
  [1, 10_000, 5],
  [1, 1_000, 50],
  [1, 1_000, 200],
  [50, 1_000, 5],
  [50, 10_000, 5],
  [200, 10_000, 5],
  [950, 10_000, 5],
].map(([services = 1, claimsPerSecond = 1, tableLatencyMs = 1]) => ({
  services,
  claimsPerSecond,
  tableLatencyMs,
  tableWritesPerSecond: 400,
}));

/** Simulates all loads of {@link CLAIM_LOADS}. */
export async function measureClaims(seed = 1): Promise<ClaimFigures[]> {
  const figures: ClaimFigures[] = [];
  for (const load of CLAIM_LOADS) {
    figures.push(await measureClaimLoad(load, seed));
  }
  return figures;
}

/** Formats the results as a Markdown table. */
export function formatClaimFigures(figures: readonly ClaimFigures[]): string {
  const percent = (fraction: number) => `${(100 * fraction).toFixed(1)}%`;
  const rows = figures.map((each) => [
    each.services,
    each.claimsPerSecond,
    each.tableLatencyMs,
    each.writesPerSecond.toFixed(0),
    percent(each.refusedWriteShare),
    each.claimsPerWrite.toFixed(1),
    each.largestBatch,
    each.averageWindowMs.toFixed(0),
    each.medianMs,
    each.p99Ms,
    percent(each.failedClaimShare),
  ]);
  const columnTitles = [
    'services',
    'claims/s',
    'table ms',
    'writes/s',
    'answered 429',
    'claims per write',
    'largest batch',
    'mean window ms',
    'p50 ms',
    'p99 ms',
    'claims failed',
  ];
  const lines = [columnTitles, columnTitles.map(() => '---'), ...rows];
  return lines.map((cells) => `| ${cells.join(' | ')} |`).join('\n');
}
