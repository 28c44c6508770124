/** Encodes the fields of a frame without copying large bodies. */
import type {Packr} from 'msgpackr';
import type {BodyBytes} from './bodyBytes.js';
import {countBytes, listPieces} from './bodyBytes.js';

/** Larger bodies are written as they are, smaller ones are copied. */
const MAX_COPIED_BYTES = 64 * 1024;
/** First byte of a MessagePack list with fewer than 16 elements. */
const SHORT_LIST = 0x90;
const MAX_SHORT_LIST = 15;
/** First byte of binary data with a length of four bytes. */
const BINARY_32 = 0xc6;
const BINARY_HEAD_BYTES = 5;

/** A body among the fields of a frame that is written as it is. */
export class LargeBody {
  readonly length: number;

  constructor(readonly body: BodyBytes) {
    this.length = countBytes(body);
  }
}

/** Returns the field for a body. */
export function buildBody(body: BodyBytes): Uint8Array | LargeBody {
  if (countBytes(body) > MAX_COPIED_BYTES) return new LargeBody(body);
  if (body instanceof Uint8Array) return body;
  const [first, ...rest] = body;
  return first && rest.length === 0 ? first : Buffer.concat(body);
}

/** Encodes a value as the buffers that follow one another. */
export function encodeParts(packr: Packr, value: unknown): Uint8Array[] {
  if (value instanceof LargeBody) {
    const head = Buffer.alloc(BINARY_HEAD_BYTES, BINARY_32);
    head.writeUInt32BE(value.length, 1);
    return [head, ...listPieces(value.body)];
  }
  if (!hasLargeBody(value) || value.length > MAX_SHORT_LIST)
    return [packr.pack(value)];
  const head = Buffer.of(SHORT_LIST + value.length);
  return [head, ...value.flatMap((field) => encodeParts(packr, field))];
}

function hasLargeBody(value: unknown): value is readonly unknown[] {
  return (
    Array.isArray(value) &&
    value.some((field) => field instanceof LargeBody || hasLargeBody(field))
  );
}
