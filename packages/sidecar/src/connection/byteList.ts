/** A buffer for bytes that arrive in pieces. */

/** Each Buffer has an overhead of some 100 bytes, so small ones are copied. */
const MIN_KEPT_PIECE_BYTES = 4 * 1024;
const TAIL_BYTES = 16 * 1024;

/**
 * Collects pieces of bytes. The memory stays close to their total size, however
 * small the pieces are.
 */
export class ByteList {
  private pieces: Buffer[] = [];
  private tail: Buffer | undefined;
  private tailLength = 0;
  private total = 0;

  /** Adds a piece; a large one is kept as it is, a small one is copied. */
  add(piece: Buffer): void {
    this.total += piece.length;
    // Usually there is only one piece, which needs no copy.
    const isSmall =
      piece.length < MIN_KEPT_PIECE_BYTES && this.pieces.length > 0;
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

  /** Returns the bytes as they are, without joining them. */
  listPieces(): readonly Buffer[] {
    this.closeTail();
    return this.pieces;
  }

  /** Drops all bytes; a list that was returned before keeps them. */
  clear(): void {
    this.pieces = [];
    this.tail = undefined;
    this.tailLength = 0;
    this.total = 0;
  }

  /** Returns all bytes in one buffer. */
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
