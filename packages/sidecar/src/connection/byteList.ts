/** Bytes that arrive in pieces. */

/** Each buffer costs some hundred bytes, so smaller pieces are copied. */
const SMALL_PIECE_BYTES = 4 * 1024;
const TAIL_BYTES = 16 * 1024;

/** Keeps pieces in memory of about their size, however small they are. */
export class ByteList {
  private readonly pieces: Buffer[] = [];
  private tail: Buffer | undefined;
  private tailLength = 0;
  private total = 0;

  /** Keeps the memory of a large piece, and a copy of a small one. */
  add(piece: Buffer): void {
    this.total += piece.length;
    // A single piece is the usual case and needs no copy.
    const isSmall = piece.length < SMALL_PIECE_BYTES && this.pieces.length > 0;
    if (!isSmall) {
      this.closeTail();
      this.pieces.push(piece);
      return;
    }
    if (this.tailLength + piece.length > TAIL_BYTES) this.closeTail();
    this.tail ??= Buffer.allocUnsafeSlow(TAIL_BYTES);
    piece.copy(this.tail, this.tailLength);
    this.tailLength += piece.length;
  }

  readLength(): number {
    return this.total;
  }

  /** All bytes in one buffer. */
  join(): Buffer {
    this.closeTail();
    const [first, ...rest] = this.pieces;
    if (first && rest.length === 0) return first;
    return Buffer.concat(this.pieces, this.total);
  }

  private closeTail(): void {
    const filled = this.tail?.subarray(0, this.tailLength);
    if (filled) {
      const isHalfEmpty = 2 * filled.length < TAIL_BYTES;
      this.pieces.push(isHalfEmpty ? Buffer.from(filled) : filled);
    }
    this.tail = undefined;
    this.tailLength = 0;
  }
}
