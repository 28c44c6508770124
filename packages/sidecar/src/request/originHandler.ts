/** Handles the requests that arrive at the outbound address. */
import {RequestTimes} from 'sycamoreyoke/process/requestTimes';
import type {Account} from 'sycamoreyoke/version/accounts';
import {CredentialCheck, checkCredentials} from 'sycamoreyoke/version/accounts';
import type {Route} from 'sycamoreyoke/version/routeTable';
import {findRoute} from 'sycamoreyoke/version/routeTable';
import {DEFAULT_TIMEOUT_MS} from '../constants.js';
import type {Charge} from '../process/allotmentTask.js';
import type {ParentRequest} from '../process/parentCall.js';
import type {ClientHead} from '../types.js';
import {GateReason} from '../types.js';
import type {Answer, RoutedRequest} from './originCall.js';
import type {BodyBytes} from '../connection/bodyBytes.js';
import type {ClientExchange} from '../connection/clientExchange.js';
import {ExchangeState} from '../connection/clientExchange.js';
import {getHeader} from '../connection/headerList.js';
import {countRefusal, describeAccount} from './accountDetails.js';
import {CallOrigin} from './callOrigin.js';
import {forwardResponse} from './exchangeAnswers.js';
import {AnswerKind, OriginCall} from './originCall.js';
import type {OriginHandlerParts} from './originHandlerParts.js';
import {Status} from './refusal.js';
import {
  BodyFault,
  RequestBody,
  hasBody,
  readAnnouncedBytes,
} from './requestBody.js';
import {RequestRefusals} from './requestRefusals.js';
import {chooseImportance, computeUsefulUntil} from './routeChoice.js';
import {isAcceptedDuringStop} from './stopAcceptance.js';

/** Retry delay advised to clients until the first configuration arrives. */
const START_RETRY_MS = 300;
/** Shortest retry delay advised to clients. */
const MIN_RETRY_MS = 100;
const EMPTY_BODY = new Uint8Array(0);

/** What the head of a request says and decides; its body may be missing. */
interface RequestHead {
  readonly requestId: string;
  readonly client: ClientHead;
  readonly method: string;
  readonly path: string;
  readonly route: Route;
  readonly service: string;
  readonly deadlineMs: number;
  readonly maxBodyBytes: number;
  readonly version: number;
  readonly origin: CallOrigin;
}

/** A request that passed the checks of its head. */
interface AcceptedHead extends RequestHead {
  /** The account whose key the request has. */
  readonly account: Account | undefined;
}

/** Reads, routes and answers the requests at the outbound address. */
export class OriginHandler {
  /** Unanswered requests, each with its call once it was routed. */
  private readonly openRequests = new Map<
    ClientExchange,
    OriginCall | undefined
  >();

  private handled = 0;
  private readonly requestTimes = new RequestTimes();
  private readonly refusals: RequestRefusals;

  constructor(private readonly parts: OriginHandlerParts) {
    this.refusals = new RequestRefusals(parts);
  }

  /** Counts the requests since the start. */
  countHandled(): number {
    return this.handled;
  }

  /** Routes a request by its head, and starts it once it has its body. */
  handle(exchange: ClientExchange): void {
    this.handled += 1;
    this.openRequests.set(exchange, undefined);
    exchange.handleClose(() => this.openRequests.delete(exchange));
    const head = this.acceptHead(exchange);
    if (!head) return;
    if (head.account?.ratePerS === undefined) this.receive(exchange, head);
    else this.takeToken(exchange, head, head.account);
  }

  /** Begins a client's request if its account may run another one. */
  private takeToken(
    exchange: ClientExchange,
    head: AcceptedHead,
    account: Account,
  ): void {
    const {route, deadlineMs} = head;
    const {arrivedMs} = exchange;
    const importance = chooseImportance(route, account, undefined);
    const request = {
      requestId: head.requestId,
      route,
      usefulUntilMs: computeUsefulUntil(
        route,
        importance,
        arrivedMs,
        deadlineMs,
      ),
      configurationVersion: head.version,
    };
    this.parts.allotments.take(account, request, (charge) => {
      const isOpen = exchange.state === ExchangeState.RUNNING;
      if (isOpen && charge.isGranted) {
        this.receive(exchange, head, charge);
        return;
      }
      charge.release();
      if (!isOpen) return;
      const {name} = account;
      countRefusal(this.parts, {account: name}, 'over-allotment');
      const message = `account ${name} has used its allotment`;
      const {retryAfterMs} = charge;
      this.refusals.refuse(
        exchange,
        Status.TOO_MANY_REQUESTS,
        message,
        retryAfterMs,
      );
    });
  }

  /** Reads the body of a request and starts it. */
  private receive(
    exchange: ClientExchange,
    head: AcceptedHead,
    charge?: Charge,
  ): void {
    let isStarted = false;
    exchange.handleClose(() => {
      if (!isStarted) charge?.release();
    });
    const isCall = head.origin.isUpstreamCall();
    if (!isCall && !this.checkBegin(exchange, head)) return;
    const {request} = exchange;
    if (!hasBody(request.rawHeaders)) {
      isStarted = this.startRequest(exchange, head, EMPTY_BODY, charge);
      return;
    }
    const body = new RequestBody({
      request,
      held: this.parts.held,
      pool: this.parts.pool,
      maxBytes: head.maxBodyBytes,
      leftMs: head.deadlineMs - this.parts.clock.readMs(),
      handle: (bytes) => {
        if (exchange.state !== ExchangeState.RUNNING) return;
        isStarted = this.startRequest(exchange, head, bytes, charge);
      },
      handleFault: (fault) => this.refusals.refuseBody(exchange, fault),
    });
    exchange.handleClose(() => body.close());
    body.start();
  }

  /** Answers all open requests with what is known of them. */
  answerOpenRequests(): void {
    for (const [exchange, call] of this.openRequests) {
      if (exchange.state !== ExchangeState.RUNNING) continue;
      if (call) call.end(GateReason.NODE_STOPPING);
      else this.refusals.refuseStopping(exchange);
    }
  }

  /** Decides by the head alone, before a byte of the body is read. */
  private acceptHead(exchange: ClientExchange): AcceptedHead | undefined {
    const {request, arrivedMs} = exchange;
    const {rawHeaders} = request;
    const table = this.parts.readTable();
    if (!table) {
      const message = 'no configuration has arrived yet';
      this.refusals.refuseEarly(
        exchange,
        Status.UNAVAILABLE,
        message,
        START_RETRY_MS,
      );
      return undefined;
    }
    this.refusals.update(table.accounts);
    const client = this.parts.wire.readClientHead(rawHeaders);
    const host = getHeader(rawHeaders, 'host');
    if (client.requestId === undefined || host === undefined) {
      this.refusals.refuseEarly(
        exchange,
        Status.BAD_REQUEST,
        'no request id or host',
      );
      return undefined;
    }
    const path = request.url ?? '/';
    const route = findRoute(table, host, path);
    const service =
      route && this.parts.rotation.choose(route.name, route.targets);
    if (!route || service === undefined) {
      const {version} = table;
      const account = describeAccount(table.accounts, client.key);
      const place = {host, path, version, ...account};
      this.refusals.recordUnrouted(client.requestId, place);
      this.refusals.refuse(exchange, Status.NOT_FOUND, 'no route matches');
      return undefined;
    }
    if (client.key !== undefined) exchange.owner.recordKey();
    const leftMs = client.leftMs ?? DEFAULT_TIMEOUT_MS;
    const head: RequestHead = {
      requestId: client.requestId,
      client,
      method: request.method ?? 'GET',
      path,
      route,
      service,
      deadlineMs: arrivedMs + Math.min(leftMs, route.timeoutMs),
      maxBodyBytes: table.limits.maxBodyBytes,
      version: table.version,
      origin: new CallOrigin(exchange, leftMs, this.parts.childCalls),
    };
    if (table.accounts) head.origin.recordOwner();
    const check = this.checkRequest(exchange, head, head.origin.parent);
    if (!check) return undefined;
    if ((readAnnouncedBytes(rawHeaders) ?? 0) > head.maxBodyBytes) {
      this.refusals.refuseBody(exchange, BodyFault.TOO_LARGE);
      return undefined;
    }
    return {...head, account: check.account};
  }

  /** Refuses a client's request whose calls would probably fail. */
  private checkBegin(
    exchange: ClientExchange,
    {requestId, route, client, account}: AcceptedHead,
  ): boolean {
    const importance = chooseImportance(route, account, undefined);
    const leftMs = client.leftMs ?? DEFAULT_TIMEOUT_MS;
    const {beginCheck} = this.parts;
    const name = account?.name;
    const request = {requestId, route, importance, leftMs, account: name};
    const retryMs = beginCheck.check(request);
    if (retryMs === undefined) return true;
    countRefusal(this.parts, name ? {account: name} : {}, 'not-begun');
    const message = 'calls of the request would fail';
    this.refusals.refuse(exchange, Status.UNAVAILABLE, message, retryMs);
    return false;
  }

  /** Starts a request that is complete, unless it is refused now. */
  private startRequest(
    exchange: ClientExchange,
    head: AcceptedHead,
    body: BodyBytes,
    charge: Charge | undefined,
  ): boolean {
    const {arrivedMs} = exchange;
    const {client, route, origin} = head;
    const parent = origin.startCall();
    // Keys and the node's state may have changed while the body arrived.
    const check = this.checkRequest(exchange, head, parent);
    if (!check) return false;
    const stop = this.parts.readStopSchedule();
    const deadlineMs =
      parent && stop ? stop.clampDeadline(head.deadlineMs) : head.deadlineMs;
    const importance = chooseImportance(route, check.account, parent);
    const routed: RoutedRequest = {
      requestId: head.requestId,
      route,
      service: head.service,
      importance,
      method: head.method,
      path: head.path,
      headers: client.headers,
      body,
      arrivedMs,
      deadlineMs,
      usefulUntilMs: computeUsefulUntil(
        route,
        importance,
        arrivedMs,
        deadlineMs,
      ),
      configurationVersion: head.version,
      parentId: parent?.requestId,
      readParentWork: parent && (() => parent.readWork()),
      account: check.account?.name,
      inferredAccount: check.account ? undefined : parent?.account,
    };
    this.start(exchange, routed, charge);
    return true;
  }

  /** Checks the key and the stop of the node; refuses what does not pass. */
  private checkRequest(
    exchange: ClientExchange,
    head: RequestHead,
    parent: ParentRequest | undefined,
  ): {account: Account | undefined} | undefined {
    const {client, route, deadlineMs, origin} = head;
    const {check, account} = checkCredentials(
      this.parts.readTable()?.accounts,
      {
        key: client.key,
        isPublicRoute: route.isPublic,
        isUpstreamCall: origin.isUpstreamCall(),
      },
    );
    if (check === CredentialCheck.UNKNOWN) {
      this.refuseWithoutAccount(exchange, head);
      return undefined;
    }
    const stop = this.parts.readStopSchedule();
    const nowMs = this.parts.clock.readMs();
    const usualMs = this.requestTimes.computeUpperMs(route.name);
    const times = {nowMs, deadlineMs, usualMs};
    if (stop && !isAcceptedDuringStop(stop, parent, times)) {
      this.refusals.refuseStopping(exchange);
      return undefined;
    }
    return {account};
  }

  /**
   * A call of the upstream is proper, so a request that may be one is refused as
   * not run; the upstream can repeat it.
   */
  private refuseWithoutAccount(
    exchange: ClientExchange,
    {client, route, version, origin}: RequestHead,
  ): void {
    const doubt = origin.findDoubt();
    if (doubt !== undefined) {
      this.refusals.refuseEarly(exchange, Status.UNAVAILABLE, doubt);
      return;
    }
    // A call with a shorter limit of its own looks like a client's request.
    const possibleParent = origin.parent?.requestId;
    const place = {
      route: route.name,
      version,
      ...(possibleParent === undefined ? {} : {possibleParent}),
    };
    this.refusals.refuseUnauthenticated(exchange, client, place);
  }

  private start(
    exchange: ClientExchange,
    routed: RoutedRequest,
    charge: Charge | undefined,
  ): void {
    const {clock, peers, service, record} = this.parts;
    const {metrics, accountMetrics, readRetryBudget} = this.parts;
    const call = new OriginCall(routed, {
      clock,
      peers,
      callerService: service,
      record,
      metrics,
      accountMetrics,
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
    routed: RoutedRequest,
    {kind, result}: Answer,
  ): void {
    const {requestId, route, arrivedMs} = routed;
    if (kind === AnswerKind.RESPONSE) {
      this.parts.beginCheck.observe(routed, result.status);
      const elapsedMs = this.parts.clock.readMs() - arrivedMs;
      this.requestTimes.observe(route.name, elapsedMs);
      forwardResponse(exchange, result);
      return;
    }
    if (kind === AnswerKind.NOT_RUN) {
      const message = `request ${requestId} was not run: ${result.reason}`;
      const retryMs = Math.max(MIN_RETRY_MS, result.retryAfterMs);
      this.refusals.refuse(exchange, Status.UNAVAILABLE, message, retryMs);
      return;
    }
    const status =
      kind === AnswerKind.TIMED_OUT
        ? Status.GATEWAY_TIMEOUT
        : Status.BAD_GATEWAY;
    const message = `request ${requestId} may have run: ${result.reason}`;
    this.refusals.refuse(exchange, status, message);
  }
}
