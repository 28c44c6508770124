/** Parses HTTP responses, stricter than the underlying library. */
import {HTTPParser} from 'http-parser-js';
import {SycamoreyokeError} from 'sycamoreyoke/errors';
import type {HeaderList} from '../types.js';

/** The bytes are not a valid HTTP response. */
export class ResponseError extends SycamoreyokeError {}

/** The head of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: HeaderList;
  readonly isKeptAlive: boolean;
}

/** Called with the parts of responses as they arrive. */
export interface ResponseEvents {
  /** Returns whether a body may follow. */
  readonly handleHead: (head: ResponseHead) => boolean;
  readonly handleBody: (piece: Buffer) => void;
  readonly handleEnd: () => void;
}

/** States of the library's parser that matter here. */
enum ParserState {
  STATUS_LINE = 'RESPONSE_LINE',
  HEADER = 'HEADER',
  CHUNK_HEAD = 'BODY_CHUNKHEAD',
}

/** The library's parser, with members that are missing from its types. */
interface LineParser {
  readonly state: ParserState;
  readonly offset: number;
  readonly end: number;
  readonly line: string;
  readonly info: {readonly headers: HeaderList};
  [HTTPParser.kOnHeadersComplete]: (info: {
    readonly statusCode: number;
    readonly headers: HeaderList;
    readonly shouldKeepAlive: boolean;
  }) => number;
  [HTTPParser.kOnBody]: (
    buffer: Buffer,
    offset: number,
    length: number,
  ) => void;
  [HTTPParser.kOnMessageComplete]: () => void;
  execute(chunk: Buffer): number | Error;
  finish(): void | Error;
  consumeLine(): string | undefined;
  parseHeader(line: string, headers: string[]): void;
}

/** Tells the library that a response has no body. */
const SKIP_BODY = 1;
const PROTOCOL = 'HTTP/1.';
/** Incomplete status lines up to this length are checked with each piece. */
const MAX_PARTIAL_STATUS_LINE = 64;
const HEADER_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** Eight hex digits are enough for every size within the body limit. */
const CHUNK_HEAD = /^[0-9a-f]{1,8}[ \t]*(?:;|$)/i;
const LENGTH = /^\d{1,15}$/;

const LibraryParser = HTTPParser as unknown as new (type: string) => LineParser;
// The default drops the high bit of each byte, which can produce a line break.
HTTPParser.encoding = 'latin1';
// The bytes of an exchange are limited by the connection.
HTTPParser.maxHeaderSize = Infinity;

/**
 * Rejects what the library accepts: it treats an invalid or negative chunk size
 * or length as an end or reads bytes again, and it drops invalid header lines.
 */
class StrictParser extends LibraryParser {
  override consumeLine(): string | undefined {
    const {state} = this;
    const line = super.consumeLine();
    if (state === ParserState.STATUS_LINE) {
      checkProtocol(line ?? this.line);
    } else if (line === '' && state === ParserState.HEADER) {
      checkFraming(this.info.headers);
    } else if (line !== undefined && state === ParserState.CHUNK_HEAD) {
      if (!CHUNK_HEAD.test(line)) throw new ResponseError('invalid chunk size');
    }
    return line;
  }

  /** Parses a header line; a leading blank continues the previous header. */
  override parseHeader(line: string, headers: string[]): void {
    const isContinued = line.startsWith(' ') || line.startsWith('\t');
    if (isContinued && headers.length > 0) {
      headers.push(`${headers.pop()} ${line.trim()}`.trim());
      return;
    }
    const colon = line.indexOf(':');
    const name = line.slice(0, Math.max(0, colon));
    if (!HEADER_NAME.test(name)) throw new ResponseError('invalid header line');
    headers.push(name, line.slice(colon + 1).trim());
  }
}

/** Parses the consecutive responses of one connection. */
export class ResponseParser {
  private readonly parser = new StrictParser(HTTPParser.RESPONSE);

  constructor(events: ResponseEvents) {
    const {parser} = this;
    parser[HTTPParser.kOnHeadersComplete] = (info) => {
      const mayHaveBody = events.handleHead({
        status: info.statusCode,
        headers: info.headers,
        isKeptAlive: info.shouldKeepAlive,
      });
      return mayHaveBody ? 0 : SKIP_BODY;
    };
    parser[HTTPParser.kOnBody] = (buffer, offset, length) =>
      events.handleBody(buffer.subarray(offset, offset + length));
    parser[HTTPParser.kOnMessageComplete] = events.handleEnd;
  }

  /** Parses bytes; returns an error if they are not a valid response. */
  add(chunk: Buffer): Error | undefined {
    const consumed = this.parser.execute(chunk);
    return consumed instanceof Error ? consumed : undefined;
  }

  /** Handles the end of the connection, which ends a body without a length. */
  finish(): void {
    this.parser.finish();
  }

  /** Whether the current chunk has bytes that were not parsed yet. */
  hasUnparsedBytes(): boolean {
    return this.parser.offset < this.parser.end;
  }
}

/** Throws a ResponseError if a line cannot become a status line. */
function checkProtocol(line: string): void {
  if (line.length > MAX_PARTIAL_STATUS_LINE) return;
  const expectedPrefix = PROTOCOL.slice(0, line.length);
  if (!line.startsWith(expectedPrefix))
    throw new ResponseError('invalid status line');
}

/** Throws a ResponseError if the end of the body is ambiguous. */
function checkFraming(headers: HeaderList): void {
  const lengths = new Set<string>();
  let isChunked = false;
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index]?.toLowerCase();
    const value = headers[index + 1] ?? '';
    if (name === 'content-length') lengths.add(value);
    if (name !== 'transfer-encoding') continue;
    if (value.toLowerCase() !== 'chunked') {
      throw new ResponseError('unknown transfer encoding');
    }
    isChunked = true;
  }
  const isValid = [...lengths].every((length) => LENGTH.test(length));
  if (!isValid || lengths.size + Number(isChunked) > 1) {
    throw new ResponseError('ambiguous body length');
  }
}
