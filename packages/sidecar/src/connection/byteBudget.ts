/** Bounds of the bytes that other processes make this one read and keep. */

/** Bytes of one exchange with an upstream. */
export interface ExchangeBytes {
  /** All that were read. */
  received: number;
  /** Those of bodies, also of responses that are passed over. */
  body: number;
}

/** Bounds of one exchange, bytes. */
export interface ExchangeLimits {
  readonly maxBodyBytes: number;
  /** Heads, interim responses, framing and trailers, beyond the body's size. */
  readonly maxOtherBytes: number;
}

/** Says what an exchange has too much of, if anything. */
export function findExcess(
  {received, body}: ExchangeBytes,
  {maxBodyBytes, maxOtherBytes}: ExchangeLimits,
): string | undefined {
  if (body > maxBodyBytes) {
    return `response body is larger than ${maxBodyBytes} bytes`;
  }
  // Chunks frame a body with less than its own size unless they are tiny.
  const isPadded = received - body > maxOtherBytes + body;
  return isPadded ? `more than ${maxOtherBytes} bytes are no body` : undefined;
}

/** Shares a number of bytes among holders. */
export class ByteBudget<Holder> {
  private readonly held = new Map<Holder, number>();
  private total = 0;

  constructor(private readonly maxBytes: number) {}

  /**
   * Adds to what a holder has. Gives the holder that has to release its bytes
   * because the sum is too large: the one with most, so that a few large ones
   * keep no others out.
   */
  reserve(holder: Holder, bytes: number): Holder | undefined {
    this.held.set(holder, (this.held.get(holder) ?? 0) + bytes);
    this.total += bytes;
    return this.total > this.maxBytes ? this.findLargest() : undefined;
  }

  release(holder: Holder): void {
    this.total -= this.held.get(holder) ?? 0;
    this.held.delete(holder);
  }

  readTotal(): number {
    return this.total;
  }

  private findLargest(): Holder | undefined {
    let largest: Holder | undefined;
    let most = -1;
    for (const [holder, bytes] of this.held) {
      if (bytes <= most) continue;
      most = bytes;
      largest = holder;
    }
    return largest;
  }
}
