/** Collects bytes in buffers that can be used again. */

const SEGMENT_BYTES = 256 * 1024;

/**
 * Keeps the buffers of bodies that were dropped. Buffers are freed only when
 * the garbage collector runs, which it does after some 64 MB more.
 */
export class SegmentPool {
  private readonly free: Buffer[] = [];

  constructor(private readonly maxBytes: number) {}

  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(SEGMENT_BYTES);
  }

  /** Takes buffers back to which no other reference may exist. */
  release(segments: readonly Buffer[]): void {
    for (const segment of segments) {
      if ((this.free.length + 1) * SEGMENT_BYTES > this.maxBytes) return;
      this.free.push(segment);
    }
  }
}

/** Copies bytes into segments of a pool. */
export class SegmentList {
  private segments: Buffer[] = [];
  private total = 0;

  constructor(private readonly pool: SegmentPool) {}

  add(bytes: Buffer): void {
    let position = 0;
    while (position < bytes.length) {
      const offset = this.total % SEGMENT_BYTES;
      if (offset === 0) this.segments.push(this.pool.take());
      const segment = this.segments.at(-1) as Buffer;
      const copied = bytes.copy(segment, offset, position);
      position += copied;
      this.total += copied;
    }
  }

  /** Returns the bytes; their segments are not used again. */
  take(): readonly Buffer[] {
    const {segments, total} = this;
    this.segments = [];
    this.total = 0;
    return segments.map((segment, index) =>
      segment.subarray(0, total - index * SEGMENT_BYTES),
    );
  }

  /** Drops the bytes and gives their segments back. */
  clear(): void {
    this.pool.release(this.segments);
    this.segments = [];
    this.total = 0;
  }
}
