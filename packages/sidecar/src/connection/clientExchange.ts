/** One request of a client and its answer. */
import type {IncomingMessage, ServerResponse} from 'node:http';

/** An answer, without the headers that concern the connection. */
export interface ClientAnswer {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Set when the rest of the request, if any, is not read. */
  readonly endsConnection?: boolean;
}

export enum ExchangeState {
  /** The request has no answer yet. */
  RUNNING,
  /** The answer waits for those of earlier requests. */
  ANSWERED,
  /** The answer has been given to the socket, which may still hold it. */
  WRITTEN,
  /** The answer has left the process, or the connection is gone. */
  CLOSED,
}

/**
 * A body up to this size is written as text, which the HTTP library joins with
 * the head into one write; a larger one would be copied for nothing.
 */
const MAX_TEXT_BODY_BYTES = 16 * 1024;

/** In place of an answer that cannot be written; the request may have run. */
const UNWRITABLE: ClientAnswer = {
  status: 502,
  headers: [],
  body: new Uint8Array(0),
};

/** Takes one answer; the connection writes it when its turn comes. */
export class ClientExchange {
  state = ExchangeState.RUNNING;
  private answered: ClientAnswer | undefined;
  private readonly closeHandlers: Array<(isCut: boolean) => void> = [];

  constructor(
    readonly request: IncomingMessage,
    /** On the node's clock, ms. */
    readonly arrivedMs: number,
    private readonly response: ServerResponse,
    private readonly handleAnswer: () => void,
  ) {}

  /** Whether the client keeps the connection after this request. */
  get isKeptAlive(): boolean {
    return this.response.shouldKeepAlive;
  }

  /** Bytes of an answer that is not written yet. */
  countWaitingBytes(): number {
    const isWaiting = this.state === ExchangeState.ANSWERED;
    return isWaiting ? (this.answered?.body.length ?? 0) : 0;
  }

  /** Takes the answer; later ones are passed over. */
  answer(answer: ClientAnswer): void {
    if (this.state !== ExchangeState.RUNNING) return;
    this.state = ExchangeState.ANSWERED;
    this.answered = answer;
    this.handleAnswer();
  }

  /** Registers a handler, told whether the answer could not be completed. */
  handleClose(handle: (isCut: boolean) => void): void {
    this.closeHandlers.push(handle);
  }

  /** Writes the answer that was taken. */
  write(isLast: boolean): void {
    const {response, answered} = this;
    if (!answered) return;
    this.state = ExchangeState.WRITTEN;
    response.sendDate = false;
    try {
      this.writeAnswer(answered, isLast);
    } catch {
      // The library refuses status codes and headers that HTTP does not allow.
      this.writeAnswer(UNWRITABLE, isLast);
    }
  }

  private writeAnswer(
    {status, headers, body}: ClientAnswer,
    isLast: boolean,
  ): void {
    const all = [...headers, 'Content-Length', String(body.length)];
    if (isLast) all.push('Connection', 'close');
    this.response.writeHead(status, all);
    if (body.length > MAX_TEXT_BODY_BYTES) this.response.end(body);
    else this.response.end(decodeBytes(body), 'latin1');
  }

  /**
   * A request that has arrived whole meanwhile may be followed by others, which
   * were passed on and need the connection for their answers.
   */
  needsConnectionEnd(): boolean {
    return this.answered?.endsConnection === true && !this.request.complete;
  }

  close(): void {
    if (this.state === ExchangeState.CLOSED) return;
    const isCut = !this.response.writableFinished;
    this.state = ExchangeState.CLOSED;
    for (const handle of this.closeHandlers) handle(isCut);
  }
}

/** Latin-1 text, which has one character for each byte. */
function decodeBytes(bytes: Uint8Array): string {
  const {buffer, byteOffset, length} = bytes;
  return Buffer.from(buffer, byteOffset, length).toString('latin1');
}
