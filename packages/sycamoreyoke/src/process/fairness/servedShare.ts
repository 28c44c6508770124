/** Time constant of the exponential decay of the counts. */
const DECAY_MS = 2_000;

/** Recent share of the offered requests that started. */
export class ServedShare {
  private offers = 0;
  private starts = 0;
  private decayedMs = 0;

  recordOffer(nowMs: number): void {
    this.advance(nowMs);
    this.offers += 1;
  }

  recordStart(nowMs: number): void {
    this.advance(nowMs);
    this.starts += 1;
  }

  /** Returns a share from 0 to 1; 0 before the first offers. */
  read(): number {
    return Math.min(1, this.starts / Math.max(1, this.offers));
  }

  private advance(nowMs: number): void {
    const factor = Math.exp((this.decayedMs - nowMs) / DECAY_MS);
    this.offers *= factor;
    this.starts *= factor;
    this.decayedMs = nowMs;
  }
}
