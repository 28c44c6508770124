/** Limits the retries of a service to a share of its first attempts. */
import type {Clock} from '../clock.js';

/** Length of the sliding window. */
export const BUDGET_WINDOW_MS = 10_000;
/** Length of one bucket of the window. */
export const BUDGET_BUCKET_MS = 1_000;
/** Retries allowed per window regardless of load: 1 per second on average. */
export const MIN_RETRIES_PER_WINDOW = 10;

const BUCKET_COUNT = BUDGET_WINDOW_MS / BUDGET_BUCKET_MS;

/** Retry budget of one target service at this process. */
export class RetryBudget {
  private readonly firstAttempts = new Uint32Array(BUCKET_COUNT);
  private readonly retries = new Uint32Array(BUCKET_COUNT);
  private bucket: number;
  private firstAttemptSum = 0;
  private retrySum = 0;

  constructor(
    private readonly clock: Clock,
    private readonly readShare: () => number,
    /** Returns the retries per window that are allowed regardless of load. */
    private readonly readMinRetries: () => number = () =>
      MIN_RETRIES_PER_WINDOW,
  ) {
    this.bucket = this.readBucket();
  }

  /** Counts a first attempt. */
  recordFirstAttempt(): void {
    this.advance();
    const index = this.bucket % BUCKET_COUNT;
    this.firstAttempts[index] = (this.firstAttempts[index] ?? 0) + 1;
    this.firstAttemptSum += 1;
  }

  /** Counts a retry if the budget allows it; returns false otherwise. */
  takeRetry(): boolean {
    if (!this.hasRoom()) return false;
    const index = this.bucket % BUCKET_COUNT;
    this.retries[index] = (this.retries[index] ?? 0) + 1;
    this.retrySum += 1;
    return true;
  }

  /** Returns true if the budget allows one more retry. */
  hasRoom(): boolean {
    return this.readRoom() >= 1;
  }

  /** Returns the retries that the budget allows now; may be a fraction. */
  readRoom(): number {
    this.advance();
    const limit = Math.max(
      this.readMinRetries(),
      this.readShare() * this.firstAttemptSum,
    );
    return Math.max(0, limit - this.retrySum);
  }

  /** Empties the buckets that have left the window. */
  private advance(): void {
    const bucket = this.readBucket();
    const steps = Math.min(bucket - this.bucket, BUCKET_COUNT);
    for (let step = 1; step <= steps; step += 1) {
      const index = (bucket - steps + step) % BUCKET_COUNT;
      this.firstAttemptSum -= this.firstAttempts[index] ?? 0;
      this.retrySum -= this.retries[index] ?? 0;
      this.firstAttempts[index] = 0;
      this.retries[index] = 0;
    }
    this.bucket = bucket;
  }

  private readBucket(): number {
    return Math.floor(this.clock.readMs() / BUDGET_BUCKET_MS);
  }
}
