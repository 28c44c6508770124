/** One connection of a client: read ahead, answered in order, ended in full. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Metrics} from 'sycamoreyoke/process/metrics';
import {CLIENT_LINGER_MS} from '../constants.js';
import {ClientExchange, ExchangeState} from './clientExchange.js';

/** What a connection needs of its node. */
export interface ClientConnectionParts {
  readonly record: EventRecorder;
  readonly metrics: Metrics;
  readonly isStopping: () => boolean;
}

/** Statuses of bytes that are no request, by the code of the error. */
const ERROR_STATUSES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const BAD_REQUEST = '400 Bad Request';

/**
 * Closes only behind a response that says so, or while no request is open: a
 * request that was read is answered before its connection ends.
 */
export class ClientConnection {
  private readonly exchanges: ClientExchange[] = [];
  private accepted = 0;
  /** No further request of this connection is taken. */
  private isEnding = false;
  private failureStatus: string | undefined;
  private lingerTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly socket: Socket,
    private readonly parts: ClientConnectionParts,
  ) {
    // The HTTP library destroys a socket behind its last response, which resets
    // the connection if the client has sent more, and the response is lost.
    socket.destroySoon = () => this.end();
    socket.once('close', () => this.handleClose());
  }

  /** Takes a request unless its response could not be sent any more. */
  accept(
    request: IncomingMessage,
    response: ServerResponse,
  ): ClientExchange | undefined {
    if (this.isEnding) {
      request.resume();
      return undefined;
    }
    const exchange = new ClientExchange(request, response, () => this.flush());
    this.accepted += 1;
    this.exchanges.push(exchange);
    if (!exchange.isKeptAlive) this.isEnding = true;
    // A pipelined response gets no 'close' when its connection is lost.
    response.once('close', () => this.finish(exchange));
    return exchange;
  }

  countOpen(): number {
    return this.exchanges.length;
  }

  /** Ends the connection unless a request is open on it or has arrived. */
  endIfIdle(): void {
    // Bytes that have arrived meanwhile are read before the decision.
    setImmediate(() => {
      if (this.exchanges.length === 0) this.end();
    });
  }

  /** Answers bytes that are no request, after the requests before them. */
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

  /** Writes the next answer if it is there. */
  private flush(): void {
    const [first] = this.exchanges;
    if (!first) {
      if (this.failureStatus !== undefined) this.endWithFailure();
      return;
    }
    if (first.state !== ExchangeState.ANSWERED) return;
    // Requests that have arrived meanwhile are read before the decision.
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

  private isLastWhenStopping(): boolean {
    return (
      this.parts.isStopping() &&
      this.exchanges.length === 1 &&
      this.failureStatus === undefined
    );
  }

  private finish(exchange: ClientExchange): void {
    const index = this.exchanges.indexOf(exchange);
    if (index < 0) return;
    this.exchanges.splice(index, 1);
    exchange.close();
    this.flush();
  }

  private endWithFailure(): void {
    const {socket} = this;
    // A connection without a byte of a request is closed silently.
    if (socket.writable && socket.bytesRead > 0) {
      const head = `HTTP/1.1 ${this.failureStatus}`;
      socket.write(`${head}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
    }
    this.end();
  }

  /**
   * Ends the own side and reads on until the client has ended its side: closing
   * with bytes unread would reset the connection and the response with it.
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
    for (const exchange of this.exchanges.splice(0)) exchange.close();
  }

  private reportCut(): void {
    if (this.exchanges.length === 0) return;
    const unanswered = this.exchanges.filter(
      ({state}) => state === ExchangeState.RUNNING,
    ).length;
    const hasClientLeft = this.socket.readableEnded || this.socket.errored;
    const endedBy = hasClientLeft ? 'client' : 'node';
    this.parts.metrics.count('client_requests_cut_total', {endedBy});
    this.parts.record(EventCode.CLIENT_CONNECTION_CUT, {
      endedBy,
      accepted: this.accepted,
      unanswered,
      unwritten: this.exchanges.length - unanswered,
      isStopping: this.parts.isStopping(),
    });
  }
}
