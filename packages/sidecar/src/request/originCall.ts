/** Sends a client's or the upstream's request to nodes until it is answered. */
import type {Clock} from 'sycamoreyoke/clock';
import type {AccountMetrics} from 'sycamoreyoke/process/accountMetrics';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Metrics} from 'sycamoreyoke/process/metrics';
import type {RetryAllowance} from 'sycamoreyoke/process/retryAllowance';
import type {WorkDone} from 'sycamoreyoke/process/retryOrder';
import {
  ResendDecision,
  SendEnd,
  decideResend,
  decideWhenBudgetExhausted,
} from 'sycamoreyoke/request/resend';
import type {Importance} from 'sycamoreyoke/types';
import type {Route} from 'sycamoreyoke/version/routeTable';
import {Repeatability} from 'sycamoreyoke/version/routeTable';
import type {BodyBytes} from '../connection/bodyBytes.js';
import {countBytes} from '../connection/bodyBytes.js';
import {createFailure} from '../connection/callFailure.js';
import {ANSWER_MARGIN_MS, NO_MEMBER_RETRY_MS} from '../constants.js';
import type {ChosenNode, PeerTask} from '../process/peerTask.js';
import type {CallResult, HeaderList, PendingCall} from '../types.js';
import {GateReason} from '../types.js';
import {describeCallAccount} from './callAccount.js';
import {findHeadFault} from './responseHead.js';

/** A request that was read completely and has a route. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly route: Route;
  readonly service: string;
  readonly importance: Importance;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
  readonly body: BodyBytes;
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  /** Starting the request later is of little use; on the node's clock, ms. */
  readonly usefulUntilMs: number;
  readonly configurationVersion: number;
  /** Id of the request for which the upstream makes this call. */
  readonly parentId: string | undefined;
  /** Returns the work done for that request. */
  readonly readParentWork?: (() => WorkDone | undefined) | undefined;
  /** Client account whose key the request has, if any. */
  readonly account: string | undefined;
  /** Account that an upstream's call is probably made for. */
  readonly inferredAccount?: string | undefined;
}

/** What the answer says about the execution of the request. */
export enum AnswerKind {
  /** The upstream's response. */
  RESPONSE = 'response',
  /** The request has not run and will not. */
  NOT_RUN = 'not-run',
  /** The request may have run. */
  UNKNOWN = 'unknown',
  /** The deadline has passed; the request may have run. */
  TIMED_OUT = 'timed-out',
}

/** The answer to the client, and the result that led to it. */
export interface Answer {
  readonly kind: AnswerKind;
  readonly result: CallResult;
}

/** Dependencies of a call. */
export interface OriginCallParts {
  readonly clock: Clock;
  readonly peers: Pick<PeerTask, 'choose'>;
  readonly callerService: string;
  readonly record: EventRecorder;
  readonly metrics: Metrics;
  readonly accountMetrics: AccountMetrics;
  readonly readRetryBudget: (service: string) => RetryAllowance;
  readonly handle: (answer: Answer) => void;
}

/** Sends one request, with retries; its handler is called once. */
export class OriginCall {
  private pendingCall: PendingCall | undefined;
  private chosenNode: ChosenNode | undefined;
  private timer: NodeJS.Timeout | undefined;
  private isEnded = false;
  private lastSentMs = 0;
  private sends = 0;
  private arrivals = 0;
  private runs = 0;
  private deadlineRefusals = 0;
  private mayHaveRun = false;
  private lastFailure: CallResult | undefined;
  private readonly excludedNodes = new Set<string>();
  /** Nodes whose upstreams have received the request. */
  private readonly reachedNodes = new Set<string>();

  constructor(
    private readonly request: RoutedRequest,
    private readonly parts: OriginCallParts,
  ) {}

  start(): void {
    const leftMs = this.request.deadlineMs - this.parts.clock.readMs();
    this.timer = setTimeout(() => this.expire(), leftMs + ANSWER_MARGIN_MS);
    this.parts.readRetryBudget(this.request.service).recordFirstAttempt();
    if (leftMs > 0) this.send();
    else this.expire();
  }

  /** Cancels the request because its client has gone. */
  cancel(): void {
    if (this.isEnded) return;
    this.record(EventCode.REQUEST_CANCELLED, {sends: this.sends});
    this.finish();
    this.pendingCall?.cancel();
  }

  /** Answers at once with what is known; a pending call may have run. */
  end(reason: GateReason): void {
    if (this.isEnded) return;
    this.pendingCall?.cancel();
    this.answer(
      this.sends > 0 ? AnswerKind.UNKNOWN : AnswerKind.NOT_RUN,
      createFailure(SendEnd.LOST, reason),
    );
  }

  private send(): void {
    const {request, parts} = this;
    const nowMs = parts.clock.readMs();
    this.chosenNode = this.chooseNode();
    if (!this.chosenNode) {
      this.answerWithoutNode();
      return;
    }
    this.sends += 1;
    this.lastSentMs = nowMs;
    const {sends} = this;
    const pending = this.chosenNode.send(
      {
        requestId: request.requestId,
        service: request.service,
        callerService: parts.callerService,
        kind: request.route.name,
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        leftMs: request.deadlineMs - nowMs,
        usefulMs: request.usefulUntilMs - nowMs,
        importance: request.importance,
        isIdempotent: this.isIdempotent(),
        account: request.account,
        inferredAccount: request.inferredAccount,
      },
      (result) => this.handleResult(result),
    );
    // The handler may be called synchronously and start the next send.
    if (this.sends === sends) this.pendingCall = pending;
  }

  /** Chooses a node within the number of upstreams that the route allows. */
  private chooseNode(): ChosenNode | undefined {
    const {service, route, body} = this.request;
    const {peers} = this.parts;
    const hasReachedLimit = this.reachedNodes.size >= route.maxAttempts;
    return peers.choose(service, route.name, countBytes(body), (node) =>
      hasReachedLimit
        ? this.reachedNodes.has(node)
        : !this.excludedNodes.has(node),
    );
  }

  private handleResult(received: CallResult): void {
    if (this.isEnded) return;
    const result = checkResponseHead(received);
    this.countArrival(result);
    if (result.end === SendEnd.RESPONSE) {
      this.handleResponse(result);
      return;
    }
    if (isNodeFault(result)) this.chosenNode?.avoid();
    this.sendAgain(result);
  }

  private handleResponse(result: CallResult): void {
    const elapsedMs = this.parts.clock.readMs() - this.lastSentMs;
    this.chosenNode?.observe(this.request.route.name, elapsedMs);
    this.answer(AnswerKind.RESPONSE, result);
  }

  /** Sends the request again, or answers it with what is known. */
  private sendAgain(result: CallResult): void {
    const {request, parts} = this;
    const decision = decideResend({
      end: result.end,
      isIdempotent: this.isIdempotent(),
      runs: this.runs,
      maxAttempts: request.route.maxAttempts,
      sends: this.sends,
      deadlineRefusals: this.deadlineRefusals,
      leftMs: request.deadlineMs - parts.clock.readMs(),
      isRefusedEverywhere: result.reason === GateReason.CRASHING,
    });
    const isPermitted =
      decision !== ResendDecision.SEND_ON_BUDGET ||
      parts
        .readRetryBudget(request.service)
        .takeRetry(
          request.importance,
          result.end === SendEnd.LOST,
          request.readParentWork?.(),
        );
    if (!isPermitted) {
      const labels = {service: request.service};
      parts.metrics.count('retries_denied_total', labels);
    }
    this.apply(
      isPermitted ? decision : decideWhenBudgetExhausted(result.end),
      result,
    );
  }

  private apply(decision: ResendDecision, result: CallResult): void {
    if (
      decision === ResendDecision.SEND_FREELY ||
      decision === ResendDecision.SEND_ON_BUDGET
    ) {
      this.record(EventCode.CALL_RETRIED, {
        node: this.chosenNode?.node ?? '',
        reason: result.reason ?? '',
        sends: this.sends,
        arrivals: this.arrivals,
      });
      this.lastFailure = result;
      this.send();
      return;
    }
    this.answerFailure(result);
  }

  private answerWithoutNode(): void {
    const failure =
      this.lastFailure ??
      createFailure(
        SendEnd.REFUSED_BY_GATE,
        GateReason.NO_MEMBER,
        NO_MEMBER_RETRY_MS,
      );
    this.answerFailure(failure);
  }

  private answerFailure(result: CallResult): void {
    const isPastDeadline =
      this.parts.clock.readMs() >= this.request.deadlineMs - 1;
    if (!this.mayHaveRun) this.answer(AnswerKind.NOT_RUN, result);
    else if (isPastDeadline) this.answer(AnswerKind.TIMED_OUT, result);
    else this.answer(AnswerKind.UNKNOWN, result);
  }

  private expire(): void {
    if (this.isEnded) return;
    this.pendingCall?.cancel();
    // A call without a result may still be running.
    this.mayHaveRun = this.mayHaveRun || this.sends > 0;
    const end = SendEnd.LOST;
    this.answer(
      this.mayHaveRun ? AnswerKind.TIMED_OUT : AnswerKind.NOT_RUN,
      createFailure(end, GateReason.DEADLINE),
    );
  }

  private answer(kind: AnswerKind, result: CallResult): void {
    const elapsedMs = this.parts.clock.readMs() - this.request.arrivedMs;
    this.finish();
    const {route, account, parentId} = this.request;
    // The requests of the account's clients; calls made for them add nothing.
    if (account !== undefined && parentId === undefined) {
      const nowMs = this.parts.clock.readMs();
      const reason = result.reason ?? '';
      this.parts.accountMetrics.record(account, kind, reason, nowMs);
    }
    const labels = {route: route.name, answer: kind};
    this.parts.metrics.count('requests_total', labels);
    this.parts.metrics.observe('request_seconds', elapsedMs, {
      route: route.name,
    });
    this.record(
      kind === AnswerKind.RESPONSE
        ? EventCode.CALL_COMPLETED
        : EventCode.REQUEST_REFUSED,
      {
        route: route.name,
        service: this.request.service,
        node: this.chosenNode?.node ?? '',
        answer: kind,
        status: result.status,
        reason: result.reason ?? '',
        sends: this.sends,
        arrivals: this.arrivals,
        elapsedMs: Math.round(elapsedMs),
        leftMs: Math.round(this.request.deadlineMs - this.parts.clock.readMs()),
        importance: this.request.importance,
        parent: this.request.parentId ?? '',
        version: this.request.configurationVersion,
      },
    );
    this.parts.handle({kind, result});
  }

  private countArrival({end, reason}: CallResult): void {
    const node = this.chosenNode?.node ?? '';
    this.excludedNodes.add(node);
    if (reason === GateReason.DEADLINE) this.deadlineRefusals += 1;
    if (end === SendEnd.REFUSED_BY_GATE) return;
    this.arrivals += 1;
    this.reachedNodes.add(node);
    if (end === SendEnd.REFUSED_BY_UPSTREAM) return;
    this.runs += 1;
    this.mayHaveRun = true;
  }

  private isIdempotent(): boolean {
    return this.request.route.repeatability === Repeatability.IDEMPOTENT;
  }

  private finish(): void {
    this.isEnded = true;
    clearTimeout(this.timer);
  }

  private record(
    code: EventCode,
    details: Readonly<Record<string, string | number>>,
  ): void {
    const {requestId} = this.request;
    const accountDetails = describeCallAccount(this.request);
    this.parts.record(code, {...details, ...accountDetails}, requestId);
  }
}

/** Rejects a response that cannot be written; other versions may send one. */
function checkResponseHead(result: CallResult): CallResult {
  const {end, status, headers} = result;
  const isValid =
    end !== SendEnd.RESPONSE || findHeadFault(status, headers) === undefined;
  return isValid
    ? result
    : createFailure(SendEnd.LOST, GateReason.BAD_RESPONSE);
}

/** Whether the result means a fault of the node, which is then avoided. */
function isNodeFault({end, reason}: CallResult): boolean {
  return (
    end === SendEnd.LOST ||
    reason === GateReason.UPSTREAM_DOWN ||
    reason === GateReason.WRONG_SERVICE ||
    reason === GateReason.LINK_LOST
  );
}
