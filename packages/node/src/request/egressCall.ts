/** Delivers a call to a member of its service, with retries. */
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
import type {Delivery, OutgoingRequest} from './types.js';
import {readChecks} from './upstreamRun.js';

/** Longest wait of a first call for the members of its service. */
const MAX_LOOK_UP_MS = 1_000;
const LOOK_UP_POLL_MS = 50;

/** One attempt, as the retry decision needs it. */
interface AttemptEnd {
  readonly answer: SendAnswer;
  readonly retryAfterMs?: number;
}

/** Sends the call until it is done, must not be repeated or has no time. */
export async function deliverCall(
  parts: NodeParts,
  call: OutgoingRequest,
): Promise<Delivery> {
  const startMs = parts.clock.readMs();
  const ledger = new RetryLedger(call.allowance, parts.report);
  const tried = new Set<string>();
  const sends: SentAttempt[] = [];
  await waitForMembers(parts, call);
  findBudget(parts, call).recordFirstAttempt();
  for (let attempt = 0; ; attempt += 1) {
    const end = await sendAttempt(parts, call, ledger, tried, attempt);
    sends.push({attempt, answer: end.answer});
    const delayMs = decideDelay(parts, call, ledger, end, attempt);
    if (delayMs === undefined) break;
    recordRetry(parts, call, delayMs, ledger.readFreeRetries());
    await wait(delayMs);
  }
  const answer = mergeOutcomes(sends);
  const delivery = {answer, retries: ledger.close()};
  recordDelivery(parts, call, delivery, parts.clock.readMs() - startMs);
  return delivery;
}

/** The first calls to a service wait until members of it are found. */
async function waitForMembers(
  parts: NodeParts,
  call: OutgoingRequest,
): Promise<void> {
  const {service} = call.compiledClass.definition;
  const limitMs = Math.min(
    call.deadline,
    parts.clock.readMs() + MAX_LOOK_UP_MS,
  );
  for (;;) {
    const lookUp = parts.subscribe(service);
    if (parts.router.list(service).length > 0) return;
    const remainingMs = limitMs - parts.clock.readMs();
    if (remainingMs <= 0) return;
    const pauseMs = Math.min(LOOK_UP_POLL_MS, remainingMs);
    await Promise.race([lookUp ?? wait(pauseMs), wait(remainingMs)]);
    await wait(pauseMs);
  }
}

function findBudget(parts: NodeParts, {compiledClass}: OutgoingRequest) {
  const {definition, retryLimit} = compiledClass;
  return parts.retryBudgets.find(definition.service, retryLimit.shareOfTraffic);
}

/** Wait before the next attempt; undefined when there is none. */
function decideDelay(
  parts: NodeParts,
  call: OutgoingRequest,
  ledger: RetryLedger,
  {answer, retryAfterMs}: AttemptEnd,
  attempt: number,
): number | undefined {
  const {definition, retryLimit} = call.compiledClass;
  // Attempts of a guarded request are numbered and sent by its caller.
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
  // The budget first: a retry that it refuses must not use up the ledger.
  if (!findBudget(parts, call).takeRetry()) return undefined;
  return ledger.takeRetry() ? decision.delayMs : undefined;
}

async function sendAttempt(
  parts: NodeParts,
  call: OutgoingRequest,
  ledger: RetryLedger,
  tried: Set<string>,
  attempt: number,
): Promise<AttemptEnd> {
  const member = chooseMember(parts, call, tried);
  if (!('incarnation' in member)) return {answer: member};
  tried.add(member.incarnation);
  const share = ledger.reserveAttempt();
  const startMs = parts.clock.readMs();
  recordRouted(parts, call, member, attempt);
  parts.router.start(member.incarnation);
  const result = await exchangeWith(parts, call, member, ledger, share);
  const end = decideEnd(parts, call, member, result, ledger, share);
  parts.router.finish(
    member.incarnation,
    parts.clock.readMs() - startMs,
    end.answer.outcome !== Outcome.DONE,
  );
  return end;
}

/** The member to send to, or the answer when there is none. */
function chooseMember(
  parts: NodeParts,
  call: OutgoingRequest,
  tried: ReadonlySet<string>,
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
    parts.levels.isAdmitted(incarnation, call.importance);
  const admitting = parts.router.choose(service, tried, isAdmitted);
  if (admitting) return admitting;
  const refusing = parts.router.choose(service, tried);
  if (refusing && parts.levels.isProbe()) return refusing;
  if (refusing) {
    recordRefusedEarly(parts, call);
    return createRefusalAnswer(RefusalReason.OVERLOADED);
  }
  // All were tried: any of them may have room again.
  const again = tried.size > 0 && parts.router.choose(service, new Set());
  return again || createRefusalAnswer(RefusalReason.NO_MEMBER);
}

async function exchangeWith(
  parts: NodeParts,
  call: OutgoingRequest,
  member: Member,
  ledger: RetryLedger,
  share: Reservation,
): Promise<ExchangeResult> {
  const {definition} = call.compiledClass;
  const isRepeatable = definition.guard === RepeatGuard.NONE;
  const remainingMs = Math.floor(call.deadline - parts.clock.readMs());
  const exchange = startExchange(
    parts.connections.find(formatPeerOrigin(member), isRepeatable),
    {
      method: call.method,
      path: call.path,
      headers: {
        ...call.passedHeaders,
        ...formatCallHeaders(buildHeaders(parts, call, share, remainingMs)),
      },
      body: call.body,
    },
  );
  const canRetry = isRepeatable && ledger.readFreeRetries() > 0;
  const silenceMs = canRetry
    ? parts.latencies.computeTimeout(member.incarnation)
    : Infinity;
  const timer = setTimeout(
    () => exchange.cancel('no response in time'),
    Math.max(0, Math.min(remainingMs, silenceMs)),
  );
  const startMs = parts.clock.readMs();
  const result = await exchange.result;
  clearTimeout(timer);
  if (result.end === ExchangeEnd.RESPONSE) {
    const latencyMs = parts.clock.readMs() - startMs;
    parts.latencies.record(member.incarnation, latencyMs);
  }
  return result;
}

/** Origin of the peer port of a member. */
export function formatPeerOrigin(member: Member): string {
  return `http://${member.address}:${member.peerPort}`;
}

function buildHeaders(
  parts: NodeParts,
  call: OutgoingRequest,
  share: Reservation,
  remainingMs: number,
): CallHeaders {
  const {pin, idempotencyKey, attempt} = call.headers;
  return {
    requestClass: call.identity.requestClass,
    requestId: call.requestId,
    attempt,
    timeoutMs: Math.max(1, remainingMs),
    allowance: share.granted,
    rootId: call.rootId,
    importance: call.importance,
    time: parts.hybridClock.read(),
    ...(pin === undefined ? {} : {pin}),
    ...(idempotencyKey === undefined ? {} : {idempotencyKey}),
  };
}

function decideEnd(
  parts: NodeParts,
  call: OutgoingRequest,
  member: Member,
  result: ExchangeResult,
  ledger: RetryLedger,
  share: Reservation,
): AttemptEnd {
  if (result.end === ExchangeEnd.RESPONSE) {
    return decideResponse(parts, call, member, result, ledger, share);
  }
  const isSent = result.end === ExchangeEnd.LOST;
  if (isSent) ledger.recordLostResponse(share);
  else ledger.finishCall(share, 0);
  const isLate = parts.clock.readMs() >= call.deadline;
  if (!isLate) parts.reportUnreachable(member, result.isRefused);
  const reason = isLate
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
  share: Reservation,
): AttemptEnd {
  const {status, headers, body} = result;
  observeGate(parts, member, headers);
  const findings = checkResponse({
    requestId: call.requestId,
    isEnded: true,
    body,
    ...readChecks(headers),
  });
  if (findings.length > 0) {
    ledger.recordLostResponse(share);
    const cause = findings.map(formatFinding).join('; ');
    parts.record(EventCode.RESPONSE_DROPPED, {cause}, call.requestId);
    const phase = SendPhase.AFTER_DISPATCH;
    return {answer: createRefusalAnswer(RefusalReason.BAD_RESPONSE, phase)};
  }
  ledger.finishCall(share, readNumber(headers, 'sycamoreyoke-retries') ?? 0);
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

/** Takes note of what a gate says of itself. */
function observeGate(
  parts: NodeParts,
  member: Member,
  headers: ReceivedHeaders,
): void {
  const level = parseLevel(String(headers['sycamoreyoke-level'] ?? ''));
  if (level) parts.levels.observe(member.incarnation, level);
  const time = parseHybridTime(String(headers['sycamoreyoke-time'] ?? ''));
  if (time) parts.hybridClock.observe(time);
}

/** A response without an outcome is not one of a node. */
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
