/** Limits the retries to a service to a share of the first attempts. */
import type {Clock} from '../clock.js';

/** Length of the window and of its buckets. */
export const BUDGET_WINDOW_MS = 10_000;
export const BUDGET_BUCKET_MS = 1_000;
/** Retries that a quiet service may get: 1 a second over the window. */
export const BUDGET_FLOOR = 10;

const BUCKET_COUNT = BUDGET_WINDOW_MS / BUDGET_BUCKET_MS;

/** Retry budget of one target service at this process. */
export class RetryBudget {
  private readonly firsts = new Uint32Array(BUCKET_COUNT);
  private readonly retries = new Uint32Array(BUCKET_COUNT);
  private bucket: number;
  private firstSum = 0;
  private retrySum = 0;

  constructor(
    private readonly clock: Clock,
    private readonly readShare: () => number,
    /** Retries that the window may hold however few requests there are. */
    private readonly readFloor: () => number = () => BUDGET_FLOOR,
  ) {
    this.bucket = this.readBucket();
  }

  /** Counts a first attempt. */
  recordFirst(): void {
    this.advance();
    const index = this.bucket % BUCKET_COUNT;
    this.firsts[index] = (this.firsts[index] ?? 0) + 1;
    this.firstSum += 1;
  }

  /** Counts a retry when the budget has room for it. */
  takeRetry(): boolean {
    if (!this.hasRoom()) return false;
    const index = this.bucket % BUCKET_COUNT;
    this.retries[index] = (this.retries[index] ?? 0) + 1;
    this.retrySum += 1;
    return true;
  }

  /** Whether one more retry fits. */
  hasRoom(): boolean {
    this.advance();
    const limit = Math.max(this.readFloor(), this.readShare() * this.firstSum);
    return this.retrySum + 1 <= limit;
  }

  /** Empties the buckets that have left the window. */
  private advance(): void {
    const bucket = this.readBucket();
    const steps = Math.min(bucket - this.bucket, BUCKET_COUNT);
    for (let step = 1; step <= steps; step += 1) {
      const index = (bucket - steps + step) % BUCKET_COUNT;
      this.firstSum -= this.firsts[index] ?? 0;
      this.retrySum -= this.retries[index] ?? 0;
      this.firsts[index] = 0;
      this.retries[index] = 0;
    }
    this.bucket = bucket;
  }

  private readBucket(): number {
    return Math.floor(this.clock.readMs() / BUDGET_BUCKET_MS);
  }
}
