/** Limits of the bytes that other processes make this one read and buffer. */

/** Bytes received in one exchange with an upstream. */
export interface ExchangeBytes {
  /** All bytes that were read. */
  received: number;
  /** Bytes of bodies, including those of discarded responses. */
  body: number;
}

/** Limits of one exchange. */
export interface ExchangeLimits {
  readonly maxBodyBytes: number;
  /** Heads, interim responses, framing and trailers, beyond the body's size. */
  readonly maxOtherBytes: number;
}

/** Returns which limit an exchange exceeds, or undefined if none. */
export function findExceededLimit(
  {received, body}: ExchangeBytes,
  {maxBodyBytes, maxOtherBytes}: ExchangeLimits,
): string | undefined {
  if (body > maxBodyBytes) {
    return `response body is larger than ${maxBodyBytes} bytes`;
  }
  // Chunk framing is smaller than the body itself unless the chunks are tiny.
  const isPadded = received - body > maxOtherBytes + body;
  return isPadded
    ? `more than ${maxOtherBytes} bytes besides the body`
    : undefined;
}

/** A memory budget that is shared by several holders. */
export class ByteBudget<Holder> {
  private readonly bytesByHolder = new Map<Holder, number>();
  private total = 0;

  constructor(private readonly maxBytes: number) {}

  /**
   * Adds bytes to a holder. If the total exceeds the budget, returns the holder
   * that has to release its bytes: the largest one, so that a few large holders
   * cannot keep out the others.
   */
  reserve(holder: Holder, bytes: number): Holder | undefined {
    this.bytesByHolder.set(
      holder,
      (this.bytesByHolder.get(holder) ?? 0) + bytes,
    );
    this.total += bytes;
    return this.total > this.maxBytes ? this.findLargest() : undefined;
  }

  release(holder: Holder): void {
    this.total -= this.bytesByHolder.get(holder) ?? 0;
    this.bytesByHolder.delete(holder);
  }

  readTotal(): number {
    return this.total;
  }

  private findLargest(): Holder | undefined {
    let largest: Holder | undefined;
    let largestBytes = -1;
    for (const [holder, bytes] of this.bytesByHolder) {
      if (bytes <= largestBytes) continue;
      largestBytes = bytes;
      largest = holder;
    }
    return largest;
  }
}
