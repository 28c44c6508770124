/** One request on the upstream, from its start to its result. */
import {Completion} from 'sycamoreyoke/process/types';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {createFailure} from '../connection/peerLink.js';
import type {
  ExchangeResult,
  UpstreamConnection,
} from '../connection/upstreamConnection.js';
import {ExchangeEnd} from '../connection/upstreamConnection.js';
import type {UpstreamPool} from '../connection/upstreamPool.js';
import {UPSTREAM_IDLE_MS, UPSTREAM_IDLE_ONCE_MS} from '../constants.js';
import type {
  CallResult,
  HeaderList,
  OutgoingCall,
  WireProtocol,
} from '../types.js';
import {GateReason} from '../types.js';
import {findHeadFault} from './responseHead.js';

/** How a run ended, for the gate and for the sender. */
export interface RunEnd {
  readonly completion: Completion;
  readonly result: CallResult;
  readonly isConnectionRefused: boolean;
  /** Nothing listens at the address of the upstream. */
  readonly hasNoListener: boolean;
  readonly isOtherInstance: boolean;
  /** What was wrong with the connection, for the log. */
  readonly message: string;
}

type UnsentExchange = Extract<ExchangeResult, {end: ExchangeEnd.NOT_SENT}>;

/** What a run is built from. */
export interface UpstreamRunParts {
  readonly call: OutgoingCall;
  readonly instance: string;
  /** On the node's clock, ms. */
  readonly deadlineMs: number;
  readonly readMs: () => number;
  readonly wire: WireProtocol;
  readonly pool: UpstreamPool;
  readonly handle: (end: RunEnd) => void;
}

/** The upstream answers at the deadline itself; its answer knows more. */
const OVERTIME_MS = 30;
/** Least time that is worth handing to an upstream, ms. */
const LEAST_LEFT_MS = 1;
const INTERNAL_ERROR = 500;
/** Idle time that no kept connection has. */
const NEW_CONNECTION = 0;

/** Runs one request; its handler is called once. */
export class UpstreamRun {
  private connection: UpstreamConnection | undefined;
  private timer: NodeJS.Timeout | undefined;
  private isEnded = false;
  private isSentAgain = false;

  constructor(private readonly parts: UpstreamRunParts) {}

  start(): void {
    const {call, deadlineMs, readMs} = this.parts;
    this.timer = setTimeout(
      () => this.expire(),
      Math.max(LEAST_LEFT_MS, deadlineMs - readMs()) + OVERTIME_MS,
    );
    this.send(call.isIdempotent ? UPSTREAM_IDLE_MS : UPSTREAM_IDLE_ONCE_MS);
  }

  private send(maxIdleMs: number): void {
    const {call, pool, deadlineMs, readMs} = this.parts;
    const leftMs = Math.max(LEAST_LEFT_MS, Math.floor(deadlineMs - readMs()));
    this.connection = pool.take(maxIdleMs);
    const headers = [...call.headers, ...this.buildAdditions(leftMs)];
    this.connection
      .run({
        method: call.method,
        path: call.path,
        headers,
        body: call.body,
        isOwnResponse: (status, received) => this.isOwn(status, received),
      })
      .then((result) => this.finishExchange(result))
      .catch(() => this.endLost(GateReason.BAD_RESPONSE));
  }

  /** Gives up; the upstream sees its connection close. */
  cancel(): void {
    this.end(Completion.CANCELLED, {
      result: createFailure(SendEnd.LOST, GateReason.CANCELLED),
    });
    this.connection?.close('request was cancelled');
  }

  private buildAdditions(leftMs: number): HeaderList {
    const {call, instance, wire} = this.parts;
    const {requestId, callerService} = call;
    const additions = {requestId, leftMs, instance, callerService};
    return wire.buildUpstreamHeaders(additions);
  }

  /** A response of an earlier request may arrive late on a connection. */
  private isOwn(status: number, headers: HeaderList): boolean {
    const {requestId} = this.parts.wire.readUpstreamHead(status, headers);
    return requestId === undefined || requestId === this.parts.call.requestId;
  }

  private expire(): void {
    this.end(Completion.TIMED_OUT, {
      result: createFailure(SendEnd.LOST, GateReason.DEADLINE),
    });
    this.connection?.close('deadline has passed');
  }

  private finishExchange(exchange: ExchangeResult): void {
    if (exchange.end === ExchangeEnd.RESPONSE) {
      this.finishResponse(exchange.status, exchange.headers, exchange.body);
    } else if (exchange.end === ExchangeEnd.NOT_SENT) {
      this.finishUnsent(exchange);
    } else {
      this.endLost(exchange.reason, exchange.message);
    }
  }

  /** A kept connection that was reset says nothing about the upstream. */
  private finishUnsent({
    isRefused,
    hasNoListener,
    message,
  }: UnsentExchange): void {
    if (this.isEnded) return;
    if (!isRefused && !this.isSentAgain) {
      this.isSentAgain = true;
      this.send(NEW_CONNECTION);
      return;
    }
    const reason = isRefused
      ? GateReason.UPSTREAM_DOWN
      : GateReason.CONNECTION_LOST;
    this.end(Completion.FAILED, {
      result: createFailure(SendEnd.REFUSED_BY_GATE, reason),
      isConnectionRefused: isRefused,
      hasNoListener,
      message,
    });
  }

  private finishResponse(
    status: number,
    headers: HeaderList,
    body: Uint8Array,
  ): void {
    const head = this.parts.wire.readUpstreamHead(status, headers);
    if (head.isNotRun) {
      this.end(Completion.SHED_BY_UPSTREAM, {
        result: createFailure(
          SendEnd.REFUSED_BY_UPSTREAM,
          GateReason.UPSTREAM_REFUSED,
        ),
        isOtherInstance: head.isOtherInstance,
      });
      return;
    }
    const isVouched = head.isSealed && head.requestId !== undefined;
    const fault = isVouched
      ? findHeadFault(status, headers)
      : 'no seal or no request id';
    if (fault !== undefined) {
      this.connection?.close('response is refused');
      this.endLost(GateReason.BAD_RESPONSE, fault);
      return;
    }
    const isServed = status < INTERNAL_ERROR;
    this.end(isServed ? Completion.SUCCEEDED : Completion.SHED_DOWNSTREAM, {
      result: {
        end: SendEnd.RESPONSE,
        reason: undefined,
        retryAfterMs: 0,
        status,
        headers,
        body,
      },
    });
  }

  private endLost(reason: GateReason, message = ''): void {
    const result = createFailure(SendEnd.LOST, reason);
    this.end(Completion.FAILED, {result, message});
  }

  private end(
    completion: Completion,
    rest: Pick<RunEnd, 'result'> & Partial<RunEnd>,
  ): void {
    if (this.isEnded) return;
    this.isEnded = true;
    clearTimeout(this.timer);
    this.parts.handle({
      isConnectionRefused: false,
      hasNoListener: false,
      isOtherInstance: false,
      message: '',
      ...rest,
      completion,
    });
  }
}
