/** Cuts what arrives on a link into frames, within a budget of bytes. */
import {MAX_FRAME_BYTES} from '../constants.js';
import type {ByteBudget} from './byteBudget.js';
import {ByteList} from './byteList.js';
import {FrameError} from './frameFields.js';
import type {Frame} from './peerFrames.js';
import {LENGTH_BYTES, decodeFrame} from './peerFrames.js';

/** What a reader of frames needs of its link. */
export interface FrameReaderParts {
  readonly handle: (frame: Frame) => void;
  /** Bytes of unfinished frames, of all links together. */
  readonly budget: ByteBudget<FrameReader>;
  /** Called when the link has to close for the sake of the others. */
  readonly handleExcess: (message: string) => void;
}

/** Cuts a stream of bytes into frames. */
export class FrameReader {
  private bytes = new ByteList();
  private wanted = LENGTH_BYTES;
  private isInContent = false;
  private isClosed = false;

  constructor(private readonly parts: FrameReaderParts) {}

  /** Takes bytes in and hands on each frame that is complete. */
  add(chunk: Buffer): void {
    if (this.isClosed) return;
    this.bytes.add(chunk);
    while (this.bytes.readLength() >= this.wanted) {
      const part = this.take(this.wanted);
      if (this.isInContent) {
        this.isInContent = false;
        this.wanted = LENGTH_BYTES;
        const frame = decodeFrame(part);
        if (frame) this.parts.handle(frame);
      } else {
        this.wanted = part.readUInt32BE(0);
        this.isInContent = true;
        if (this.wanted > MAX_FRAME_BYTES) {
          throw new FrameError(`frame of ${this.wanted} bytes is too large`);
        }
      }
    }
    this.reserveBytes();
  }

  /** Gives the bytes of an unfinished frame up. */
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
    budget.reserve(this, length)?.closeForOthers();
  }

  private closeForOthers(): void {
    this.close();
    this.parts.handleExcess('unfinished frames are too large together');
  }

  private take(length: number): Buffer {
    const whole = this.bytes.join();
    this.bytes = new ByteList();
    if (whole.length > length) this.bytes.add(whole.subarray(length));
    return whole.subarray(0, length);
  }
}
