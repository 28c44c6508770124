/** Batches the claim writes of one service into table transactions. */
import type {Clock} from '../clock.js';
import type {TableRow, TableService, TransactionResult} from '../platform.js';

/** Minimum time for which a batcher collects claims. */
export const MIN_WINDOW_MS = 5;
/** Maximum time for which a batcher collects claims. */
export const MAX_WINDOW_MS = 500;
/** A transaction that takes longer than this widens the batch window. */
export const SLOW_TRANSACTION_MS = 100;
/**
 * Factor by which the window shrinks after a fast transaction. With 0.5 the
 * batchers of many services would exceed the capacity of the table again.
 */
export const WINDOW_SHRINK_FACTOR = 0.95;
/** Maximum number of claims in one transaction. */
export const MAX_BATCH_SIZE = 500;
/** Maximum number of queued claims; further ones are rejected. */
export const MAX_WAITING_CLAIMS = 5_000;

/** A conditional write of one row of a claim. */
export interface ClaimWrite {
  readonly key: string;
  /** Version that the row must have; 0 if it must be absent. */
  readonly expectedVersion: number;
  readonly value: string;
  readonly retentionMs: number;
}

export enum ClaimWriteState {
  COMMITTED = 'committed',
  /** The row has a different version; nothing was written. */
  CONFLICT = 'conflict',
  /** The write may or may not have taken effect, now or later. */
  UNKNOWN = 'unknown',
  /** The write never reached the table and never will. */
  NOT_SUBMITTED = 'not-submitted',
}

export type ClaimWriteResult =
  | {readonly state: ClaimWriteState.CONFLICT; readonly row: TableRow}
  | {readonly state: Exclude<ClaimWriteState, ClaimWriteState.CONFLICT>};

/** Batching state of a batcher, an immutable value. */
export interface BatchWindow {
  readonly windowMs: number;
  /** Earliest start of the next transaction. */
  readonly dueMs: number;
  /** Whether the table answered the latest transaction without an error. */
  readonly isTableResponding: boolean;
  /** Start of the running transaction, if there is one. */
  readonly busySinceMs?: number;
}

/** Creates the initial batching state. */
export function createBatchWindow(): BatchWindow {
  return {windowMs: MIN_WINDOW_MS, dueMs: 0, isTableResponding: true};
}

/** Starts collecting when a claim arrives at an empty queue. */
export function openBatchWindow(
  window: BatchWindow,
  nowMs: number,
): BatchWindow {
  return {...window, dueMs: Math.max(window.dueMs, nowMs + window.windowMs)};
}

/**
 * Whether a transaction may start. A full batch does not wait for the end of
 * the window, unless the table failed to answer the previous transaction.
 */
export function isBatchDue(
  window: BatchWindow,
  nowMs: number,
  waitingCount: number,
): boolean {
  if (window.busySinceMs !== undefined || waitingCount === 0) return false;
  const isFull = window.isTableResponding && waitingCount >= MAX_BATCH_SIZE;
  return isFull || nowMs >= window.dueMs;
}

/** Records the start of a transaction. */
export function startBatch(window: BatchWindow, nowMs: number): BatchWindow {
  return {...window, busySinceMs: nowMs};
}

/**
 * Records the end of a transaction. Doubles the window if the table was slow or
 * did not answer, and shrinks it otherwise. If claims have to be retried, the
 * next transaction may start at once.
 */
export function finishBatch(
  window: BatchWindow,
  nowMs: number,
  isTableResponding: boolean,
  hasRetries: boolean,
): BatchWindow {
  const durationMs = nowMs - (window.busySinceMs ?? nowMs);
  const isFast = isTableResponding && durationMs <= SLOW_TRANSACTION_MS;
  const windowMs = isFast
    ? Math.max(MIN_WINDOW_MS, window.windowMs * WINDOW_SHRINK_FACTOR)
    : Math.min(MAX_WINDOW_MS, window.windowMs * 2);
  const dueMs = hasRetries ? nowMs : nowMs + windowMs;
  return {windowMs, dueMs, isTableResponding};
}

interface WaitingClaim {
  readonly write: ClaimWrite;
  readonly answer: (result: ClaimWriteResult) => void;
}

/** Counters of a batcher. */
export interface BatcherCounts {
  readonly transactions: number;
  readonly claims: number;
  readonly conflicts: number;
  readonly failures: number;
  readonly largestBatch: number;
}

/**
 * Collects claims and writes them in batches, one transaction at a time. The
 * conditions of the writes ensure consistency, so several batchers of one
 * service may run at once.
 */
export class ClaimBatcher {
  private window = createBatchWindow();
  private waiting: WaitingClaim[] = [];
  private counts: BatcherCounts = {
    transactions: 0,
    claims: 0,
    conflicts: 0,
    failures: 0,
    largestBatch: 0,
  };

  constructor(
    private readonly clock: Clock,
    private readonly table: Pick<TableService, 'run'>,
    private readonly maxBatch = MAX_BATCH_SIZE,
    private readonly maxWaiting = MAX_WAITING_CLAIMS,
  ) {}

  /** Queues a claim. Resolves with NOT_SUBMITTED if the queue is full. */
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

  /** Runs a transaction if one is due; resolves when it has ended. */
  async tick(): Promise<void> {
    const nowMs = this.clock.readMs();
    if (!isBatchDue(this.window, nowMs, this.waiting.length)) return;
    const batch = this.takeBatch();
    this.window = startBatch(this.window, nowMs);
    const result = await this.runBatch(batch);
    this.finish(batch, result);
  }

  /** Rejects all queued claims. Call before the process ends. */
  close(): void {
    for (const {answer} of this.waiting) {
      answer({state: ClaimWriteState.NOT_SUBMITTED});
    }
    this.waiting = [];
  }

  /** When `tick` is due; undefined while idle or during a transaction. */
  readDueMs(): number | undefined {
    const isIdle =
      this.window.busySinceMs !== undefined || this.waiting.length === 0;
    return isIdle ? undefined : this.window.dueMs;
  }

  /** Number of queued claims. */
  countWaiting(): number {
    return this.waiting.length;
  }

  readWindowMs(): number {
    return this.window.windowMs;
  }

  readCounts(): BatcherCounts {
    return this.counts;
  }

  /** Takes the oldest claims, at most one per row. */
  private takeBatch(): readonly WaitingClaim[] {
    const batch = new Map<string, WaitingClaim>();
    const remaining: WaitingClaim[] = [];
    for (const claim of this.waiting) {
      const {key} = claim.write;
      const isTaken = batch.size < this.maxBatch && !batch.has(key);
      if (isTaken) batch.set(key, claim);
      else remaining.push(claim);
    }
    this.waiting = remaining;
    return [...batch.values()];
  }

  /** Runs a transaction. Returns undefined if the table did not answer. */
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
      // After any error it is unknown whether the transaction took effect.
      return undefined;
    }
  }

  private finish(
    batch: readonly WaitingClaim[],
    result: TransactionResult | undefined,
  ): void {
    const conflicts = new Map(result?.conflicts.map((row) => [row.key, row]));
    const retried: WaitingClaim[] = [];
    for (const claim of batch) {
      const row = conflicts.get(claim.write.key);
      if (!result) claim.answer({state: ClaimWriteState.UNKNOWN});
      else if (result.committed) {
        claim.answer({state: ClaimWriteState.COMMITTED});
      } else if (row) claim.answer({state: ClaimWriteState.CONFLICT, row});
      else retried.push(claim);
    }
    this.waiting = [...retried, ...this.waiting];
    this.window = finishBatch(
      this.window,
      this.clock.readMs(),
      result !== undefined,
      retried.length > 0,
    );
    this.counts = {
      transactions: this.counts.transactions + 1,
      claims: this.counts.claims + batch.length - retried.length,
      conflicts: this.counts.conflicts + conflicts.size,
      failures: this.counts.failures + (result ? 0 : 1),
      largestBatch: Math.max(this.counts.largestBatch, batch.length),
    };
  }
}
