/** Measures how much longer messages of a link take than usual. */

/** Time after which the fastest message is forgotten: clocks drift apart. */
const GENERATION_MS = 30_000;

/**
 * Compares the clocks of the two ends of a link by its fastest messages. A
 * message that takes longer has waited: in the buffers of the sender, on a
 * congested link, or for a receiver that was behind.
 */
export class TransitDelay {
  private fastestMs = Infinity;
  private lastFastestMs = Infinity;
  private generationStartMs = -Infinity;

  /**
   * Returns the delay of a message beyond that of the fastest recent one, ms.
   * Both times are on the clocks of their own ends.
   */
  observe(sentMs: number, receivedMs: number): number {
    if (receivedMs - this.generationStartMs > GENERATION_MS) {
      this.lastFastestMs = this.fastestMs;
      this.fastestMs = Infinity;
      this.generationStartMs = receivedMs;
    }
    const transitMs = receivedMs - sentMs;
    this.fastestMs = Math.min(this.fastestMs, transitMs);
    return transitMs - Math.min(this.fastestMs, this.lastFastestMs);
  }
}
