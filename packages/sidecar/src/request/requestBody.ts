/** Reads the bodies of requests. */
import type {IncomingMessage} from 'node:http';
import {ByteList} from '../connection/byteList.js';
import {getHeader} from '../connection/headerList.js';
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

/** Reads a whole body; calls back with undefined if it is too large. */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  handle: (body: Uint8Array | undefined) => void,
): void {
  let bytes: ByteList | undefined = new ByteList();
  request.on('data', (chunk: Buffer) => {
    bytes?.add(chunk);
    if (!bytes || bytes.readLength() <= maxBytes) return;
    bytes = undefined;
    handle(undefined);
  });
  request.on('end', () => {
    if (bytes) handle(bytes.join());
  });
  request.on('error', () => request.destroy());
}
