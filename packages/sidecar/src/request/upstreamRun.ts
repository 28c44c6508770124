/** One request on the upstream, from its start to its result. */
import {Completion} from 'sycamoreyoke/process/types';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {createFailure} from '../connection/peerLink.js';
import type {
  ExchangeResult,
  UpstreamConnection,
} from '../connection/upstreamConnection.js';
import {ExchangeEnd, ResponseOwner} from '../connection/upstreamConnection.js';
import type {UpstreamPool} from '../connection/upstreamPool.js';
import {
  UNCLEAR_REFUSAL_MS,
  UPSTREAM_IDLE_MS,
  UPSTREAM_IDLE_ONCE_MS,
} from '../constants.js';
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

/** Runs one request; its handler is called once. */
export class UpstreamRun {
  private connection: UpstreamConnection | undefined;
  private timer: NodeJS.Timeout | undefined;
  /** Set once a refusal was read that may be an earlier one. */
  private doubtTimer: NodeJS.Timeout | undefined;
  private isEnded = false;
  private isSentAgain = false;

  constructor(private readonly parts: UpstreamRunParts) {}

  start(): void {
    const {call, deadlineMs, readMs} = this.parts;
    this.timer = setTimeout(
      () => this.expire(),
      Math.max(LEAST_LEFT_MS, deadlineMs - readMs()) + OVERTIME_MS,
    );
    const {pool} = this.parts;
    this.send(
      call.isIdempotent
        ? pool.take(UPSTREAM_IDLE_MS)
        : pool.takeCertain(UPSTREAM_IDLE_ONCE_MS),
    );
  }

  private send(connection: UpstreamConnection): void {
    const {call, deadlineMs, readMs} = this.parts;
    const leftMs = Math.max(LEAST_LEFT_MS, Math.floor(deadlineMs - readMs()));
    this.connection = connection;
    const headers = [...call.headers, ...this.buildAdditions(leftMs)];
    this.connection
      .run({
        method: call.method,
        path: call.path,
        headers,
        body: call.body,
        findOwner: (status, received, isKept) =>
          this.findOwner(status, received, isKept),
      })
      .then((result) => this.finishExchange(result))
      .catch(() => this.endLost(GateReason.BAD_RESPONSE));
  }

  /** Whether the upstream may have begun to work on the request. */
  hasSent(): boolean {
    return this.connection?.hasSent() ?? false;
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

  /**
   * A response of an earlier request may arrive late on a connection. A refusal
   * names no request: on a kept connection it may be an earlier one, while this
   * request runs.
   */
  private findOwner(
    status: number,
    headers: HeaderList,
    isKept: boolean,
  ): ResponseOwner {
    const {call, wire} = this.parts;
    const {requestId, isNotRun} = wire.readUpstreamHead(status, headers);
    if (requestId !== undefined && requestId !== call.requestId) {
      return ResponseOwner.ANOTHER_REQUEST;
    }
    if (!isNotRun) return ResponseOwner.THIS_REQUEST;
    if (requestId === undefined && isKept && !call.isIdempotent) {
      this.doubtTimer ??= setTimeout(
        () => this.endUnclear(),
        UNCLEAR_REFUSAL_MS,
      );
      return ResponseOwner.UNCLEAR;
    }
    return ResponseOwner.THIS_REFUSED;
  }

  private endUnclear(): void {
    this.endLost(GateReason.BAD_RESPONSE, 'a refusal may be an earlier one');
    this.connection?.close('a refusal may be an earlier one');
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
      this.send(this.parts.pool.open());
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
    clearTimeout(this.doubtTimer);
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
