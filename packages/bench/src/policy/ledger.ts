/**
 * Retry budget of one call, in a simpler form than that of the library: half of
 * the remaining retries, rounded up, is reserved for each call that is sent,
 * and the unspent part returns to the budget when the call finishes.
 */
export class Ledger {
  constructor(private remaining: number) {}

  /** Takes one retry; returns false if none is left. */
  take(): boolean {
    if (this.remaining <= 0) return false;
    this.remaining -= 1;
    return true;
  }

  /** Moves half of the remaining retries, rounded up, to a new budget. */
  reserve(): Ledger {
    if (this.remaining === Infinity) return new Ledger(Infinity);
    const share = Math.ceil(this.remaining / 2);
    this.remaining -= share;
    return new Ledger(share);
  }

  /** Takes back the unspent retries of a reserved budget. */
  release(share: Ledger): void {
    this.remaining += share.remaining;
    share.remaining = 0;
  }
}
