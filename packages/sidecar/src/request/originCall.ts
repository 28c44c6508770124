/** A request of a client or of the upstream, from its arrival to its answer. */
import type {Clock} from 'sycamoreyoke/clock';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Metrics} from 'sycamoreyoke/process/metrics';
import type {RetryAllowance} from 'sycamoreyoke/process/retryAllowance';
import {
  ResendDecision,
  SendEnd,
  decideResend,
  decideWithoutBudget,
} from 'sycamoreyoke/request/resend';
import type {Importance} from 'sycamoreyoke/types';
import type {Route} from 'sycamoreyoke/version/routeTable';
import {Repeatability} from 'sycamoreyoke/version/routeTable';
import {createFailure} from '../connection/peerLink.js';
import {ANSWER_MARGIN_MS, NO_MEMBER_RETRY_MS} from '../constants.js';
import type {ChosenNode, PeerTask} from '../process/peerTask.js';
import type {CallResult, HeaderList, PendingCall} from '../types.js';
import {GateReason} from '../types.js';
import {findHeadFault} from './responseHead.js';

/** A request whose head and body were read and whose route is known. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly route: Route;
  readonly service: string;
  readonly importance: Importance;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  /** A start after this time brings the caller little; clock of the node. */
  readonly usefulUntilMs: number;
  readonly configurationVersion: number;
  /** The request for which the upstream makes this call. */
  readonly parentId: string | undefined;
}

export enum AnswerKind {
  /** The upstream's response. */
  RESPONSE = 'response',
  /** The request has not run and will not. */
  NOT_RUN = 'not-run',
  /** The request may have run. */
  UNKNOWN = 'unknown',
  /** The time is up; the request may have run. */
  TIMED_OUT = 'timed-out',
}

/** What the client is told. */
export interface Answer {
  readonly kind: AnswerKind;
  readonly result: CallResult;
}

/** What a call needs of its node. */
export interface OriginCallParts {
  readonly clock: Clock;
  readonly peers: Pick<PeerTask, 'choose'>;
  readonly callerService: string;
  readonly record: EventRecorder;
  readonly metrics: Metrics;
  readonly readBudget: (service: string) => RetryAllowance;
  readonly handle: (answer: Answer) => void;
}

/** Sends one request until it is answered; its handler is called once. */
export class OriginCall {
  private pending: PendingCall | undefined;
  private chosen: ChosenNode | undefined;
  private timer: NodeJS.Timeout | undefined;
  private isEnded = false;
  private sentMs = 0;
  private sends = 0;
  private arrivals = 0;
  private runs = 0;
  private lateRefusals = 0;
  private mayHaveRun = false;
  private lastFailure: CallResult | undefined;
  private readonly excluded = new Set<string>();
  /** Nodes whose upstreams have seen the request. */
  private readonly reached = new Set<string>();

  constructor(
    private readonly request: RoutedRequest,
    private readonly parts: OriginCallParts,
  ) {}

  start(): void {
    const leftMs = this.request.deadlineMs - this.parts.clock.readMs();
    this.timer = setTimeout(() => this.expire(), leftMs + ANSWER_MARGIN_MS);
    this.parts.readBudget(this.request.service).recordFirst();
    this.send();
  }

  /** The client has gone. */
  cancel(): void {
    if (this.isEnded) return;
    this.record(EventCode.REQUEST_CANCELLED, {sends: this.sends});
    this.finish();
    this.pending?.cancel();
  }

  /** Answers now with what is known; a call under way may have run. */
  end(reason: GateReason): void {
    if (this.isEnded) return;
    this.pending?.cancel();
    this.answer(
      this.sends > 0 ? AnswerKind.UNKNOWN : AnswerKind.NOT_RUN,
      createFailure(SendEnd.LOST, reason),
    );
  }

  private send(): void {
    const {request, parts} = this;
    const nowMs = parts.clock.readMs();
    this.chosen = this.chooseNode();
    if (!this.chosen) {
      this.answerWithoutNode();
      return;
    }
    this.sends += 1;
    this.sentMs = nowMs;
    const {sends} = this;
    const pending = this.chosen.send(
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
      },
      (result) => this.handleResult(result),
    );
    // A gate may refuse before it returns, and the next send has begun.
    if (this.sends === sends) this.pending = pending;
  }

  /** A request reaches no more upstreams than its route allows. */
  private chooseNode(): ChosenNode | undefined {
    const {service, route, body} = this.request;
    const {peers} = this.parts;
    const isSpread = this.reached.size >= route.maxAttempts;
    return peers.choose(service, route.name, body.length, (node) =>
      isSpread ? this.reached.has(node) : !this.excluded.has(node),
    );
  }

  private handleResult(received: CallResult): void {
    if (this.isEnded) return;
    const result = checkHead(received);
    this.countArrival(result);
    if (result.end === SendEnd.RESPONSE) {
      this.handleResponse(result);
      return;
    }
    if (isFaulty(result)) this.chosen?.avoid();
    this.sendAgain(result);
  }

  private handleResponse(result: CallResult): void {
    const elapsedMs = this.parts.clock.readMs() - this.sentMs;
    this.chosen?.observe(this.request.route.name, elapsedMs);
    this.answer(AnswerKind.RESPONSE, result);
  }

  /** Sends again, or answers with what is known. */
  private sendAgain(result: CallResult): void {
    const {request, parts} = this;
    const decision = decideResend({
      end: result.end,
      isIdempotent: this.isIdempotent(),
      runs: this.runs,
      maxAttempts: request.route.maxAttempts,
      sends: this.sends,
      lateRefusals: this.lateRefusals,
      leftMs: request.deadlineMs - parts.clock.readMs(),
      isRefusedEverywhere: result.reason === GateReason.CRASHING,
    });
    const isPermitted =
      decision !== ResendDecision.SEND_ON_BUDGET ||
      parts
        .readBudget(request.service)
        .takeRetry(request.importance, result.end === SendEnd.LOST);
    this.apply(
      isPermitted ? decision : decideWithoutBudget(result.end),
      result,
    );
  }

  private apply(decision: ResendDecision, result: CallResult): void {
    if (
      decision === ResendDecision.SEND_FREELY ||
      decision === ResendDecision.SEND_ON_BUDGET
    ) {
      this.record(EventCode.CALL_RETRIED, {
        node: this.chosen?.node ?? '',
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
    const isPast = this.parts.clock.readMs() >= this.request.deadlineMs - 1;
    if (!this.mayHaveRun) this.answer(AnswerKind.NOT_RUN, result);
    else if (isPast) this.answer(AnswerKind.TIMED_OUT, result);
    else this.answer(AnswerKind.UNKNOWN, result);
  }

  private expire(): void {
    if (this.isEnded) return;
    this.pending?.cancel();
    // A call without a result may be running at this moment.
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
    const {route} = this.request;
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
        node: this.chosen?.node ?? '',
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
    const node = this.chosen?.node ?? '';
    this.excluded.add(node);
    if (reason === GateReason.DEADLINE) this.lateRefusals += 1;
    if (end === SendEnd.REFUSED_BY_GATE) return;
    this.arrivals += 1;
    this.reached.add(node);
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
    this.parts.record(code, details, this.request.requestId);
  }
}

/** A node of another version may pass a response on that cannot be written. */
function checkHead(result: CallResult): CallResult {
  const {end, status, headers} = result;
  const isSound =
    end !== SendEnd.RESPONSE || findHeadFault(status, headers) === undefined;
  return isSound
    ? result
    : createFailure(SendEnd.LOST, GateReason.BAD_RESPONSE);
}

/** Whether new calls should go elsewhere for a moment. */
function isFaulty({end, reason}: CallResult): boolean {
  return (
    end === SendEnd.LOST ||
    reason === GateReason.UPSTREAM_DOWN ||
    reason === GateReason.WRONG_SERVICE ||
    reason === GateReason.LINK_LOST
  );
}
