/** A client connection with pipelined requests, answered in their order. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {ConnectionOwner} from 'sycamoreyoke/connection/connectionOwner';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Metrics} from 'sycamoreyoke/process/metrics';
import type {ByteBudget} from './byteBudget.js';
import {runAfterNextRead} from '../process/eventLoop.js';
import {
  CLIENT_LINGER_MS,
  LATE_READ_MS,
  MAX_PIPELINED_REQUESTS,
  MAX_WAITING_BYTES,
} from '../constants.js';
import {ClientExchange, ExchangeState} from './clientExchange.js';

/** Dependencies of a client connection. */
export interface ClientConnectionParts {
  readonly record: EventRecorder;
  readonly metrics: Metrics;
  readonly readMs: () => number;
  /** Returns the earliest time at which bytes read now can have arrived. */
  readonly findEarliestArrivalMs: () => number;
  readonly isStopping: () => boolean;
  /** Limits the bytes of answers that clients have not read yet. */
  readonly output: ByteBudget<ClientExchange>;
}

/** Serves a request and gives its answer to the exchange. */
export type ExchangeHandler = (exchange: ClientExchange) => void;

/** Response statuses for invalid requests, by the code of the parser error. */
const ERROR_STATUSES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const BAD_REQUEST = '400 Bad Request';
const NOT_IMPLEMENTED = '501 Not Implemented';

/**
 * Serves a client connection. It is closed only after a response that announces
 * it or while no request is open, so each request that was read is answered.
 */
export class ClientConnection {
  /** Requests being handled, in the order of their arrival. */
  private readonly activeExchanges: ClientExchange[] = [];
  /** Later requests, which are not handled yet. */
  private readonly queued: ClientExchange[] = [];
  private readonly owner = new ConnectionOwner();
  private accepted = 0;
  private readonly acceptedMs: number;
  /** Earliest time at which the client can have connected, clock ms. */
  private readonly connectedMs: number;
  /** Whether further requests on this connection are ignored. */
  private isEnding = false;
  private failureStatus: string | undefined;
  private lingerTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly socket: Socket,
    private readonly parts: ClientConnectionParts,
    private readonly handle: ExchangeHandler,
  ) {
    // The HTTP library destroys the socket after the last response. If the
    // client has sent more, that resets the connection and loses the response.
    socket.destroySoon = () => this.end();
    socket.once('close', () => this.handleClose());
    this.connectedMs = parts.findEarliestArrivalMs();
    this.acceptedMs = parts.readMs();
  }

  /** Accepts a request, unless the connection is ending. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    if (this.isEnding) {
      request.resume();
      return;
    }
    // What the process was behind counts as time that the request has waited.
    const arrivedMs = this.findArrivalMs();
    const readMs = this.parts.readMs();
    const {output} = this.parts;
    const exchange = new ClientExchange(
      request,
      arrivedMs,
      readMs,
      this.owner,
      response,
      output,
      () => this.flush(),
    );
    this.accepted += 1;
    this.queued.push(exchange);
    if (!exchange.isKeptAlive) this.isEnding = true;
    // Pipelined responses emit no 'close' if the connection is lost; see
    // handleClose.
    response.once('close', () => this.finish(exchange));
    if (readMs - arrivedMs <= LATE_READ_MS) this.startQueued();
    else runAfterNextRead(() => this.startQueued());
  }

  /** The first request may have waited with its connection to be accepted. */
  private findArrivalMs(): number {
    const readMs = this.parts.findEarliestArrivalMs();
    const mayBeOlder = this.accepted === 0 && readMs <= this.acceptedMs;
    return mayBeOlder ? this.connectedMs : readMs;
  }

  /** Whether a request has arrived on the connection. */
  hasAccepted(): boolean {
    return this.accepted > 0;
  }

  countOpen(): number {
    return this.activeExchanges.length + this.queued.length;
  }

  /** Ends the connection unless a request is open or about to be read. */
  endIfIdle(): void {
    // Read the bytes that have already arrived before deciding.
    setImmediate(() => {
      if (this.countOpen() === 0) this.end();
    });
  }

  /** Answers an invalid request, after the requests before it. */
  handleError(error: NodeJS.ErrnoException): void {
    if (this.failureStatus !== undefined) return;
    this.isEnding = true;
    if (error.code === 'HPE_INVALID_EOF_STATE') {
      // The client has left in the middle of a request.
      this.end();
      return;
    }
    this.failureStatus = ERROR_STATUSES[error.code ?? ''] ?? BAD_REQUEST;
    this.flush();
  }

  /** Refuses CONNECT, for which the library has detached the socket. */
  refuseTunnel(): void {
    this.socket.on('error', () => this.socket.destroy());
    this.socket.once('end', () => this.end());
    this.socket.resume();
    this.isEnding = true;
    this.failureStatus = NOT_IMPLEMENTED;
    this.flush();
  }

  /** Writes the next answer if it is available. */
  private flush(): void {
    const [first] = this.activeExchanges;
    if (!first) {
      if (this.failureStatus !== undefined) this.endWithFailure();
      return;
    }
    if (first.state !== ExchangeState.ANSWERED) return;
    // Read the requests that have already arrived before deciding.
    if (this.isLastWhenStopping()) setImmediate(() => this.write(first));
    else this.write(first);
  }

  private write(exchange: ClientExchange): void {
    if (exchange.state !== ExchangeState.ANSWERED) return;
    const isLast =
      exchange.needsConnectionEnd() ||
      !exchange.isKeptAlive ||
      this.isLastWhenStopping();
    if (isLast) this.isEnding = true;
    exchange.write(isLast);
  }

  /** Starts queued requests within the limits of a connection. */
  private startQueued(): void {
    if (this.socket.readableEnded || this.socket.destroyed) return;
    while (this.queued.length > 0 && this.hasCapacity()) {
      const next = this.queued.shift() as ClientExchange;
      this.activeExchanges.push(next);
      this.handle(next);
    }
  }

  private hasCapacity(): boolean {
    if (this.activeExchanges.length >= MAX_PIPELINED_REQUESTS) return false;
    const waitingBytes = this.activeExchanges.reduce(
      (sum, exchange) => sum + exchange.countWaitingBytes(),
      0,
    );
    return waitingBytes < MAX_WAITING_BYTES;
  }

  private isLastWhenStopping(): boolean {
    return (
      this.parts.isStopping() &&
      this.countOpen() === 1 &&
      this.failureStatus === undefined
    );
  }

  private finish(exchange: ClientExchange): void {
    const index = this.activeExchanges.indexOf(exchange);
    if (index < 0) return;
    this.activeExchanges.splice(index, 1);
    exchange.close();
    this.startQueued();
    this.flush();
  }

  private endWithFailure(): void {
    const {socket} = this;
    // A connection on which nothing was received is closed without a response.
    if (socket.writable && socket.bytesRead > 0) {
      const head = `HTTP/1.1 ${this.failureStatus}`;
      socket.write(`${head}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
    }
    this.end();
  }

  /**
   * Ends this side of the connection and reads until the client ends its side:
   * closing it with unread bytes would reset it and lose the response.
   */
  private end(): void {
    this.isEnding = true;
    if (this.lingerTimer || this.socket.destroyed) return;
    this.socket.end();
    this.socket.resume();
    this.lingerTimer = setTimeout(
      () => this.socket.destroy(),
      CLIENT_LINGER_MS,
    );
  }

  private handleClose(): void {
    clearTimeout(this.lingerTimer);
    this.isEnding = true;
    this.reportCut();
    for (const exchange of this.activeExchanges.splice(0)) exchange.close();
    this.queued.length = 0;
  }

  private reportCut(): void {
    const open = [...this.activeExchanges, ...this.queued];
    if (open.length === 0) return;
    const unanswered = open.filter(
      ({state}) => state === ExchangeState.RUNNING,
    ).length;
    const hasClientLeft = this.socket.readableEnded || this.socket.errored;
    const endedBy = hasClientLeft ? 'client' : 'node';
    this.parts.metrics.count('client_requests_cut_total', {endedBy});
    this.parts.record(EventCode.CLIENT_CONNECTION_CUT, {
      endedBy,
      accepted: this.accepted,
      unanswered,
      unwritten: open.length - unanswered,
      isStopping: this.parts.isStopping(),
    });
  }
}
