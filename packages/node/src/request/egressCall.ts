/** Sends a call to a member of its service, with retries. */
import {setTimeout as wait} from 'node:timers/promises';
import {formatFinding} from 'sycamoreyoke/findings';
import {parseLevel} from 'sycamoreyoke/process/admissionLevel';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Member} from 'sycamoreyoke/process/types';
import type {Reservation} from 'sycamoreyoke/request/retryLedger';
import {RetryLedger} from 'sycamoreyoke/request/retryLedger';
import {formatCallHeaders, parseHybridTime} from 'sycamoreyoke/request/headers';
import type {SendAnswer, SentAttempt} from 'sycamoreyoke/request/outcome';
import {
  SendPhase,
  createRefusalAnswer,
  mergeOutcomes,
} from 'sycamoreyoke/request/outcome';
import {checkResponse} from 'sycamoreyoke/request/responseCheck';
import {decideRetry} from 'sycamoreyoke/request/retry';
import type {CallHeaders} from 'sycamoreyoke/request/types';
import {Outcome, RefusalReason, RepeatGuard} from 'sycamoreyoke/types';
import type {ExchangeResult, ReceivedHeaders} from '../connection/exchange.js';
import {ExchangeEnd, startExchange} from '../connection/exchange.js';
import type {NodeParts} from '../process/nodeParts.js';
import {collectResponseHeaders} from './httpExchange.js';
import {
  recordDelivery,
  recordRefusedEarly,
  recordRetry,
  recordRouted,
} from './egressEvents.js';
import type {DeliveryResult, OutgoingRequest} from './types.js';
import {readIntegrityHeaders} from './upstreamRun.js';

/** Longest time that a call waits until members of its service are known. */
const MAX_MEMBER_LOOKUP_MS = 1_000;
const MEMBER_LOOKUP_POLL_MS = 50;

/** The result of one attempt, as input of the retry decision. */
interface AttemptResult {
  readonly answer: SendAnswer;
  readonly retryAfterMs?: number;
}

/**
 * Sends a call until it succeeds, must not be retried, or its deadline or retry
 * budget is exhausted.
 */
export async function deliverCall(
  parts: NodeParts,
  call: OutgoingRequest,
): Promise<DeliveryResult> {
  const startMs = parts.clock.readMs();
  const ledger = new RetryLedger(call.allowance, parts.report);
  const triedMembers = new Set<string>();
  const sentAttempts: SentAttempt[] = [];
  await waitForMembers(parts, call);
  findRetryBudget(parts, call).recordFirstAttempt();
  for (let attempt = 0; ; attempt += 1) {
    const attemptResult = await sendAttempt(
      parts,
      call,
      ledger,
      triedMembers,
      attempt,
    );
    sentAttempts.push({attempt, answer: attemptResult.answer});
    const delayMs = decideRetryDelay(
      parts,
      call,
      ledger,
      attemptResult,
      attempt,
    );
    if (delayMs === undefined) break;
    recordRetry(parts, call, delayMs, ledger.readFreeRetries());
    await wait(delayMs);
  }
  const answer = mergeOutcomes(sentAttempts);
  const delivery = {answer, retries: ledger.close()};
  recordDelivery(parts, call, delivery, parts.clock.readMs() - startMs);
  return delivery;
}

/**
 * Waits until members of the service are known, but at most until the deadline
 * of the call or MAX_MEMBER_LOOKUP_MS.
 */
async function waitForMembers(
  parts: NodeParts,
  call: OutgoingRequest,
): Promise<void> {
  const {service} = call.compiledClass.definition;
  const lookupDeadline = Math.min(
    call.deadline,
    parts.clock.readMs() + MAX_MEMBER_LOOKUP_MS,
  );
  for (;;) {
    const lookup = parts.subscribe(service);
    if (parts.router.list(service).length > 0) return;
    const remainingMs = lookupDeadline - parts.clock.readMs();
    if (remainingMs <= 0) return;
    const pollDelayMs = Math.min(MEMBER_LOOKUP_POLL_MS, remainingMs);
    await Promise.race([lookup ?? wait(pollDelayMs), wait(remainingMs)]);
    await wait(pollDelayMs);
  }
}

function findRetryBudget(parts: NodeParts, {compiledClass}: OutgoingRequest) {
  const {definition, retryLimit} = compiledClass;
  return parts.retryBudgets.find(definition.service, retryLimit.shareOfTraffic);
}

/** Delay before the next attempt in ms; undefined when there is no retry. */
function decideRetryDelay(
  parts: NodeParts,
  call: OutgoingRequest,
  ledger: RetryLedger,
  {answer, retryAfterMs}: AttemptResult,
  attempt: number,
): number | undefined {
  const {definition, retryLimit} = call.compiledClass;
  // The caller numbers and resends the attempts of a guarded request itself.
  if (definition.guard !== RepeatGuard.NONE) return undefined;
  const decision = decideRetry(
    {
      outcome: answer.outcome,
      isIdempotent: definition.idempotent,
      attempt,
      allowance: ledger.readFreeRetries(),
      nowMs: parts.clock.readMs(),
      deadline: call.deadline,
      serviceMs: 1,
      ...(answer.reason === undefined ? {} : {reason: answer.reason}),
      ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
    },
    {baseMs: retryLimit.backoffBaseMs, maxMs: retryLimit.backoffMaxMs},
    parts.random,
  );
  if (!decision.isRetried) return undefined;
  // Check the budget first: a retry that it refuses must not be taken from the
  // ledger.
  if (!findRetryBudget(parts, call).takeRetry()) return undefined;
  return ledger.takeRetry() ? decision.delayMs : undefined;
}

async function sendAttempt(
  parts: NodeParts,
  call: OutgoingRequest,
  ledger: RetryLedger,
  triedMembers: Set<string>,
  attempt: number,
): Promise<AttemptResult> {
  const member = chooseMember(parts, call, triedMembers);
  if (!('incarnation' in member)) return {answer: member};
  triedMembers.add(member.incarnation);
  const reservation = ledger.reserveAttempt();
  const startMs = parts.clock.readMs();
  recordRouted(parts, call, member, attempt);
  parts.router.start(member.incarnation);
  const result = await exchangeWith(parts, call, member, ledger, reservation);
  const attemptResult = decideAttemptResult(
    parts,
    call,
    member,
    result,
    ledger,
    reservation,
  );
  parts.router.finish(
    member.incarnation,
    parts.clock.readMs() - startMs,
    attemptResult.answer.outcome !== Outcome.DONE,
  );
  return attemptResult;
}

/** Chooses the member to call, or returns a refusal when there is none. */
function chooseMember(
  parts: NodeParts,
  call: OutgoingRequest,
  triedMembers: ReadonlySet<string>,
): Member | SendAnswer {
  const {service} = call.compiledClass.definition;
  const {pin} = call.headers;
  if (pin) {
    const pinned = parts.router
      .list(service)
      .find(({incarnation}) => incarnation === pin.incarnation);
    return pinned ?? createRefusalAnswer(RefusalReason.WRONG_INCARNATION);
  }
  const isAdmitted = ({incarnation}: Member) =>
    parts.admissionLevels.isAdmitted(incarnation, call.importance);
  const admittingMember = parts.router.choose(
    service,
    triedMembers,
    isAdmitted,
  );
  if (admittingMember) return admittingMember;
  const refusingMember = parts.router.choose(service, triedMembers);
  if (refusingMember && parts.admissionLevels.isProbe()) return refusingMember;
  if (refusingMember) {
    recordRefusedEarly(parts, call);
    return createRefusalAnswer(RefusalReason.OVERLOADED);
  }
  // All members have been tried; any of them may have free capacity again.
  const retriedMember =
    triedMembers.size > 0 && parts.router.choose(service, new Set());
  return retriedMember || createRefusalAnswer(RefusalReason.NO_MEMBER);
}

async function exchangeWith(
  parts: NodeParts,
  call: OutgoingRequest,
  member: Member,
  ledger: RetryLedger,
  reservation: Reservation,
): Promise<ExchangeResult> {
  const {definition} = call.compiledClass;
  const isRepeatable = definition.guard === RepeatGuard.NONE;
  const remainingMs = Math.floor(call.deadline - parts.clock.readMs());
  const exchange = startExchange(
    parts.callConnections.find(formatPeerOrigin(member), isRepeatable),
    {
      method: call.method,
      path: call.path,
      headers: {
        ...call.forwardedHeaders,
        ...formatCallHeaders(
          buildHeaders(parts, call, reservation, remainingMs),
        ),
      },
      body: call.body,
    },
  );
  const canRetry = isRepeatable && ledger.readFreeRetries() > 0;
  const responseTimeoutMs = canRetry
    ? parts.memberLatencies.computeTimeout(member.incarnation)
    : Infinity;
  const timer = setTimeout(
    () => exchange.cancel('no response within the timeout'),
    Math.max(0, Math.min(remainingMs, responseTimeoutMs)),
  );
  const startMs = parts.clock.readMs();
  const result = await exchange.result;
  clearTimeout(timer);
  if (result.end === ExchangeEnd.RESPONSE) {
    const latencyMs = parts.clock.readMs() - startMs;
    parts.memberLatencies.record(member.incarnation, latencyMs);
  }
  return result;
}

/** Formats the URL origin of the peer port of a member. */
export function formatPeerOrigin(member: Member): string {
  return `http://${member.address}:${member.peerPort}`;
}

function buildHeaders(
  parts: NodeParts,
  call: OutgoingRequest,
  reservation: Reservation,
  remainingMs: number,
): CallHeaders {
  const {pin, idempotencyKey, attempt} = call.headers;
  return {
    requestClass: call.identity.requestClass,
    requestId: call.requestId,
    attempt,
    timeoutMs: Math.max(1, remainingMs),
    allowance: reservation.granted,
    rootId: call.rootId,
    importance: call.importance,
    time: parts.hybridClock.read(),
    ...(pin === undefined ? {} : {pin}),
    ...(idempotencyKey === undefined ? {} : {idempotencyKey}),
  };
}

function decideAttemptResult(
  parts: NodeParts,
  call: OutgoingRequest,
  member: Member,
  result: ExchangeResult,
  ledger: RetryLedger,
  reservation: Reservation,
): AttemptResult {
  if (result.end === ExchangeEnd.RESPONSE) {
    return decideResponse(parts, call, member, result, ledger, reservation);
  }
  const isSent = result.end === ExchangeEnd.LOST;
  if (isSent) ledger.recordLostResponse(reservation);
  else ledger.finishCall(reservation, 0);
  const isPastDeadline = parts.clock.readMs() >= call.deadline;
  if (!isPastDeadline) parts.reportUnreachable(member, result.isRefused);
  const reason = isPastDeadline
    ? RefusalReason.DEADLINE
    : RefusalReason.CONNECTION_LOST;
  const phase = isSent ? SendPhase.AFTER_DISPATCH : SendPhase.BEFORE_DISPATCH;
  return {answer: createRefusalAnswer(reason, phase)};
}

function decideResponse(
  parts: NodeParts,
  call: OutgoingRequest,
  member: Member,
  result: Extract<ExchangeResult, {end: ExchangeEnd.RESPONSE}>,
  ledger: RetryLedger,
  reservation: Reservation,
): AttemptResult {
  const {status, headers, body} = result;
  observeGateHeaders(parts, member, headers);
  const findings = checkResponse({
    requestId: call.requestId,
    isEnded: true,
    body,
    ...readIntegrityHeaders(headers),
  });
  if (findings.length > 0) {
    ledger.recordLostResponse(reservation);
    const cause = findings.map(formatFinding).join('; ');
    parts.record(EventCode.RESPONSE_DROPPED, {cause}, call.requestId);
    const phase = SendPhase.AFTER_DISPATCH;
    return {answer: createRefusalAnswer(RefusalReason.BAD_RESPONSE, phase)};
  }
  ledger.finishCall(
    reservation,
    readNumber(headers, 'sycamoreyoke-retries') ?? 0,
  );
  const outcome = readOutcome(headers);
  if (outcome === Outcome.DONE) {
    const response = {status, headers: collectResponseHeaders(headers), body};
    return {answer: {outcome, response}};
  }
  const reason = readReason(headers);
  if (reason === RefusalReason.LEAVING) parts.reportLeaving(member);
  const nextAttempt = readNumber(headers, 'sycamoreyoke-next-attempt');
  const retryAfterMs = readNumber(headers, 'sycamoreyoke-retry-after-ms');
  return {
    ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
    answer: {
      outcome,
      reason,
      ...(nextAttempt === undefined ? {} : {nextAttempt}),
    },
  };
}

/** Stores the admission level and the time that the member reported. */
function observeGateHeaders(
  parts: NodeParts,
  member: Member,
  headers: ReceivedHeaders,
): void {
  const level = parseLevel(String(headers['sycamoreyoke-level'] ?? ''));
  if (level) parts.admissionLevels.observe(member.incarnation, level);
  const time = parseHybridTime(String(headers['sycamoreyoke-time'] ?? ''));
  if (time) parts.hybridClock.observe(time);
}

/** A response without a valid outcome was not sent by a node: UNKNOWN. */
function readOutcome(headers: ReceivedHeaders): Outcome {
  const value = headers['sycamoreyoke-outcome'];
  return (
    Object.values(Outcome).find((outcome) => outcome === value) ??
    Outcome.UNKNOWN
  );
}

function readReason(headers: ReceivedHeaders): RefusalReason {
  const value = headers['sycamoreyoke-reason'];
  return (
    Object.values(RefusalReason).find((reason) => reason === value) ??
    RefusalReason.BAD_RESPONSE
  );
}

function readNumber(
  headers: ReceivedHeaders,
  name: string,
): number | undefined {
  const value = headers[name];
  return typeof value === 'string' && /^\d{1,9}$/.test(value)
    ? Number(value)
    : undefined;
}
