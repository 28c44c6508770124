/** Reads requests at the outbound address and writes their answers. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from 'sycamoreyoke/clock';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Metrics} from 'sycamoreyoke/process/metrics';
import type {RetryAllowance} from 'sycamoreyoke/process/retryAllowance';
import type {WeightedRotation} from 'sycamoreyoke/process/weightedRotation';
import {Importance} from 'sycamoreyoke/types';
import type {Route, RouteTable} from 'sycamoreyoke/version/routeTable';
import {findRoute} from 'sycamoreyoke/version/routeTable';
import type {Random} from 'sycamoreyoke/random';
import {DEFAULT_TIMEOUT_MS} from '../constants.js';
import type {PeerTask} from '../process/peerTask.js';
import type {ParentCall} from '../process/upstreamTask.js';
import type {HeaderList, WireProtocol} from '../types.js';
import type {Answer, RoutedRequest} from './originCall.js';
import {ClientConnection} from '../connection/clientConnection.js';
import {getHeader} from '../connection/headerList.js';
import {HOP_HEADERS} from './hopHeaders.js';
import {AnswerKind, OriginCall} from './originCall.js';

/** What the handler needs of its node. */
export interface OriginHandlerParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly wire: WireProtocol;
  readonly peers: PeerTask;
  readonly rotation: WeightedRotation;
  readonly service: string;
  readonly record: EventRecorder;
  readonly metrics: Metrics;
  readonly readTable: () => RouteTable | undefined;
  readonly readBudget: (service: string) => RetryAllowance;
  /** The running request for which a call is made, if any. */
  readonly startChildCall: (deadlineMs: number) => ParentCall | undefined;
  readonly isStopping: () => boolean;
}

enum Status {
  BAD_REQUEST = 400,
  NOT_FOUND = 404,
  TOO_LARGE = 413,
  BAD_GATEWAY = 502,
  UNAVAILABLE = 503,
  GATEWAY_TIMEOUT = 504,
}

/** Advice to a client before the first configuration has arrived. */
const STARTING_RETRY_MS = 300;
/** Spread of Retry-After, so that refused clients do not return together. */
const RETRY_SPREAD = 0.5;
/** Shortest advice to a refused client, ms. */
const SHORTEST_RETRY_MS = 100;
/**
 * A body up to this size is written as text, which the HTTP library joins with
 * the head into one write; a larger one would be copied for nothing.
 */
const MAX_TEXT_BODY_BYTES = 16 * 1024;
const EMPTY_BODY = new Uint8Array(0);
/** Ranks from which on requests have the given importance. */
const RANK_IMPORTANCE = [
  Importance.CRITICAL,
  Importance.HIGH,
  Importance.NORMAL,
] as const;

/** Serves the outbound address. */
export class OriginHandler {
  private running = 0;
  private readonly connections = new WeakMap<Socket, ClientConnection>();

  constructor(private readonly parts: OriginHandlerParts) {}

  countRunning(): number {
    return this.running;
  }

  handle(request: IncomingMessage, response: ServerResponse): void {
    const arrivedMs = this.parts.clock.readMs();
    this.running += 1;
    this.findConnection(request.socket).add(response);
    response.once('close', () => {
      this.running -= 1;
    });
    if (!hasBody(request.rawHeaders)) {
      this.route(request, response, EMPTY_BODY, arrivedMs);
      return;
    }
    const table = this.parts.readTable();
    readBody(request, table?.limits.maxBodyBytes ?? Infinity, (body) => {
      if (!body) {
        this.refuseEarly(
          request,
          response,
          Status.TOO_LARGE,
          'body is too large',
        );
        return;
      }
      this.route(request, response, body, arrivedMs);
    });
  }

  private findConnection(socket: Socket): ClientConnection {
    const known = this.connections.get(socket);
    if (known) return known;
    const connection = new ClientConnection(socket, this.parts);
    this.connections.set(socket, connection);
    return connection;
  }

  private route(
    request: IncomingMessage,
    response: ServerResponse,
    body: Uint8Array,
    arrivedMs: number,
  ): void {
    const table = this.parts.readTable();
    if (!table) {
      const message = 'no configuration has arrived yet';
      this.refuseEarly(
        request,
        response,
        Status.UNAVAILABLE,
        message,
        STARTING_RETRY_MS,
      );
      return;
    }
    const head = this.parts.wire.readClientHead(request.rawHeaders);
    if (head.requestId === undefined) {
      this.refuseEarly(request, response, Status.BAD_REQUEST, 'no request id');
      return;
    }
    const path = request.url ?? '/';
    const host = getHeader(request.rawHeaders, 'host') ?? '';
    const route = findRoute(table, host, path);
    const service =
      route && this.parts.rotation.choose(route.name, route.targets);
    if (!route || service === undefined) {
      this.recordUnrouted(head.requestId, {host, path}, table.version);
      this.refuse(response, Status.NOT_FOUND, 'no route matches');
      return;
    }
    const leftMs = head.leftMs ?? DEFAULT_TIMEOUT_MS;
    const deadlineMs = arrivedMs + Math.min(leftMs, route.timeoutMs);
    const parent = this.parts.startChildCall(arrivedMs + leftMs);
    const importance = chooseImportance(route, parent);
    this.start(response, {
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
    });
    if (parent) response.once('close', () => parent.finish());
  }

  private start(response: ServerResponse, routed: RoutedRequest): void {
    const {clock, peers, service, record, metrics, readBudget} = this.parts;
    const call = new OriginCall(routed, {
      clock,
      peers,
      callerService: service,
      record,
      metrics,
      readBudget,
      handle: (answer) => this.answer(response, routed, answer),
    });
    response.once('close', () => {
      if (!response.writableFinished) call.cancel();
    });
    call.start();
  }

  private answer(
    response: ServerResponse,
    {requestId}: RoutedRequest,
    {kind, result}: Answer,
  ): void {
    if (kind === AnswerKind.RESPONSE) {
      this.writeResponse(response, result.status, result.headers, result.body);
      return;
    }
    if (kind === AnswerKind.NOT_RUN) {
      const message = `request ${requestId} was not run: ${result.reason}`;
      const retryMs = Math.max(SHORTEST_RETRY_MS, result.retryAfterMs);
      this.refuse(response, Status.UNAVAILABLE, message, retryMs);
      return;
    }
    const status =
      kind === AnswerKind.TIMED_OUT
        ? Status.GATEWAY_TIMEOUT
        : Status.BAD_GATEWAY;
    const message = `request ${requestId} may have run: ${result.reason}`;
    this.refuse(response, status, message);
  }

  private writeResponse(
    response: ServerResponse,
    status: number,
    headers: HeaderList,
    body: Uint8Array,
  ): void {
    if (response.destroyed) return;
    response.sendDate = false;
    const passed: string[] = [];
    for (let index = 0; index < headers.length; index += 2) {
      const name = headers[index] ?? '';
      if (HOP_HEADERS.has(name.toLowerCase())) continue;
      passed.push(name, headers[index + 1] ?? '');
    }
    passed.push('Content-Length', String(body.length));
    if (this.parts.isStopping()) passed.push('Connection', 'close');
    response.writeHead(status, passed);
    if (body.length > MAX_TEXT_BODY_BYTES) response.end(body);
    else response.end(decodeBytes(body), 'latin1');
  }

  private refuse(
    response: ServerResponse,
    status: Status,
    message: string,
    retryMs?: number,
  ): void {
    if (response.destroyed) return;
    const body = Buffer.from(`${JSON.stringify({error: message})}\n`);
    const headers = [
      'Content-Type',
      'application/json',
      'Content-Length',
      String(body.length),
    ];
    if (retryMs !== undefined) {
      const spreadMs = retryMs * (1 + RETRY_SPREAD * this.parts.random());
      headers.push('Retry-After', (spreadMs / 1000).toFixed(3));
    }
    if (this.parts.isStopping() || status === Status.TOO_LARGE) {
      headers.push('Connection', 'close');
    }
    response.writeHead(status, headers);
    response.end(body);
  }

  /** Answers a request that was not offered to any node. */
  private refuseEarly(
    request: IncomingMessage,
    response: ServerResponse,
    status: Status,
    reason: string,
    retryMs?: number,
  ): void {
    const {requestId} = this.parts.wire.readClientHead(request.rawHeaders);
    const details = {answer: AnswerKind.NOT_RUN, status, reason};
    this.parts.metrics.count('requests_turned_away_total', {reason});
    this.parts.record(EventCode.REQUEST_REFUSED, details, requestId);
    this.refuse(response, status, reason, retryMs);
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

/** A call is as important as the request for which it is made. */
function chooseImportance(
  {rank}: Route,
  parent: ParentCall | undefined,
): Importance {
  const own = RANK_IMPORTANCE[rank] ?? Importance.LOW;
  return Math.max(own, parent?.importance ?? own);
}

/**
 * A request that waits past its target latency has lost most of its use, and
 * holds back others that could be in time. The most important ones wait for as
 * long as they may.
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

/** Latin-1 text, which has one character for each byte. */
function decodeBytes(bytes: Uint8Array): string {
  const {buffer, byteOffset, length} = bytes;
  return Buffer.from(buffer, byteOffset, length).toString('latin1');
}

/** Whether the head of a request announces a body. */
function hasBody(headers: HeaderList): boolean {
  return (
    getHeader(headers, 'content-length') !== undefined ||
    getHeader(headers, 'transfer-encoding') !== undefined
  );
}

/** Reads a whole body; hands on none when it is too large. */
function readBody(
  request: IncomingMessage,
  maxBytes: number,
  handle: (body: Uint8Array | undefined) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  let isTooLarge = false;
  request.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size <= maxBytes) {
      chunks.push(chunk);
    } else if (!isTooLarge) {
      isTooLarge = true;
      handle(undefined);
    }
  });
  request.on('end', () => {
    if (!isTooLarge) handle(Buffer.concat(chunks));
  });
  request.on('error', () => request.destroy());
}
