/** Batches the claims of one service into transactions of the table. */
import type {Clock} from '../clock.js';
import type {TableRow, TableService, TransactionResult} from '../platform.js';

/** Shortest time that a combiner collects claims. */
export const MIN_WINDOW_MS = 5;
/** Longest time that a combiner collects claims. */
export const MAX_WINDOW_MS = 500;
/** A table that takes longer for a transaction counts as slow. */
export const SLOW_TABLE_MS = 100;
/**
 * Share of the window that is left after a transaction in good time. Halving
 * it brings the combiners of many services back above the rate of the table.
 */
export const WINDOW_SHRINK = 0.95;
/** Claims in one transaction. */
export const MAX_BATCH = 500;
/** Claims that wait in a combiner; more are turned away. */
export const MAX_WAITING_CLAIMS = 5_000;

/** A conditional write of one row of a claim. */
export interface ClaimWrite {
  readonly key: string;
  /** Version that the row must have; 0: it must be absent. */
  readonly expectedVersion: number;
  readonly value: string;
  readonly retentionMs: number;
}

export enum ClaimWriteState {
  COMMITTED = 'committed',
  /** The row has another version; nothing was written. */
  CONFLICT = 'conflict',
  /** The write may or may not have taken effect, now or later. */
  UNKNOWN = 'unknown',
  /** The write never reached the table and never will. */
  NOT_SUBMITTED = 'not-submitted',
}

export type ClaimWriteResult =
  | {readonly state: ClaimWriteState.CONFLICT; readonly row: TableRow}
  | {readonly state: Exclude<ClaimWriteState, ClaimWriteState.CONFLICT>};

/** When a combiner writes; a value of a pure state machine. */
export interface BatchWindow {
  readonly windowMs: number;
  /** When the next transaction may start. */
  readonly dueMs: number;
  /** False after a transaction that the table did not answer or refused. */
  readonly isAnswered: boolean;
  /** A transaction is under way since then. */
  readonly busySinceMs?: number;
}

/** Window of a combiner without claims. */
export function createBatchWindow(): BatchWindow {
  return {windowMs: MIN_WINDOW_MS, dueMs: 0, isAnswered: true};
}

/** Starts to collect, at the first claim after a time without any. */
export function openBatchWindow(
  window: BatchWindow,
  nowMs: number,
): BatchWindow {
  return {...window, dueMs: Math.max(window.dueMs, nowMs + window.windowMs)};
}

/**
 * True when a transaction may start. A full batch waits no longer, unless the
 * table has just turned one away.
 */
export function isBatchDue(
  window: BatchWindow,
  nowMs: number,
  waitingCount: number,
): boolean {
  if (window.busySinceMs !== undefined || waitingCount === 0) return false;
  const isFull = window.isAnswered && waitingCount >= MAX_BATCH;
  return isFull || nowMs >= window.dueMs;
}

/** Starts a transaction. */
export function startBatch(window: BatchWindow, nowMs: number): BatchWindow {
  return {...window, busySinceMs: nowMs};
}

/**
 * Ends a transaction: doubles the window when the table was slow or did not
 * answer, shrinks it otherwise. Claims that are tried again do not wait.
 */
export function finishBatch(
  window: BatchWindow,
  nowMs: number,
  isAnswered: boolean,
  isTriedAgain: boolean,
): BatchWindow {
  const tookMs = nowMs - (window.busySinceMs ?? nowMs);
  const isHealthy = isAnswered && tookMs <= SLOW_TABLE_MS;
  const windowMs = isHealthy
    ? Math.max(MIN_WINDOW_MS, window.windowMs * WINDOW_SHRINK)
    : Math.min(MAX_WINDOW_MS, window.windowMs * 2);
  const dueMs = isTriedAgain ? nowMs : nowMs + windowMs;
  return {windowMs, dueMs, isAnswered};
}

interface WaitingClaim {
  readonly write: ClaimWrite;
  readonly answer: (result: ClaimWriteResult) => void;
}

/** Counters of a combiner. */
export interface CombinerCounts {
  readonly transactions: number;
  readonly claims: number;
  readonly conflicts: number;
  readonly failures: number;
  readonly largestBatch: number;
}

/**
 * Collects claims and writes them in batches, one transaction at a time. It
 * holds no authority: the conditions of the writes decide, so several
 * combiners of one service do no harm.
 */
export class ClaimCombiner {
  private window = createBatchWindow();
  private waiting: WaitingClaim[] = [];
  private counts: CombinerCounts = {
    transactions: 0,
    claims: 0,
    conflicts: 0,
    failures: 0,
    largestBatch: 0,
  };

  constructor(
    private readonly clock: Clock,
    private readonly table: Pick<TableService, 'run'>,
    private readonly maxBatch = MAX_BATCH,
    private readonly maxWaiting = MAX_WAITING_CLAIMS,
  ) {}

  /** Adds a claim to the next batch. */
  submit(write: ClaimWrite): Promise<ClaimWriteResult> {
    if (this.waiting.length >= this.maxWaiting) {
      return Promise.resolve({state: ClaimWriteState.NOT_SUBMITTED});
    }
    if (this.waiting.length === 0) {
      this.window = openBatchWindow(this.window, this.clock.readMs());
    }
    return new Promise((answer) => {
      this.waiting.push({write, answer});
    });
  }

  /** Starts a transaction when one is due; the promise ends with it. */
  async tick(): Promise<void> {
    const nowMs = this.clock.readMs();
    if (!isBatchDue(this.window, nowMs, this.waiting.length)) return;
    const batch = this.takeBatch();
    this.window = startBatch(this.window, nowMs);
    const result = await this.runBatch(batch);
    this.finish(batch, result);
  }

  /** Turns the waiting claims away, before the process ends. */
  close(): void {
    for (const {answer} of this.waiting) {
      answer({state: ClaimWriteState.NOT_SUBMITTED});
    }
    this.waiting = [];
  }

  /** When tick has something to do; undefined while it has not. */
  readDueMs(): number | undefined {
    const isIdle =
      this.window.busySinceMs !== undefined || this.waiting.length === 0;
    return isIdle ? undefined : this.window.dueMs;
  }

  /** Claims that wait for a batch. */
  countWaiting(): number {
    return this.waiting.length;
  }

  readWindowMs(): number {
    return this.window.windowMs;
  }

  readCounts(): CombinerCounts {
    return this.counts;
  }

  /** Takes the oldest claims, at most one for each row. */
  private takeBatch(): readonly WaitingClaim[] {
    const batch = new Map<string, WaitingClaim>();
    const left: WaitingClaim[] = [];
    for (const claim of this.waiting) {
      const {key} = claim.write;
      const isTaken = batch.size < this.maxBatch && !batch.has(key);
      if (isTaken) batch.set(key, claim);
      else left.push(claim);
    }
    this.waiting = left;
    return [...batch.values()];
  }

  /** Undefined when the table did not answer. */
  private async runBatch(
    batch: readonly WaitingClaim[],
  ): Promise<TransactionResult | undefined> {
    const writes = batch.map(({write}) => write);
    try {
      return await this.table.run({
        checks: writes.map(({key, expectedVersion}) => ({
          key,
          version: expectedVersion,
        })),
        writes: writes.map(({key, value, retentionMs}) => ({
          key,
          value,
          retentionMs,
        })),
      });
    } catch {
      // Any error leaves it open whether the transaction took effect.
      return undefined;
    }
  }

  private finish(
    batch: readonly WaitingClaim[],
    result: TransactionResult | undefined,
  ): void {
    const conflicts = new Map(result?.conflicts.map((row) => [row.key, row]));
    const triedAgain: WaitingClaim[] = [];
    for (const claim of batch) {
      const row = conflicts.get(claim.write.key);
      if (!result) claim.answer({state: ClaimWriteState.UNKNOWN});
      else if (result.committed) {
        claim.answer({state: ClaimWriteState.COMMITTED});
      } else if (row) claim.answer({state: ClaimWriteState.CONFLICT, row});
      else triedAgain.push(claim);
    }
    this.waiting = [...triedAgain, ...this.waiting];
    this.window = finishBatch(
      this.window,
      this.clock.readMs(),
      result !== undefined,
      triedAgain.length > 0,
    );
    this.counts = {
      transactions: this.counts.transactions + 1,
      claims: this.counts.claims + batch.length - triedAgain.length,
      conflicts: this.counts.conflicts + conflicts.size,
      failures: this.counts.failures + (result ? 0 : 1),
      largestBatch: Math.max(this.counts.largestBatch, batch.length),
    };
  }
}
