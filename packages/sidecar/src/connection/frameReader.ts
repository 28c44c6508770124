/** Splits the bytes of a link into frames, within a memory budget. */
import {MAX_FRAME_BYTES} from '../constants.js';
import type {HeldBytes} from '../process/heldBytes.js';
import {FrameError} from './frameFields.js';
import type {Frame} from './frame.js';
import type {FrameHead} from './frameHead.js';
import {FRAME_HEAD_BYTES, decodeFrameHead} from './frameHead.js';
import {LENGTH_BYTES, decodeFrame} from './peerFrames.js';

/** Dependencies of a frame reader. */
export interface FrameReaderParts {
  /** Handles a frame; it has to call `release` when its bytes are not used. */
  readonly handle: (frame: Frame, release: () => void) => void;
  /** The budget for the frames of all links. */
  readonly held: Pick<HeldBytes, 'hold'>;
  /** Handles a frame that was not kept, as there was no memory for it. */
  readonly handleSkipped: (head: FrameHead) => void;
}

/** The frame that is being received. */
interface PartialFrame {
  /** Content, or only its first bytes if the frame is not kept. */
  readonly content: Buffer;
  readonly length: number;
  received: number;
  /** Gives back the bytes of the frame; absent if it is not kept. */
  readonly release: (() => void) | undefined;
}

/** Splits a stream of bytes into frames. */
export class FrameReader {
  private readonly prefix = Buffer.alloc(LENGTH_BYTES);
  private prefixLength = 0;
  private frame: PartialFrame | undefined;
  private isClosed = false;

  constructor(private readonly parts: FrameReaderParts) {}

  /**
   * Adds received bytes and handles each complete frame. Throws an error if a
   * frame is too large or malformed.
   */
  add(chunk: Buffer): void {
    let position = 0;
    while (position < chunk.length && !this.isClosed) {
      const rest = chunk.subarray(position);
      position += this.frame
        ? this.addContent(this.frame, rest)
        : this.addPrefix(rest);
    }
  }

  /** Whether the bytes read last belong to a frame that is not complete. */
  isInFrame(): boolean {
    return this.frame !== undefined;
  }

  /** Discards the bytes of an incomplete frame and ignores further ones. */
  close(): void {
    this.isClosed = true;
    this.frame?.release?.();
    this.frame = undefined;
  }

  /** Adds bytes of the length, and returns how many were used. */
  private addPrefix(bytes: Buffer): number {
    const missing = LENGTH_BYTES - this.prefixLength;
    const used = bytes.copy(this.prefix, this.prefixLength, 0, missing);
    this.prefixLength += used;
    if (this.prefixLength < LENGTH_BYTES) return used;
    this.prefixLength = 0;
    const length = this.prefix.readUInt32BE(0);
    if (length > MAX_FRAME_BYTES)
      throw new FrameError(`frame of ${length} bytes is too large`);
    const isWhole = bytes.length - used >= length;
    if (!isWhole) {
      this.frame = this.startFrame(length);
      return used;
    }
    // A small frame that has arrived in one piece is not copied.
    this.deliver(bytes.subarray(used, used + length), () => undefined);
    return used + length;
  }

  private startFrame(length: number): PartialFrame {
    const release = this.parts.held.hold(length);
    const kept = release ? length : Math.min(length, FRAME_HEAD_BYTES);
    const content = Buffer.allocUnsafeSlow(kept);
    return {content, length, received: 0, release};
  }

  /** Adds bytes of a frame, and returns how many were used. */
  private addContent(frame: PartialFrame, bytes: Buffer): number {
    const {content, length, release} = frame;
    const used = Math.min(bytes.length, length - frame.received);
    if (frame.received < content.length)
      bytes.copy(content, frame.received, 0, used);
    frame.received += used;
    if (frame.received < length) return used;
    this.frame = undefined;
    if (release) {
      this.deliver(content, release);
      return used;
    }
    const head = decodeFrameHead(content);
    if (head) this.parts.handleSkipped(head);
    return used;
  }

  private deliver(content: Buffer, release: () => void): void {
    let frame: Frame | undefined;
    try {
      frame = decodeFrame(content);
    } catch (error) {
      release();
      throw error;
    }
    if (frame) this.parts.handle(frame, release);
    else release();
  }
}
