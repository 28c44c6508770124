/**
 * Retries that one call may still spend. The model's own allowance: a call
 * lends half of what is left to each call that it makes, and gets back what
 * that one did not spend.
 */
export class Ledger {
  constructor(private remaining: number) {}

  /** Takes one retry; false when none is left. */
  take(): boolean {
    if (this.remaining <= 0) return false;
    this.remaining -= 1;
    return true;
  }

  reserve(): Ledger {
    if (this.remaining === Infinity) return new Ledger(Infinity);
    const share = Math.ceil(this.remaining / 2);
    this.remaining -= share;
    return new Ledger(share);
  }

  /** Gets back what is left of a reserved share. */
  release(share: Ledger): void {
    this.remaining += share.remaining;
    share.remaining = 0;
  }
}
