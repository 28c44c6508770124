/** Reads the bodies of requests within the budget of the process. */
import type {IncomingMessage} from 'node:http';
import type {BodyBytes} from '../connection/bodyBytes.js';
import {ByteList} from '../connection/byteList.js';
import {getHeader} from '../connection/headerList.js';
import type {SegmentPool} from '../connection/segmentList.js';
import {SegmentList} from '../connection/segmentList.js';
import type {HeldBody, HeldBytes} from '../process/heldBytes.js';
import type {HeaderList} from '../types.js';

/** Whether the headers of a request announce a body. */
export function hasBody(headers: HeaderList): boolean {
  return (
    getHeader(headers, 'content-length') !== undefined ||
    getHeader(headers, 'transfer-encoding') !== undefined
  );
}

/** Returns the announced length of a body; undefined if it is chunked. */
export function readAnnouncedBytes(headers: HeaderList): number | undefined {
  const length = getHeader(headers, 'content-length');
  return length === undefined ? undefined : Number(length);
}

/** Why a body was not read completely. */
export enum BodyFault {
  TOO_LARGE = 'too-large',
  /** The process has no memory for it. */
  NO_MEMORY = 'no-memory',
  /** It was not complete at the request's deadline. */
  LATE = 'late',
}

/** Dependencies of a body. */
export interface RequestBodyParts {
  readonly request: IncomingMessage;
  readonly held: HeldBytes;
  readonly pool: SegmentPool;
  readonly maxBytes: number;
  /** Time until the request's deadline, ms. */
  readonly leftMs: number;
  readonly handle: (body: BodyBytes) => void;
  readonly handleFault: (fault: BodyFault) => void;
}

/** First part of a body, which is kept in buffers of its size. */
const SMALL_PART_BYTES = 64 * 1024;

/** Reads one body; one of its handlers is called once, unless it is closed. */
export class RequestBody implements HeldBody {
  private readonly bytes = new ByteList();
  private readonly segments: SegmentList;
  private received = 0;
  private readonly timer: NodeJS.Timeout;
  private isStarted = false;
  private isEnded = false;

  constructor(private readonly parts: RequestBodyParts) {
    this.segments = new SegmentList(parts.pool);
    const leftMs = Math.max(0, parts.leftMs);
    this.timer = setTimeout(() => this.endWith(BodyFault.LATE), leftMs);
  }

  /** Reads once the bytes are admitted. */
  start(): void {
    const {request, held} = this.parts;
    request.on('error', () => request.destroy());
    held.open(this, readAnnouncedBytes(request.rawHeaders));
  }

  resume(): void {
    if (this.isEnded) return;
    const {request} = this.parts;
    if (!this.isStarted) {
      this.isStarted = true;
      request.on('data', this.add);
      request.on('end', this.finish);
    }
    request.resume();
  }

  refuse(): void {
    this.endWith(BodyFault.NO_MEMORY);
  }

  /** Gives the bytes back and reads no further. */
  close(): void {
    this.end();
    this.parts.held.release(this);
  }

  private readonly add = (chunk: Buffer): void => {
    const {request, held, maxBytes} = this.parts;
    const isSmall = this.received + chunk.length <= SMALL_PART_BYTES;
    this.received += chunk.length;
    if (isSmall) this.bytes.add(chunk);
    else this.segments.add(chunk);
    if (this.received > maxBytes) this.endWith(BodyFault.TOO_LARGE);
    else if (!held.advance(this, chunk.length)) request.pause();
  };

  private readonly finish = (): void => {
    const pieces = [...this.bytes.listPieces(), ...this.segments.take()];
    this.end();
    this.parts.held.finish(this);
    this.parts.handle(pieces);
  };

  private endWith(fault: BodyFault): void {
    if (this.isEnded) return;
    this.close();
    this.parts.handleFault(fault);
  }

  private end(): void {
    this.isEnded = true;
    clearTimeout(this.timer);
    this.bytes.clear();
    this.segments.clear();
    this.parts.request.off('data', this.add);
    this.parts.request.off('end', this.finish);
  }
}
