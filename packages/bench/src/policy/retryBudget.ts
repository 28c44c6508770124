/**
 * Retry budget of one call, in a simpler form than that of the library: half of
 * the remaining retries, rounded up, is reserved for each call that is sent,
 * and the unspent part returns to the budget when the call finishes.
 */
export class RetryBudget {
  constructor(private remaining: number) {}

  /** Takes one retry; returns false if none is left. */
  takeRetry(): boolean {
    if (this.remaining <= 0) return false;
    this.remaining -= 1;
    return true;
  }

  /** Moves half of the remaining retries, rounded up, to a new budget. */
  reserve(): RetryBudget {
    if (this.remaining === Infinity) return new RetryBudget(Infinity);
    const reserved = Math.ceil(this.remaining / 2);
    this.remaining -= reserved;
    return new RetryBudget(reserved);
  }

  /** Takes back the unspent retries of a reserved budget. */
  release(reserved: RetryBudget): void {
    this.remaining += reserved.remaining;
    reserved.remaining = 0;
  }
}
