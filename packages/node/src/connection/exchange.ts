/** Sends one HTTP request and collects its response, with undici. */
import type {Dispatcher} from 'undici';
import {MAX_BODY_BYTES} from 'sycamoreyoke/request/constants';

/** Response headers as received. */
export type ReceivedHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** A request to send. */
export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** How an exchange ended. */
export enum ExchangeEnd {
  /** The complete response was received. */
  RESPONSE = 'response',
  /** No byte of the request was written. */
  NOT_SENT = 'not-sent',
  /** The request may have been received, but no complete response arrived. */
  LOST = 'lost',
}

/** The response, or why there is none. */
export type ExchangeResult =
  | {
      readonly end: ExchangeEnd.RESPONSE;
      readonly status: number;
      readonly headers: ReceivedHeaders;
      readonly body: Uint8Array;
    }
  | {
      readonly end: ExchangeEnd.NOT_SENT | ExchangeEnd.LOST;
      readonly message: string;
      /** The connection was refused, so no process listens on the port. */
      readonly isRefused: boolean;
    };

/** An exchange in progress. */
export interface Exchange {
  readonly result: Promise<ExchangeResult>;
  /** Aborts the exchange and closes its connection. */
  cancel(message: string): void;
  /** True once the request has been assigned to a connection. */
  isSent(): boolean;
}

type Controller = Dispatcher.DispatchController;

// undici defines the names of the handler methods.
/* eslint-disable house/verb-first */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  isSent = false;
  private controller: Controller | undefined;
  private cancelError: Error | undefined;
  private status = 0;
  private headers: ReceivedHeaders = {};
  private readonly chunks: Buffer[] = [];
  private size = 0;

  constructor(private readonly settle: (result: ExchangeResult) => void) {}

  cancel(message: string): void {
    this.cancelError = new Error(message);
    this.controller?.abort(this.cancelError);
    // A request that is still waiting for a connection has no controller yet;
    // onRequestStart aborts it as soon as it gets one.
    if (!this.controller) this.finishFailed(this.cancelError);
  }

  /** Called right before the request is written to a connection. */
  onRequestStart(controller: Controller): void {
    if (this.cancelError) {
      controller.abort(this.cancelError);
      return;
    }
    this.controller = controller;
    this.isSent = true;
  }

  onResponseStart(
    _controller: Controller,
    status: number,
    headers: ReceivedHeaders,
  ): void {
    this.status = status;
    this.headers = headers;
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    this.size += chunk.length;
    if (this.size > MAX_BODY_BYTES) {
      controller.abort(new Error(`response exceeds ${MAX_BODY_BYTES} bytes`));
      return;
    }
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    const [first] = this.chunks;
    const body =
      first && this.chunks.length === 1 ? first : Buffer.concat(this.chunks);
    this.settle({
      end: ExchangeEnd.RESPONSE,
      status: this.status,
      headers: this.headers,
      body,
    });
  }

  onResponseError(_controller: Controller, error: Error): void {
    this.finishFailed(error);
  }

  private finishFailed(error: Error): void {
    this.settle({
      end: this.isSent ? ExchangeEnd.LOST : ExchangeEnd.NOT_SENT,
      message: error.message,
      isRefused: (error as NodeJS.ErrnoException).code === 'ECONNREFUSED',
    });
  }
}

/* eslint-enable house/verb-first */

/** Starts an exchange on a connection of the dispatcher, without timeouts. */
export function startExchange(
  dispatcher: Dispatcher,
  request: ExchangeRequest,
): Exchange {
  let settle: (result: ExchangeResult) => void = () => undefined;
  const result = new Promise<ExchangeResult>((resolve) => {
    settle = resolve;
  });
  const handler = new ExchangeHandler(settle);
  dispatcher.dispatch(
    {
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body.length > 0 ? request.body : null,
      headersTimeout: 0,
      bodyTimeout: 0,
    },
    handler,
  );
  return {
    result,
    cancel: (message) => handler.cancel(message),
    isSent: () => handler.isSent,
  };
}
