/** A keep-alive connection to the upstream, used for one request at a time. */
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {
  KEEP_ALIVE_SHARE,
  UPSTREAM_CONNECT_TIMEOUT_MS,
  UPSTREAM_IDLE_MS,
} from '../constants.js';
import {runAfterNextRead} from '../process/eventLoop.js';
import type {Address, HeaderList} from '../types.js';
import {GateReason} from '../types.js';
import type {ByteBudget, ExchangeBytes, ExchangeLimits} from './byteBudget.js';
import {findExceededLimit} from './byteBudget.js';
import type {BodyBytes} from './bodyBytes.js';
import {countBytes, listPieces} from './bodyBytes.js';
import {ByteList} from './byteList.js';
import {getHeader} from './headerList.js';
import type {ResponseHead} from './responseParser.js';
import {ResponseParser} from './responseParser.js';

/** A request as it is written to the upstream. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  /**
   * Returns the headers as of now, when the request is written, or undefined if
   * it is no longer wanted.
   */
  readonly buildHeaders: () => HeaderList | undefined;
  readonly body: BodyBytes;
  /** Decides to which request a response belongs; others are discarded. */
  readonly findOwner: (
    status: number,
    headers: HeaderList,
    isReused: boolean,
  ) => ResponseOwner;
}

/** The request to which a response belongs. */
export enum ResponseOwner {
  THIS_REQUEST = 'this-request',
  /** This request, which the upstream reports as not run. */
  THIS_REFUSED = 'this-refused',
  ANOTHER_REQUEST = 'another-request',
  /** It has no request id and may repeat the response of an earlier request. */
  UNCLEAR = 'unclear',
}

/** How far an exchange with the upstream got. */
export enum ExchangeEnd {
  RESPONSE = 'response',
  /** No byte of the request was sent. */
  NOT_SENT = 'not-sent',
  /** The request may have arrived, but there is no complete response. */
  LOST = 'lost',
}

/** How an exchange with the upstream ended. */
export type ExchangeResult =
  | {
      readonly end: ExchangeEnd.RESPONSE;
      readonly status: number;
      readonly headers: HeaderList;
      readonly body: Uint8Array;
    }
  | {
      readonly end: ExchangeEnd.NOT_SENT;
      /** The upstream did not accept the connection. */
      readonly isRefused: boolean;
      /** Nothing listens at the upstream's address. */
      readonly hasNoListener: boolean;
      readonly message: string;
    }
  | {
      readonly end: ExchangeEnd.LOST;
      readonly reason: GateReason;
      readonly message: string;
    };

interface RunningExchange {
  readonly request: UpstreamRequest;
  readonly settle: (result: ExchangeResult) => void;
  readonly bytes: ExchangeBytes;
}

interface PartialResponse extends ResponseHead {
  readonly owner: ResponseOwner | undefined;
  readonly body: ByteList;
}

/** What a connection needs from its pool. */
export interface ConnectionParts {
  readonly address: Address;
  readonly readMs: () => number;
  /** Limits what the upstream may send for one request. */
  readonly limits: ExchangeLimits;
  /** Limits the bytes of incomplete responses of all connections together. */
  readonly budget: ByteBudget<UpstreamConnection>;
  /** Called when the connection can take another request. */
  readonly handleIdle: (connection: UpstreamConnection) => void;
  /** Called when bytes arrive that belong to no request. */
  readonly handleUnexpectedBytes: (message: string) => void;
  /** Called on a refusal, or a response that may be another request's. */
  readonly handleAmbiguity: () => void;
  /** Called when connecting to the upstream failed. */
  readonly handleConnectFailure?: (hasNoListener: boolean) => void;
}

const FIRST_STATUS = 100;
const FIRST_FINAL_STATUS = 200;
/** Announces a change of protocol, which a node never asks for. */
const SWITCHING_PROTOCOLS = 101;
const NO_BODY_STATUSES = new Set([204, 304]);

/** Runs exchanges on a socket and parses the responses. */
export class UpstreamConnection {
  private readonly parser: ResponseParser;
  private readonly socket: Socket;
  private exchange: RunningExchange | undefined;
  private response: PartialResponse | undefined;
  private isConnected = false;
  private hasNoListener = false;
  private isClosed = false;
  /** Whether bytes of the request may have reached the upstream. */
  private isSent = false;
  private idleSinceMs = 0;
  private isReused = false;
  /** Whether a response has arrived that may belong to another request. */
  private hasForeignResponse = false;
  /** Whether a refusal was read, which a faulty upstream may send twice. */
  private hasReadRefusal = false;
  private maxIdleMs = UPSTREAM_IDLE_MS;

  constructor(private readonly parts: ConnectionParts) {
    this.parser = new ResponseParser({
      handleHead: (head) => this.startResponse(head),
      handleBody: (piece) => this.addBody(piece),
      handleEnd: () => this.finishResponse(),
    });
    const {host, port} = parts.address;
    this.socket = connect({host, port, allowHalfOpen: true});
    this.socket.setNoDelay(true);
    // Timers run before sockets are read: a process that was behind may not
    // have read yet that the connection is open.
    this.socket.setTimeout(UPSTREAM_CONNECT_TIMEOUT_MS, () =>
      runAfterNextRead(() => {
        if (!this.isConnected) this.close('connecting took too long');
      }),
    );
    this.socket.on('connect', () => {
      this.isConnected = true;
      this.socket.setTimeout(0);
      if (this.exchange) this.send();
      else this.offerIdle();
    });
    this.socket.on('data', (chunk) => this.receive(chunk));
    this.socket.on('end', () => this.finishStream());
    this.socket.on('error', (error: NodeJS.ErrnoException) => {
      this.hasNoListener = error.code === 'ECONNREFUSED';
      this.close(error.message);
    });
    this.socket.on('close', () => this.close('connection closed'));
  }

  /** Runs an exchange; the connection must be idle. Never rejects. */
  run(request: UpstreamRequest): Promise<ExchangeResult> {
    return new Promise((resolve) => {
      if (this.isClosed) {
        const message = 'connection was closed while idle';
        resolve(createUnsent(message));
        return;
      }
      const bytes = {received: 0, body: 0};
      this.isSent = false;
      this.exchange = {request, settle: resolve, bytes};
      if (this.isConnected) this.send();
    });
  }

  /** Whether it is open and has been idle for less than the given time. */
  isReusable(maxIdleMs: number): boolean {
    const idleMs = this.parts.readMs() - this.idleSinceMs;
    return !this.isClosed && idleMs < Math.min(maxIdleMs, this.maxIdleMs);
  }

  /** Whether the upstream may have read bytes of the running request. */
  hasSent(): boolean {
    return this.exchange !== undefined && this.isSent;
  }

  /** Whether a refusal that arrives next must belong to the next request. */
  isRefusalUnambiguous(): boolean {
    return !this.hasReadRefusal;
  }

  /** Closes the connection; a running exchange ends as lost or not sent. */
  close(message: string, reason = GateReason.CONNECTION_LOST): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.socket.destroy();
    const isRefused = !this.isConnected;
    const {hasNoListener} = this;
    if (isRefused) this.parts.handleConnectFailure?.(hasNoListener);
    this.settle(
      this.isSent
        ? {end: ExchangeEnd.LOST, reason, message}
        : {...createUnsent(message), isRefused, hasNoListener},
    );
  }

  /** Makes a connection that was opened without a request available. */
  private offerIdle(): void {
    this.idleSinceMs = this.parts.readMs();
    this.parts.handleIdle(this);
  }

  private send(): void {
    if (!this.exchange) return;
    const {request} = this.exchange;
    const headers = request.buildHeaders();
    if (!headers) {
      this.settle(createUnsent('request is no longer wanted'));
      this.offerIdle();
      return;
    }
    this.socket.cork();
    this.socket.write(renderHead(request, headers), 'latin1');
    for (const piece of listPieces(request.body)) {
      if (piece.length > 0) this.socket.write(piece);
    }
    this.socket.uncork();
    // The first write is attempted synchronously; if it fails, nothing was
    // sent.
    const {errored} = this.socket;
    if (errored) this.close(errored.message);
    else this.isSent = true;
  }

  private receive(chunk: Buffer): void {
    if (this.isClosed) return;
    const bytes = this.exchange?.bytes;
    if (!bytes) {
      const message = 'upstream sent bytes while no request was running';
      this.parts.handleUnexpectedBytes(message);
      this.close(message);
      return;
    }
    bytes.received += chunk.length;
    const error = this.parser.add(chunk);
    if (!this.exchange) return;
    this.checkBytes(bytes);
    if (error) {
      const message = `upstream sent an invalid response: ${error.message}`;
      this.close(message, GateReason.BAD_RESPONSE);
    }
  }

  private checkBytes(bytes: ExchangeBytes): void {
    const excess = findExceededLimit(bytes, this.parts.limits);
    if (excess) this.close(excess, GateReason.RESPONSE_TOO_LARGE);
  }

  /**
   * Handles the end of the upstream's side, which completes a body without a
   * length. A reset that follows data is reported as an end too. Only a write
   * can tell the two apart; it writes an empty line, which starts no request.
   */
  private finishStream(): void {
    if (this.isClosed || !this.response) {
      this.close('upstream closed the connection');
      return;
    }
    this.socket.write('\r\n', (error) => {
      if (!error && !this.isClosed) this.parser.finish();
      this.close('upstream closed the connection');
    });
  }

  /** Returns whether a body may follow. */
  private startResponse(head: ResponseHead): boolean {
    const {request} = this.exchange ?? {};
    if (!request) return false;
    const {status, headers} = head;
    if (!isExpectedStatus(status)) {
      this.close(`upstream sent status ${status}`, GateReason.BAD_RESPONSE);
      return false;
    }
    const owner = this.findOwner(request, head);
    this.response = {...head, owner, body: new ByteList()};
    const length = Number(getHeader(headers, 'content-length') ?? 0);
    if (request.method === 'HEAD' || NO_BODY_STATUSES.has(status)) return false;
    if (length > this.parts.limits.maxBodyBytes) {
      const message = `upstream announced a body of ${length} bytes`;
      this.close(message, GateReason.RESPONSE_TOO_LARGE);
    }
    return true;
  }

  /** Finds the owner of a response; an interim response has none. */
  private findOwner(
    request: UpstreamRequest,
    {status, headers}: ResponseHead,
  ): ResponseOwner | undefined {
    if (status < FIRST_FINAL_STATUS) return undefined;
    const owner = request.findOwner(status, headers, this.isReused);
    const isRefusal = owner === ResponseOwner.THIS_REFUSED;
    const isExpected = isRefusal || owner === ResponseOwner.THIS_REQUEST;
    if (isRefusal) this.hasReadRefusal = true;
    if (!isExpected) this.hasForeignResponse = true;
    if (isRefusal || !isExpected) this.parts.handleAmbiguity();
    return owner;
  }

  private addBody(piece: Buffer): void {
    const {response, exchange} = this;
    if (!response || !exchange) return;
    exchange.bytes.body += piece.length;
    this.checkBytes(exchange.bytes);
    if (!isForThisRequest(response) || this.isClosed) return;
    response.body.add(piece);
    const largest = this.parts.budget.reserve(this, piece.length);
    largest?.close(
      'incomplete responses of all connections exceed the budget',
      GateReason.MEMORY_FULL,
    );
  }

  private finishResponse(): void {
    const {response} = this;
    this.response = undefined;
    if (!response || !isForThisRequest(response) || !this.exchange) return;
    const {status, headers, isKeptAlive} = response;
    const body = response.body.join();
    this.maxIdleMs = readIdleMs(headers);
    this.idleSinceMs = this.parts.readMs();
    const isFlushed = this.socket.writableLength === 0;
    const hasLength = hasDelimiter(status, headers);
    const isLastReceived = !this.parser.hasUnparsedBytes();
    const isReusable =
      isKeptAlive &&
      isFlushed &&
      hasLength &&
      isLastReceived &&
      !this.hasForeignResponse;
    this.isReused = true;
    this.settle({end: ExchangeEnd.RESPONSE, status, headers, body});
    if (isReusable) this.parts.handleIdle(this);
    else this.close('connection is not reused');
  }

  private settle(result: ExchangeResult): void {
    const {exchange} = this;
    this.exchange = undefined;
    this.response = undefined;
    this.parts.budget.release(this);
    exchange?.settle(result);
  }
}

/** Whether a final response can follow, or this one is final. */
function isExpectedStatus(status: number): boolean {
  return status >= FIRST_STATUS && status !== SWITCHING_PROTOCOLS;
}

function isForThisRequest({owner}: PartialResponse): boolean {
  return (
    owner === ResponseOwner.THIS_REQUEST || owner === ResponseOwner.THIS_REFUSED
  );
}

function createUnsent(message: string) {
  return {
    end: ExchangeEnd.NOT_SENT,
    isRefused: false,
    hasNoListener: false,
    message,
  } as const;
}

function renderHead(
  {method, path, body}: UpstreamRequest,
  headers: HeaderList,
): string {
  let head = `${method} ${path} HTTP/1.1\r\n`;
  for (let index = 0; index < headers.length; index += 2) {
    head += `${headers[index]}: ${headers[index + 1]}\r\n`;
  }
  const length = countBytes(body);
  if (length > 0 || !isBodyless(method)) {
    head += `Content-Length: ${length}\r\n`;
  }
  return `${head}\r\n`;
}

function isBodyless(method: string): boolean {
  return method === 'GET' || method === 'HEAD' || method === 'DELETE';
}

/** Whether the end of the body is marked other than by the connection's end. */
function hasDelimiter(status: number, headers: HeaderList): boolean {
  return (
    NO_BODY_STATUSES.has(status) ||
    getHeader(headers, 'content-length') !== undefined ||
    getHeader(headers, 'transfer-encoding') !== undefined
  );
}

function readIdleMs(headers: HeaderList): number {
  const keepAlive = getHeader(headers, 'keep-alive') ?? '';
  const seconds = /timeout=(\d+)/.exec(keepAlive)?.[1];
  if (seconds === undefined) return UPSTREAM_IDLE_MS;
  return Math.min(UPSTREAM_IDLE_MS, Number(seconds) * 1000 * KEEP_ALIVE_SHARE);
}
