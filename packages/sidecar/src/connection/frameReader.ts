/** Splits the bytes of a link into frames, within a memory budget. */
import {MAX_FRAME_BYTES} from '../constants.js';
import type {ByteBudget} from './byteBudget.js';
import {ByteList} from './byteList.js';
import {FrameError} from './frameFields.js';
import type {Frame} from './frame.js';
import {LENGTH_BYTES, decodeFrame} from './peerFrames.js';

/** Dependencies of a frame reader. */
export interface FrameReaderParts {
  readonly handle: (frame: Frame) => void;
  /** Limits the bytes of incomplete frames of all links together. */
  readonly budget: ByteBudget<FrameReader>;
  /** Called when the link has to close because the budget is exceeded. */
  readonly handleExcess: (message: string) => void;
}

/** Splits a stream of bytes into frames. */
export class FrameReader {
  private bytes = new ByteList();
  private neededBytes = LENGTH_BYTES;
  private isInContent = false;
  private isClosed = false;

  constructor(private readonly parts: FrameReaderParts) {}

  /**
   * Adds received bytes and handles each complete frame. Throws an error if a
   * frame is too large or malformed.
   */
  add(chunk: Buffer): void {
    if (this.isClosed) return;
    this.bytes.add(chunk);
    while (this.bytes.readLength() >= this.neededBytes) {
      const part = this.take(this.neededBytes);
      if (this.isInContent) {
        this.isInContent = false;
        this.neededBytes = LENGTH_BYTES;
        const frame = decodeFrame(part);
        if (frame) this.parts.handle(frame);
      } else {
        this.neededBytes = part.readUInt32BE(0);
        this.isInContent = true;
        if (this.neededBytes > MAX_FRAME_BYTES) {
          throw new FrameError(
            `frame of ${this.neededBytes} bytes is too large`,
          );
        }
      }
    }
    this.reserveBytes();
  }

  /** Discards the bytes of an incomplete frame and ignores further ones. */
  close(): void {
    this.isClosed = true;
    this.bytes = new ByteList();
    this.parts.budget.release(this);
  }

  private reserveBytes(): void {
    const {budget} = this.parts;
    budget.release(this);
    const length = this.bytes.readLength();
    if (length === 0 || this.isClosed) return;
    budget.reserve(this, length)?.closeOverBudget();
  }

  private closeOverBudget(): void {
    this.close();
    this.parts.handleExcess('incomplete frames of all links exceed the budget');
  }

  private take(length: number): Buffer {
    const received = this.bytes.join();
    this.bytes = new ByteList();
    if (received.length > length) this.bytes.add(received.subarray(length));
    return received.subarray(0, length);
  }
}
