/** Runs a request on the upstream. */
import {Completion} from 'sycamoreyoke/process/types';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {createFailure} from '../connection/callFailure.js';
import type {
  ExchangeResult,
  UpstreamConnection,
} from '../connection/upstreamConnection.js';
import {ExchangeEnd, ResponseOwner} from '../connection/upstreamConnection.js';
import type {UpstreamPool} from '../connection/upstreamPool.js';
import {
  AMBIGUOUS_REFUSAL_MS,
  UNNAMED_REFUSAL_MS,
  UPSTREAM_IDLE_MS,
  UPSTREAM_NON_IDEMPOTENT_IDLE_MS,
} from '../constants.js';
import type {
  CallResult,
  HeaderList,
  OutgoingCall,
  UpstreamHead,
  WireProtocol,
} from '../types.js';
import {GateReason} from '../types.js';
import {findHeadFault} from './responseHead.js';

/** How a run ended. */
export interface RunEnd {
  readonly completion: Completion;
  readonly result: CallResult;
  readonly isConnectionRefused: boolean;
  /** Nothing listens at the address of the upstream. */
  readonly hasNoListener: boolean;
  readonly isOtherInstance: boolean;
  /** What was wrong with the connection or response, for the log. */
  readonly message: string;
}

type UnsentExchange = Extract<ExchangeResult, {end: ExchangeEnd.NOT_SENT}>;

/** Dependencies of a run. */
export interface UpstreamRunParts {
  readonly call: OutgoingCall;
  readonly instance: string;
  /** On the node's clock, ms. */
  readonly deadlineMs: number;
  /** Deadline that the upstream is told; not later. */
  readonly statedDeadlineMs: number;
  readonly readMs: () => number;
  readonly wire: WireProtocol;
  readonly pool: UpstreamPool;
  readonly handle: (end: RunEnd) => void;
}

/** The upstream answers at the deadline too, and its answer says more. */
const DEADLINE_MARGIN_MS = 30;
/** Shortest timeout given to the upstream. */
const MIN_TIMEOUT_MS = 1;
const INTERNAL_ERROR = 500;

/** Runs one request on the upstream; its handler is called once. */
export class UpstreamRun {
  private connection: UpstreamConnection | undefined;
  private timer: NodeJS.Timeout | undefined;
  /** Set after a refusal that may not be meant for this request. */
  private ambiguousRefusalTimer: NodeJS.Timeout | undefined;
  /** Set while a refusal counts if nothing follows it on the connection. */
  private pendingRefusal: UpstreamHead | undefined;
  private isEnded = false;
  private isResent = false;

  constructor(private readonly parts: UpstreamRunParts) {}

  start(): void {
    const {call} = this.parts;
    this.timer = setTimeout(
      () => this.expire(),
      Math.max(MIN_TIMEOUT_MS, this.readLeftMs()) + DEADLINE_MARGIN_MS,
    );
    const {pool} = this.parts;
    this.send(
      call.isIdempotent
        ? pool.take(UPSTREAM_IDLE_MS)
        : pool.takeForNonIdempotent(UPSTREAM_NON_IDEMPOTENT_IDLE_MS),
    );
  }

  private send(connection: UpstreamConnection): void {
    const {call} = this.parts;
    this.connection = connection;
    this.connection
      .run({
        method: call.method,
        path: call.path,
        buildHeaders: () => this.buildHeaders(),
        body: call.body,
        findOwner: (status, received, isReused) =>
          this.findOwner(status, received, isReused),
      })
      .then((result) => this.finishExchange(result))
      .catch(() => this.endLost(GateReason.BAD_RESPONSE));
  }

  /** Whether the upstream may have begun to work on the request. */
  hasSent(): boolean {
    return this.connection?.hasSent() ?? false;
  }

  /** Cancels the run; the upstream sees its connection close. */
  cancel(): void {
    this.end(Completion.CANCELLED, {
      result: createFailure(SendEnd.LOST, GateReason.CANCELLED),
    });
    this.connection?.close('request was cancelled');
  }

  /** Connecting may have taken until the deadline. */
  private buildHeaders(): HeaderList | undefined {
    const {call, instance, wire, statedDeadlineMs, readMs} = this.parts;
    if (this.isEnded || this.isPastDeadline()) return undefined;
    const {requestId, callerService, account} = call;
    const statedMs = Math.floor(statedDeadlineMs - readMs());
    const leftMs = Math.max(MIN_TIMEOUT_MS, statedMs);
    const additions = {requestId, leftMs, instance, callerService, account};
    return [...call.headers, ...wire.buildUpstreamHeaders(additions)];
  }

  private readLeftMs(): number {
    return this.parts.deadlineMs - this.parts.readMs();
  }

  private isPastDeadline(): boolean {
    return this.readLeftMs() <= 0;
  }

  /**
   * Decides to which request a response belongs. A response of an earlier
   * request may arrive late. A refusal without a request id may, on a reused
   * connection, belong to an earlier request while this one runs.
   */
  private findOwner(
    status: number,
    headers: HeaderList,
    isReused: boolean,
  ): ResponseOwner {
    const {call, wire} = this.parts;
    const head = wire.readUpstreamHead(status, headers);
    const {requestId, isNotRun} = head;
    if (requestId !== undefined && requestId !== call.requestId) {
      return ResponseOwner.ANOTHER_REQUEST;
    }
    if (!isNotRun) {
      if (this.pendingRefusal) clearTimeout(this.ambiguousRefusalTimer);
      this.pendingRefusal = undefined;
      return ResponseOwner.THIS_REQUEST;
    }
    if (requestId !== undefined || call.isIdempotent) {
      return ResponseOwner.THIS_REFUSED;
    }
    if (!isReused) this.pendingRefusal ??= head;
    this.ambiguousRefusalTimer ??= setTimeout(
      () => (isReused ? this.endAmbiguous() : this.endRefused()),
      isReused ? AMBIGUOUS_REFUSAL_MS : UNNAMED_REFUSAL_MS,
    );
    return ResponseOwner.UNCLEAR;
  }

  /** Believes a refusal behind which nothing has followed. */
  private endRefused(): void {
    if (!this.pendingRefusal) return;
    this.end(Completion.SHED_BY_UPSTREAM, {
      result: createFailure(
        SendEnd.REFUSED_BY_UPSTREAM,
        GateReason.UPSTREAM_REFUSED,
      ),
      isOtherInstance: this.pendingRefusal.isOtherInstance,
    });
    this.connection?.close('a refusal without an id ends its connection');
  }

  private endAmbiguous(): void {
    this.endLost(GateReason.BAD_RESPONSE, 'a refusal may be an earlier one');
    this.connection?.close('a refusal may be an earlier one');
  }

  private expire(): void {
    const end = this.hasSent() ? SendEnd.LOST : SendEnd.REFUSED_BY_GATE;
    this.end(Completion.TIMED_OUT, {
      result: createFailure(end, GateReason.DEADLINE),
    });
    this.connection?.close('deadline has passed');
  }

  private finishExchange(exchange: ExchangeResult): void {
    const isEnd =
      exchange.end === ExchangeEnd.LOST &&
      exchange.reason === GateReason.CONNECTION_LOST;
    if (isEnd && this.pendingRefusal) {
      this.endRefused();
    } else if (exchange.end === ExchangeEnd.RESPONSE) {
      this.finishResponse(exchange.status, exchange.headers, exchange.body);
    } else if (exchange.end === ExchangeEnd.NOT_SENT) {
      this.finishUnsent(exchange);
    } else {
      this.endLost(exchange.reason, exchange.message);
    }
  }

  /**
   * Retries once over a new connection, as the reset of a reused connection
   * does not mean that the upstream is down.
   */
  private finishUnsent({
    isRefused,
    hasNoListener,
    message,
  }: UnsentExchange): void {
    if (this.isEnded) return;
    if (this.isPastDeadline()) {
      this.end(Completion.CANCELLED, {
        result: createFailure(SendEnd.REFUSED_BY_GATE, GateReason.DEADLINE),
        message,
      });
      return;
    }
    if (!isRefused && !this.isResent) {
      this.isResent = true;
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
    const isTrusted = head.isSealed && head.requestId !== undefined;
    const fault = isTrusted
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
    details: Pick<RunEnd, 'result'> & Partial<RunEnd>,
  ): void {
    if (this.isEnded) return;
    this.isEnded = true;
    clearTimeout(this.timer);
    clearTimeout(this.ambiguousRefusalTimer);
    this.parts.handle({
      isConnectionRefused: false,
      hasNoListener: false,
      isOtherInstance: false,
      message: '',
      ...details,
      completion,
    });
  }
}
