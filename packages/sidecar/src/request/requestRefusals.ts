/** Refuses requests, and records why for operators. */
import type {Clock} from 'sycamoreyoke/clock';
import type {AccountMetrics} from 'sycamoreyoke/process/accountMetrics';
import type {EventDetails, EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Metrics} from 'sycamoreyoke/process/metrics';
import type {Random} from 'sycamoreyoke/random';
import type {AccountTable} from 'sycamoreyoke/version/accounts';
import {KeyHistory} from 'sycamoreyoke/version/keyHistory';
import type {RouteTable} from 'sycamoreyoke/version/routeTable';
import type {ClientExchange} from '../connection/clientExchange.js';
import {ExchangeState} from '../connection/clientExchange.js';
import {STOP_RETRY_MS} from '../constants.js';
import type {ClientHead, WireProtocol} from '../types.js';
import {
  countRefusal,
  describeAccount,
  describeKeyFault,
} from './accountDetails.js';
import {refuseExchange} from './exchangeAnswers.js';
import {AnswerKind} from './originCall.js';
import {BODY_REFUSALS, Status, buildRefusal} from './refusal.js';
import type {BodyFault} from './requestBody.js';

/** Dependencies of the refusals. */
export interface RequestRefusalsParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly wire: WireProtocol;
  readonly record: EventRecorder;
  readonly metrics: Metrics;
  readonly accountMetrics: AccountMetrics;
  readonly readTable: () => RouteTable | undefined;
}

/** Answers requests that the node does not pass on. */
export class RequestRefusals {
  private readonly keyHistory = new KeyHistory();

  constructor(private readonly parts: RequestRefusalsParts) {}

  /** Learns which keys a version has withdrawn. */
  update(accounts: AccountTable | undefined): void {
    this.keyHistory.update(accounts);
  }

  refuseUnauthenticated(
    exchange: ClientExchange,
    {requestId, key}: ClientHead,
    place: EventDetails,
  ): void {
    const fault = describeKeyFault(this.keyHistory, key);
    this.parts.metrics.count('requests_unauthenticated_total');
    countRefusal(this.parts, fault, 'unauthenticated');
    const details = {...fault, ...place};
    this.parts.record(EventCode.REQUEST_UNAUTHENTICATED, details, requestId);
    this.refuse(exchange, Status.UNAUTHORIZED, 'the key is missing or unknown');
  }

  refuse(
    exchange: ClientExchange,
    status: Status,
    message: string,
    retryMs?: number,
  ): void {
    const {random} = this.parts;
    refuseExchange(exchange, buildRefusal(status, message, retryMs, random));
  }

  refuseBody(exchange: ClientExchange, fault: BodyFault): void {
    if (exchange.state !== ExchangeState.RUNNING) return;
    const {status, reason, retryMs} = BODY_REFUSALS[fault];
    this.refuseEarly(exchange, status, reason, retryMs);
  }

  refuseStopping(exchange: ClientExchange): void {
    const reason = 'the node is stopping';
    this.refuseEarly(exchange, Status.UNAVAILABLE, reason, STOP_RETRY_MS);
  }

  /** Refuses a request that was not sent to any node. */
  refuseEarly(
    exchange: ClientExchange,
    status: Status,
    reason: string,
    retryMs?: number,
  ): void {
    const {rawHeaders} = exchange.request;
    const head = this.parts.wire.readClientHead(rawHeaders);
    const table = this.parts.readTable();
    const account = describeAccount(table?.accounts, head.key);
    const details = {answer: AnswerKind.NOT_RUN, status, reason, ...account};
    this.parts.metrics.count('requests_turned_away_total', {reason});
    countRefusal(this.parts, account, reason);
    this.parts.record(EventCode.REQUEST_REFUSED, details, head.requestId);
    this.refuse(exchange, status, reason, retryMs);
  }

  recordUnrouted(requestId: string, details: EventDetails): void {
    this.parts.metrics.count('requests_unrouted_total');
    countRefusal(this.parts, details, 'unrouted');
    this.parts.record(EventCode.REQUEST_UNROUTED, details, requestId);
  }
}
