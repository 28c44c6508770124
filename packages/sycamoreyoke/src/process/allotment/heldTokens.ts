/** Tokens of one account that an origin holds, in batches that expire. */

/** Tokens lent by one owner at a time. */
export interface TokenBatch {
  readonly lender: string;
  readonly expiresMs: number;
  count: number;
}

/** Holds tokens of one account, sorted by expiry. */
export class HeldTokens {
  private batches: TokenBatch[] = [];

  add(batch: TokenBatch): void {
    const index = this.batches.findIndex(
      ({expiresMs}) => expiresMs > batch.expiresMs,
    );
    if (index < 0) this.batches.push(batch);
    else this.batches.splice(index, 0, batch);
  }

  /** Takes the token that expires first; returns its batch. */
  take(nowMs: number): TokenBatch | undefined {
    this.expire(nowMs);
    const [batch] = this.batches;
    if (!batch) return undefined;
    batch.count -= 1;
    if (batch.count === 0) this.batches.shift();
    return batch;
  }

  /** Puts a token back, unless it has expired. */
  release({lender, expiresMs}: TokenBatch, nowMs: number): void {
    if (expiresMs <= nowMs) return;
    const batch = this.batches.find(
      (held) => held.expiresMs === expiresMs && held.lender === lender,
    );
    if (batch) batch.count += 1;
    else this.add({lender, expiresMs, count: 1});
  }

  /** Removes the tokens of a lender that expire before a time. */
  takeExpiring(nowMs: number, lender: string, untilMs: number): number {
    this.expire(nowMs);
    let count = 0;
    this.batches = this.batches.filter((batch) => {
      const isTaken = batch.lender === lender && batch.expiresMs < untilMs;
      if (isTaken) count += batch.count;
      return !isTaken;
    });
    return count;
  }

  /** Time of the first expiry. */
  readExpiryMs(): number {
    return this.batches[0]?.expiresMs ?? Infinity;
  }

  /** Lender of the token that expires first. */
  readLender(): string | undefined {
    return this.batches[0]?.lender;
  }

  count(nowMs: number): number {
    this.expire(nowMs);
    return this.batches.reduce((sum, {count}) => sum + count, 0);
  }

  private expire(nowMs: number): void {
    while (this.batches[0] && this.batches[0].expiresMs <= nowMs) {
      this.batches.shift();
    }
  }
}
