/** Handles the requests that arrive at the outbound address. */
import type {IncomingMessage} from 'node:http';
import type {Clock} from 'sycamoreyoke/clock';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Metrics} from 'sycamoreyoke/process/metrics';
import {RequestTimes} from 'sycamoreyoke/process/requestTimes';
import type {RetryAllowance} from 'sycamoreyoke/process/retryAllowance';
import type {WeightedRotation} from 'sycamoreyoke/process/weightedRotation';
import {Importance} from 'sycamoreyoke/types';
import type {Account} from 'sycamoreyoke/version/accounts';
import {CredentialCheck, checkCredentials} from 'sycamoreyoke/version/accounts';
import type {Route, RouteTable} from 'sycamoreyoke/version/routeTable';
import {findRoute} from 'sycamoreyoke/version/routeTable';
import type {StopSchedule} from 'sycamoreyoke/process/stopSchedule';
import type {Random} from 'sycamoreyoke/random';
import {DEFAULT_TIMEOUT_MS, STOP_RETRY_MS} from '../constants.js';
import type {AllotmentTask, Charge} from '../process/allotmentTask.js';
import type {PeerTask} from '../process/peerTask.js';
import type {ParentCall} from '../process/upstreamTask.js';
import type {
  CallResult,
  ClientHead,
  HeaderList,
  WireProtocol,
} from '../types.js';
import {GateReason} from '../types.js';
import type {Answer, RoutedRequest} from './originCall.js';
import {ByteList} from '../connection/byteList.js';
import type {ClientExchange} from '../connection/clientExchange.js';
import {ExchangeState} from '../connection/clientExchange.js';
import {getHeader} from '../connection/headerList.js';
import {HOP_BY_HOP_HEADERS} from './hopByHopHeaders.js';
import {chooseImportance} from './importance.js';
import {AnswerKind, OriginCall} from './originCall.js';

/** Dependencies of the handler. */
export interface OriginHandlerParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly wire: WireProtocol;
  readonly peers: PeerTask;
  readonly allotments: AllotmentTask;
  readonly rotation: WeightedRotation;
  readonly service: string;
  readonly record: EventRecorder;
  readonly metrics: Metrics;
  readonly readTable: () => RouteTable | undefined;
  readonly readRetryBudget: (service: string) => RetryAllowance;
  /** Finds the running request for which the upstream makes a call, if any. */
  readonly startChildCall: (deadlineMs: number) => ParentCall | undefined;
  /** Returns the schedule of the stop once the node is stopping. */
  readonly readStopSchedule: () => StopSchedule | undefined;
}

enum Status {
  BAD_REQUEST = 400,
  UNAUTHORIZED = 401,
  NOT_FOUND = 404,
  TOO_LARGE = 413,
  TOO_MANY_REQUESTS = 429,
  BAD_GATEWAY = 502,
  UNAVAILABLE = 503,
  GATEWAY_TIMEOUT = 504,
}

/** Retry delay advised to clients until the first configuration arrives. */
const START_RETRY_MS = 300;
/** Jitter of Retry-After, so that refused clients do not return together. */
const RETRY_JITTER = 0.5;
/** Shortest retry delay advised to clients. */
const MIN_RETRY_MS = 100;
const EMPTY_BODY = new Uint8Array(0);
/** Reads, routes and answers the requests at the outbound address. */
export class OriginHandler {
  /** Unanswered requests, each with its call once it was routed. */
  private readonly openRequests = new Map<
    ClientExchange,
    OriginCall | undefined
  >();

  private handled = 0;
  private readonly requestTimes = new RequestTimes();

  constructor(private readonly parts: OriginHandlerParts) {}

  /** Counts the requests since the start. */
  countHandled(): number {
    return this.handled;
  }

  handle(exchange: ClientExchange): void {
    const {request, arrivedMs} = exchange;
    this.handled += 1;
    this.openRequests.set(exchange, undefined);
    exchange.handleClose(() => this.openRequests.delete(exchange));
    if (!hasBody(request.rawHeaders)) {
      this.route(exchange, EMPTY_BODY, arrivedMs);
      return;
    }
    const table = this.parts.readTable();
    readBody(request, table?.limits.maxBodyBytes ?? Infinity, (body) => {
      if (body) this.route(exchange, body, arrivedMs);
      else this.refuseEarly(exchange, Status.TOO_LARGE, 'body is too large');
    });
  }

  /** Answers all open requests with what is known of them. */
  answerOpenRequests(): void {
    for (const [exchange, call] of this.openRequests) {
      if (exchange.state !== ExchangeState.RUNNING) continue;
      if (call) call.end(GateReason.NODE_STOPPING);
      else this.refuseStopping(exchange);
    }
  }

  private route(
    exchange: ClientExchange,
    body: Uint8Array,
    arrivedMs: number,
  ): void {
    if (exchange.state !== ExchangeState.RUNNING) return;
    const {request} = exchange;
    const table = this.parts.readTable();
    if (!table) {
      const message = 'no configuration has arrived yet';
      this.refuseEarly(exchange, Status.UNAVAILABLE, message, START_RETRY_MS);
      return;
    }
    const head = this.parts.wire.readClientHead(request.rawHeaders);
    const host = getHeader(request.rawHeaders, 'host');
    if (head.requestId === undefined || host === undefined) {
      this.refuseEarly(exchange, Status.BAD_REQUEST, 'no request id or host');
      return;
    }
    const path = request.url ?? '/';
    const route = findRoute(table, host, path);
    const service =
      route && this.parts.rotation.choose(route.name, route.targets);
    if (!route || service === undefined) {
      this.recordUnrouted(head.requestId, {host, path}, table.version);
      this.refuse(exchange, Status.NOT_FOUND, 'no route matches');
      return;
    }
    const stop = this.parts.readStopSchedule();
    const leftMs = head.leftMs ?? DEFAULT_TIMEOUT_MS;
    const parent = this.findParent(exchange, head.key, arrivedMs + leftMs);
    const {check, account} = checkCredentials(table.accounts, {
      key: head.key,
      isPublicRoute: route.isPublic,
      isUpstreamCall: parent?.isConfirmed ?? false,
    });
    if (check === CredentialCheck.UNKNOWN) {
      this.refuseUnauthenticated(exchange, head, route, table.version);
      return;
    }
    const routeDeadlineMs = arrivedMs + Math.min(leftMs, route.timeoutMs);
    const isAccepted =
      !stop ||
      this.isAcceptedDuringStop(stop, parent, routeDeadlineMs, route.name);
    if (!isAccepted) {
      this.refuseStopping(exchange);
      return;
    }
    const deadlineMs =
      parent && stop ? stop.clampDeadline(routeDeadlineMs) : routeDeadlineMs;
    const importance = chooseImportance(route, account, parent);
    const routed: RoutedRequest = {
      requestId: head.requestId,
      route,
      service,
      importance,
      method: request.method ?? 'GET',
      path,
      headers: head.headers,
      body,
      arrivedMs,
      deadlineMs,
      usefulUntilMs: computeUsefulUntil(
        route,
        importance,
        arrivedMs,
        deadlineMs,
      ),
      configurationVersion: table.version,
      parentId: parent?.requestId,
      account: account?.name ?? parent?.account,
    };
    if (account?.ratePerS === undefined) this.start(exchange, routed);
    else this.takeToken(exchange, routed, account);
  }

  /** Starts a client's request if its account may run another one. */
  private takeToken(
    exchange: ClientExchange,
    routed: RoutedRequest,
    account: Account,
  ): void {
    this.parts.allotments.take(account, routed, (charge) => {
      if (exchange.state !== ExchangeState.RUNNING) charge.release();
      else if (charge.isGranted) this.start(exchange, routed, charge);
      else {
        const message = `account ${account.name} has used its allotment`;
        const {retryAfterMs} = charge;
        this.refuse(exchange, Status.TOO_MANY_REQUESTS, message, retryAfterMs);
      }
    });
  }

  /**
   * Finds the request for which the upstream makes a call. A call has no key,
   * and a connection with requests that have one belongs to a client.
   */
  private findParent(
    exchange: ClientExchange,
    key: string | undefined,
    deadlineMs: number,
  ): ParentCall | undefined {
    if (key !== undefined) exchange.markClient();
    if (exchange.isClient()) return undefined;
    const parent = this.parts.startChildCall(deadlineMs);
    if (parent) exchange.handleClose(() => parent.finish());
    return parent;
  }

  private refuseUnauthenticated(
    exchange: ClientExchange,
    {requestId, key}: ClientHead,
    route: Route,
    version: number,
  ): void {
    const hasKey = key !== undefined;
    this.parts.metrics.count('requests_unauthenticated_total');
    this.parts.record(
      EventCode.REQUEST_UNAUTHENTICATED,
      {route: route.name, hasKey, version},
      requestId,
    );
    this.refuse(exchange, Status.UNAUTHORIZED, 'the key is missing or unknown');
  }

  /**
   * Decides whether a stopping node accepts a request: only one that can be
   * answered before the stop and, late in it, only calls for running requests.
   */
  private isAcceptedDuringStop(
    stop: StopSchedule,
    parent: ParentCall | undefined,
    deadlineMs: number,
    route: string,
  ): boolean {
    const nowMs = this.parts.clock.readMs();
    const usualMs = this.requestTimes.computeUpperMs(route);
    if (stop.hasTimeToAnswer(nowMs, deadlineMs, usualMs)) return true;
    if (!parent) return false;
    // If it may be a client's request, it must not be cut off at the end.
    return parent.isConfirmed || stop.clampDeadline(deadlineMs) === deadlineMs;
  }

  private start(
    exchange: ClientExchange,
    routed: RoutedRequest,
    charge?: Charge,
  ): void {
    const {clock, peers, service, record, metrics, readRetryBudget} =
      this.parts;
    const call = new OriginCall(routed, {
      clock,
      peers,
      callerService: service,
      record,
      metrics,
      readRetryBudget,
      handle: (answer) => {
        if (answer.kind === AnswerKind.NOT_RUN) charge?.release();
        this.answer(exchange, routed, answer);
      },
    });
    this.openRequests.set(exchange, call);
    exchange.handleClose((isCut) => {
      if (isCut) call.cancel();
    });
    call.start();
  }

  private answer(
    exchange: ClientExchange,
    {requestId, route, arrivedMs}: RoutedRequest,
    {kind, result}: Answer,
  ): void {
    if (kind === AnswerKind.RESPONSE) {
      const elapsedMs = this.parts.clock.readMs() - arrivedMs;
      this.requestTimes.observe(route.name, elapsedMs);
      this.forward(exchange, result);
      return;
    }
    if (kind === AnswerKind.NOT_RUN) {
      const message = `request ${requestId} was not run: ${result.reason}`;
      const retryMs = Math.max(MIN_RETRY_MS, result.retryAfterMs);
      this.refuse(exchange, Status.UNAVAILABLE, message, retryMs);
      return;
    }
    const status =
      kind === AnswerKind.TIMED_OUT
        ? Status.GATEWAY_TIMEOUT
        : Status.BAD_GATEWAY;
    const message = `request ${requestId} may have run: ${result.reason}`;
    this.refuse(exchange, status, message);
  }

  /** Forwards the response of an upstream without its hop-by-hop headers. */
  private forward(
    exchange: ClientExchange,
    {status, headers, body}: CallResult,
  ): void {
    const forwarded: string[] = [];
    for (let index = 0; index < headers.length; index += 2) {
      const name = headers[index] ?? '';
      if (HOP_BY_HOP_HEADERS.has(name.toLowerCase())) continue;
      forwarded.push(name, headers[index + 1] ?? '');
    }
    exchange.answer({status, headers: forwarded, body});
  }

  private refuse(
    exchange: ClientExchange,
    status: Status,
    message: string,
    retryMs?: number,
  ): void {
    const body = Buffer.from(`${JSON.stringify({error: message})}\n`);
    const headers = ['Content-Type', 'application/json'];
    if (retryMs !== undefined) {
      const spreadMs = retryMs * (1 + RETRY_JITTER * this.parts.random());
      headers.push('Retry-After', (spreadMs / 1000).toFixed(3));
    }
    const {complete, rawHeaders} = exchange.request;
    const endsConnection = hasBody(rawHeaders) && !complete;
    exchange.answer({status, headers, body, endsConnection});
  }

  private refuseStopping(exchange: ClientExchange): void {
    const reason = 'the node is stopping';
    this.refuseEarly(exchange, Status.UNAVAILABLE, reason, STOP_RETRY_MS);
  }

  /** Refuses a request that was not sent to any node. */
  private refuseEarly(
    exchange: ClientExchange,
    status: Status,
    reason: string,
    retryMs?: number,
  ): void {
    const {rawHeaders} = exchange.request;
    const {requestId} = this.parts.wire.readClientHead(rawHeaders);
    const details = {answer: AnswerKind.NOT_RUN, status, reason};
    this.parts.metrics.count('requests_turned_away_total', {reason});
    this.parts.record(EventCode.REQUEST_REFUSED, details, requestId);
    this.refuse(exchange, status, reason, retryMs);
  }

  private recordUnrouted(
    requestId: string,
    {host, path}: {host: string; path: string},
    version: number,
  ): void {
    this.parts.metrics.count('requests_unrouted_total');
    this.parts.record(
      EventCode.REQUEST_UNROUTED,
      {host, path, version},
      requestId,
    );
  }
}

/**
 * Returns until when a start of the request is useful. A request that waits
 * past its target latency has lost most of its use and delays others that could
 * be in time. Critical requests wait until their deadline.
 */
function computeUsefulUntil(
  route: Route,
  importance: Importance,
  arrivedMs: number,
  deadlineMs: number,
): number {
  if (importance === Importance.CRITICAL) return deadlineMs;
  return Math.min(deadlineMs, arrivedMs + route.targetLatencyMs);
}

/** Whether the headers of a request announce a body. */
function hasBody(headers: HeaderList): boolean {
  return (
    getHeader(headers, 'content-length') !== undefined ||
    getHeader(headers, 'transfer-encoding') !== undefined
  );
}

/** Reads a whole body; calls back with undefined if it is too large. */
function readBody(
  request: IncomingMessage,
  maxBytes: number,
  handle: (body: Uint8Array | undefined) => void,
): void {
  let bytes: ByteList | undefined = new ByteList();
  request.on('data', (chunk: Buffer) => {
    bytes?.add(chunk);
    if (!bytes || bytes.readLength() <= maxBytes) return;
    bytes = undefined;
    handle(undefined);
  });
  request.on('end', () => {
    if (bytes) handle(bytes.join());
  });
  request.on('error', () => request.destroy());
}
