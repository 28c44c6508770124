/** Parses responses; refuses what the parser's library would guess at. */
import {HTTPParser} from 'http-parser-js';
import {SycamoreyokeError} from 'sycamoreyoke/errors';
import type {HeaderList} from '../types.js';

/** Bytes that are no response. */
export class ResponseError extends SycamoreyokeError {}

/** What is known once the head of a response is complete. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: HeaderList;
  readonly isKeptAlive: boolean;
}

/** Takes the parts of responses as they arrive. */
export interface ResponseEvents {
  /** Says whether a body may follow. */
  readonly handleHead: (head: ResponseHead) => boolean;
  readonly handleBody: (piece: Buffer) => void;
  readonly handleEnd: () => void;
}

/** States of the library's parser; it has others. */
enum ParserState {
  STATUS_LINE = 'RESPONSE_LINE',
  HEADER = 'HEADER',
  CHUNK_HEAD = 'BODY_CHUNKHEAD',
}

/** The library's parser with the members that its types hide. */
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
/** Length up to which an unfinished status line is looked at again. */
const STATUS_LINE_PROBE = 64;
const HEADER_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** Eight digits hold every size below the limit of a body. */
const CHUNK_HEAD = /^[0-9a-f]{1,8}[ \t]*(?:;|$)/i;
const LENGTH = /^\d{1,15}$/;

const LibraryParser = HTTPParser as unknown as new (type: string) => LineParser;
// The default drops the high bit of each byte, which can make a line break.
HTTPParser.encoding = 'latin1';
// The bytes of an exchange have a limit of their own.
HTTPParser.maxHeaderSize = Infinity;

/**
 * The library takes a chunk size or a length that is no number, or is below
 * zero, for an end or steps back; it drops header lines that it cannot read.
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
      if (!CHUNK_HEAD.test(line)) throw new ResponseError('bad chunk size');
    }
    return line;
  }

  /** A line that begins with a blank goes on with the header before it. */
  override parseHeader(line: string, headers: string[]): void {
    const isContinued = line.startsWith(' ') || line.startsWith('\t');
    if (isContinued && headers.length > 0) {
      headers.push(`${headers.pop()} ${line.trim()}`.trim());
      return;
    }
    const colon = line.indexOf(':');
    const name = line.slice(0, Math.max(0, colon));
    if (!HEADER_NAME.test(name)) throw new ResponseError('bad header line');
    headers.push(name, line.slice(colon + 1).trim());
  }
}

/** Owns the state between the bytes of a connection. */
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

  /** Takes bytes in; gives an error where they are no response. */
  add(chunk: Buffer): Error | undefined {
    const consumed = this.parser.execute(chunk);
    return consumed instanceof Error ? consumed : undefined;
  }

  /** The connection has ended, which ends a body without a length. */
  finish(): void {
    this.parser.finish();
  }

  /** Whether more bytes came together with those that were parsed. */
  hasMore(): boolean {
    return this.parser.offset < this.parser.end;
  }
}

/** Gives bytes up that cannot become a status line. */
function checkProtocol(line: string): void {
  if (line.length > STATUS_LINE_PROBE) return;
  const wanted = PROTOCOL.slice(0, line.length);
  if (!line.startsWith(wanted)) throw new ResponseError('no status line');
}

/** The end of a body must be beyond doubt. */
function checkFraming(headers: HeaderList): void {
  const lengths = new Set<string>();
  let isChunked = false;
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index]?.toLowerCase();
    const value = headers[index + 1] ?? '';
    if (name === 'content-length') lengths.add(value);
    if (name !== 'transfer-encoding') continue;
    if (value.toLowerCase() !== 'chunked') {
      throw new ResponseError('transfer encoding is not known');
    }
    isChunked = true;
  }
  const isValid = [...lengths].every((length) => LENGTH.test(length));
  if (!isValid || lengths.size + Number(isChunked) > 1) {
    throw new ResponseError('length of the body is not clear');
  }
}
