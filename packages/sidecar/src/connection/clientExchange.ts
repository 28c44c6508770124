/** A client's request and its answer. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ConnectionOwner} from 'sycamoreyoke/connection/connectionOwner';
import type {ByteBudget} from './byteBudget.js';

/** An answer, without the headers that concern the connection. */
export interface ClientAnswer {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Set if the rest of the request body, if any, will not be read. */
  readonly endsConnection?: boolean;
}

export enum ExchangeState {
  /** The request has no answer yet. */
  RUNNING,
  /** The answer waits for the answers of earlier requests. */
  ANSWERED,
  /** The answer was written to the socket, which may still buffer it. */
  WRITTEN,
  /** The answer has left the process, or the connection is gone. */
  CLOSED,
}

/**
 * Bodies up to this size are written as text, which the HTTP library joins with
 * the head into one write. A larger body would be copied without benefit.
 */
const MAX_TEXT_BODY_BYTES = 16 * 1024;

/** Answers up to this size are written even if slow clients fill the memory. */
const MAX_SMALL_BODY_BYTES = 64 * 1024;

/** Replaces an answer that cannot be written; the request may have run. */
const UNWRITABLE_ANSWER: ClientAnswer = {
  status: 502,
  headers: [],
  body: new Uint8Array(0),
};

/** Holds the answer of a request until the connection writes it, in order. */
export class ClientExchange {
  state = ExchangeState.RUNNING;
  private storedAnswer: ClientAnswer | undefined;
  private readonly closeHandlers: Array<(isCut: boolean) => void> = [];

  constructor(
    readonly request: IncomingMessage,
    /** Earliest time at which it can have arrived, on the node's clock, ms. */
    readonly arrivedMs: number,
    /** Time at which it was read. */
    readonly readMs: number,
    /** Who has opened the connection, as far as its requests have shown. */
    readonly owner: ConnectionOwner,
    private readonly response: ServerResponse,
    private readonly output: ByteBudget<ClientExchange>,
    private readonly handleAnswer: () => void,
  ) {}

  /** Whether the client keeps the connection after this request. */
  get isKeptAlive(): boolean {
    return this.response.shouldKeepAlive;
  }

  /** Returns the bytes of the answer while it waits to be written. */
  countWaitingBytes(): number {
    const isWaiting = this.state === ExchangeState.ANSWERED;
    return isWaiting ? (this.storedAnswer?.body.length ?? 0) : 0;
  }

  /** Replaces an answer for which there is no memory. */
  private reserve(answer: ClientAnswer): ClientAnswer {
    const {length} = answer.body;
    const isOverBudget = this.output.reserve(this, length) !== undefined;
    if (!isOverBudget || length <= MAX_SMALL_BODY_BYTES) return answer;
    this.output.release(this);
    return UNWRITABLE_ANSWER;
  }

  /** Sets the answer; later ones are ignored. */
  answer(answer: ClientAnswer): void {
    if (this.state !== ExchangeState.RUNNING) return;
    this.state = ExchangeState.ANSWERED;
    this.storedAnswer = this.reserve(answer);
    this.handleAnswer();
  }

  /**
   * Registers a handler for the end of the exchange; its argument tells whether
   * the answer was cut off.
   */
  handleClose(handle: (isCut: boolean) => void): void {
    this.closeHandlers.push(handle);
  }

  /** Writes the answer; the last one of a connection announces its end. */
  write(isLast: boolean): void {
    const {response, storedAnswer} = this;
    if (!storedAnswer) return;
    this.state = ExchangeState.WRITTEN;
    response.sendDate = false;
    try {
      this.writeAnswer(storedAnswer, isLast);
    } catch {
      // The library throws on status codes and headers that HTTP forbids.
      this.writeAnswer(UNWRITABLE_ANSWER, isLast);
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
   * Whether the connection has to end because the request body was not read. If
   * it has arrived completely since, later requests may have been read too, and
   * they need the connection for their answers.
   */
  needsConnectionEnd(): boolean {
    return this.storedAnswer?.endsConnection === true && !this.request.complete;
  }

  close(): void {
    if (this.state === ExchangeState.CLOSED) return;
    const isCut = !this.response.writableFinished;
    this.state = ExchangeState.CLOSED;
    this.output.release(this);
    for (const handle of this.closeHandlers) handle(isCut);
  }
}

/** Decodes bytes as Latin-1, which maps each byte to one character. */
function decodeBytes(bytes: Uint8Array): string {
  const {buffer, byteOffset, length} = bytes;
  return Buffer.from(buffer, byteOffset, length).toString('latin1');
}
