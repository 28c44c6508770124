/** Runs an admitted call on the upstream beside the node. */
import {randomUUID} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {formatFinding} from 'sycamoreyoke/findings';
import {EventCode} from 'sycamoreyoke/process/events';
import {Completion} from 'sycamoreyoke/process/types';
import {RetryLedger} from 'sycamoreyoke/request/retryLedger';
import {SendPhase, createRefusalAnswer} from 'sycamoreyoke/request/outcome';
import {checkResponse} from 'sycamoreyoke/request/responseCheck';
import {Outcome, RefusalReason, RepeatGuard} from 'sycamoreyoke/types';
import type {Exchange, ExchangeResult} from '../connection/exchange.js';
import {ExchangeEnd, startExchange} from '../connection/exchange.js';
import type {ExecutionEnd} from '../process/executorTask.js';
import type {NodeParts} from '../process/nodeParts.js';
import {ChildCalls} from '../process/runningRequests.js';
import {collectResponseHeaders} from './httpExchange.js';
import type {IncomingCall} from './types.js';

/**
 * A guarded request is not cut at its deadline: its answer is worth keeping
 * for a resend, and cutting it would leave its outcome unknown.
 */
const GUARDED_GRACE_MS = 10_000;

/** Times that a call goes back to the queue after the upstream shed it. */
const MAX_SHEDS = 5;
/** Wait before that, longer each time, for the gate to lower its limit. */
const SHED_WAIT_MS = 5;

/** The end of an execution, with the retries of the calls that it made. */
export interface UpstreamRun extends ExecutionEnd {
  readonly retries: number;
  /** The upstream refused it for load. */
  readonly isShed?: boolean;
  /** When a refused request may be sent again. */
  readonly retryAfterMs?: number;
}

/** Runs a call unless the node takes no new work. */
export async function runOnUpstream(
  parts: NodeParts,
  call: IncomingCall,
  client: ServerResponse,
  mayDispatch: () => boolean,
): Promise<UpstreamRun> {
  const refusal = parts.lifecycle.getRefusal();
  if (refusal !== undefined) return createNotRun(refusal);
  const executionId = randomUUID();
  const isRepeatable = call.compiledClass.definition.guard === RepeatGuard.NONE;
  const endMs = call.deadline + (isRepeatable ? 0 : GUARDED_GRACE_MS);
  if (!parts.drain.admit(executionId, endMs)) {
    return createNotRun(RefusalReason.LEAVING);
  }
  client.once('finish', () => parts.drain.markDelivered(executionId));
  try {
    return await runAdmitted(parts, call, client, executionId, mayDispatch);
  } finally {
    // The record of a guarded request answers resends until its deadline.
    const isAnswered = client.writableFinished || isRepeatable;
    parts.drain.finish(executionId, isAnswered ? undefined : call.deadline);
  }
}

/**
 * Waits for a slot, runs the call and checks its response. A call that the
 * upstream sheds was not run, so it waits for a slot again: refusing it would
 * let lesser calls that wait go first.
 */
async function runAdmitted(
  parts: NodeParts,
  call: IncomingCall,
  client: ServerResponse,
  executionId: string,
  mayDispatch: () => boolean,
): Promise<UpstreamRun> {
  let sheds = 0;
  for (;;) {
    const refusal = await waitForSlot(parts, call, client, executionId);
    if (refusal) return {...refusal, isProvenNotRun: sheds > 0};
    // A dispatch that the upstream shed counts as the first one.
    if (sheds === 0 && !mayDispatch()) {
      parts.gate.finish(executionId, Completion.CANCELLED);
      return createNotRun(RefusalReason.SUPERSEDED);
    }
    const run = await runInSlot(parts, call, client, executionId);
    sheds += 1;
    const waitMs = sheds * SHED_WAIT_MS;
    const isInTime = parts.clock.readMs() + waitMs < call.deadline;
    if (!run.isShed || sheds >= MAX_SHEDS || !isInTime) return run;
    await wait(waitMs);
  }
}

/** The refusal when the call gets no slot. */
async function waitForSlot(
  parts: NodeParts,
  call: IncomingCall,
  client: ServerResponse,
  executionId: string,
): Promise<UpstreamRun | undefined> {
  const offeredMs = parts.clock.readMs();
  const isRepeatable = call.compiledClass.definition.guard === RepeatGuard.NONE;
  const stopWatching = watchClient(client, isRepeatable, () =>
    parts.gate.cancel(executionId),
  );
  const refusal = await parts.gate.admit({
    ticket: executionId,
    importance: call.importance,
    deadline: call.deadline,
    requestClass: call.identity.requestClass,
  });
  stopWatching();
  if (refusal) {
    const {reason, retryAfterMs} = refusal;
    return {...createNotRun(reason), retryAfterMs};
  }
  if (!parts.drain.startWork(executionId)) {
    parts.gate.finish(executionId, Completion.CANCELLED);
    return createNotRun(RefusalReason.LEAVING);
  }
  recordStart(parts, call, parts.clock.readMs() - offeredMs);
  return undefined;
}

/** Sends the call to the upstream and tells the gate how it ended. */
async function runInSlot(
  parts: NodeParts,
  call: IncomingCall,
  client: ServerResponse,
  executionId: string,
): Promise<UpstreamRun> {
  const isRepeatable = call.compiledClass.definition.guard === RepeatGuard.NONE;
  const ledger = new RetryLedger(call.grant.allowance, parts.report);
  const calls = new ChildCalls(parts.clock);
  parts.running.add({...call, executionId, ledger, calls});
  const exchange = startUpstreamExchange(parts, call, executionId);
  const result = await waitForEnd(parts, call, client, exchange, isRepeatable);
  parts.running.remove(executionId);
  const {end, completion} = decideEnd(parts, call, result);
  const isInVain = completion === Completion.FAILED && calls.isAnyShed();
  parts.gate.finish(
    executionId,
    isInVain ? Completion.SHED_DOWNSTREAM : completion,
    calls.readMs(),
  );
  const isShed = completion === Completion.SHED_BY_UPSTREAM;
  return {...end, isShed, retries: ledger.close()};
}

function startUpstreamExchange(
  parts: NodeParts,
  call: IncomingCall,
  executionId: string,
): Exchange {
  const isRepeatable = call.compiledClass.definition.guard === RepeatGuard.NONE;
  const remainingMs = Math.ceil(call.deadline - parts.clock.readMs());
  return startExchange(
    parts.connections.find(parts.upstreamOrigin, isRepeatable),
    {
      method: call.method,
      path: call.path,
      headers: {
        ...call.passedHeaders,
        'sycamoreyoke-request-id': call.requestId,
        'sycamoreyoke-class': call.identity.requestClass,
        'sycamoreyoke-execution-id': executionId,
        'sycamoreyoke-timeout-ms': String(Math.max(1, remainingMs)),
      },
      body: call.body,
    },
  );
}

/** Cancels the exchange at the deadline or when the caller has gone. */
async function waitForEnd(
  parts: NodeParts,
  call: IncomingCall,
  client: ServerResponse,
  exchange: Exchange,
  isRepeatable: boolean,
): Promise<ExchangeResult> {
  const graceMs = isRepeatable ? 0 : GUARDED_GRACE_MS;
  const remainingMs = call.deadline - parts.clock.readMs() + graceMs;
  const timer = setTimeout(
    () => exchange.cancel('the deadline passed'),
    Math.max(0, remainingMs),
  );
  const stopWatching = watchClient(client, isRepeatable, () =>
    exchange.cancel('the caller closed its connection'),
  );
  try {
    return await exchange.result;
  } finally {
    clearTimeout(timer);
    stopWatching();
  }
}

/** Calls back when the caller goes away; a guarded request runs on. */
function watchClient(
  client: ServerResponse,
  isRepeatable: boolean,
  handleGone: () => void,
): () => void {
  if (!isRepeatable) return () => undefined;
  client.once('close', handleGone);
  return () => client.off('close', handleGone);
}

interface DecidedEnd {
  readonly end: ExecutionEnd;
  readonly completion: Completion;
}

function decideEnd(
  parts: NodeParts,
  call: IncomingCall,
  result: ExchangeResult,
): DecidedEnd {
  const isLate = parts.clock.readMs() >= call.deadline;
  switch (result.end) {
    case ExchangeEnd.RESPONSE:
      return decideResponse(parts, call, result);
    case ExchangeEnd.NOT_SENT:
      void parts.monitor.check();
      return {
        // No byte was written, so the upstream cannot have run it.
        end: {
          ...createNotRun(
            isLate ? RefusalReason.DEADLINE : RefusalReason.CONNECTION_LOST,
          ),
          isProvenNotRun: true,
        },
        completion: isLate ? Completion.CANCELLED : Completion.FAILED,
      };
    case ExchangeEnd.LOST:
      parts.lostExecutions.add(call.identity);
      void parts.monitor.check();
      return {
        end: createUnknown(
          isLate ? RefusalReason.DEADLINE : RefusalReason.CONNECTION_LOST,
        ),
        completion: isLate ? Completion.TIMED_OUT : Completion.FAILED,
      };
  }
}

function decideResponse(
  parts: NodeParts,
  call: IncomingCall,
  result: Extract<ExchangeResult, {end: ExchangeEnd.RESPONSE}>,
): DecidedEnd {
  const {status, headers, body} = result;
  if (headers['sycamoreyoke-outcome'] === Outcome.NOT_RUN) {
    const answer = createRefusalAnswer(RefusalReason.OVERLOADED);
    return {
      end: {answer, isProvenNotRun: true},
      completion: Completion.SHED_BY_UPSTREAM,
    };
  }
  const {requestId} = call;
  const findings = checkResponse({
    requestId,
    isEnded: true,
    body,
    ...readChecks(headers),
  });
  if (findings.length > 0) {
    const cause = findings.map(formatFinding).join('; ');
    parts.record(EventCode.RESPONSE_DROPPED, {cause}, requestId);
    return {
      end: createUnknown(RefusalReason.BAD_RESPONSE),
      completion: Completion.FAILED,
    };
  }
  const response = {status, headers: collectResponseHeaders(headers), body};
  return {
    end: {
      answer: {outcome: Outcome.DONE, response},
      isProvenNotRun: false,
    },
    completion: getCompletion(status),
  };
}

function getCompletion(status: number): Completion {
  if (status === 503) return Completion.SHED_BY_UPSTREAM;
  return status >= 500 ? Completion.FAILED : Completion.SUCCEEDED;
}

/** The headers by which a response is checked, where they are present. */
export function readChecks(
  headers: Readonly<Record<string, string | string[] | undefined>>,
) {
  const contentLength = headers['content-length'];
  const contentDigest = headers['content-digest'];
  const echoedRequestId = headers['sycamoreyoke-request-id'];
  return {
    ...(typeof contentLength === 'string' ? {contentLength} : {}),
    ...(typeof contentDigest === 'string' ? {contentDigest} : {}),
    ...(typeof echoedRequestId === 'string' ? {echoedRequestId} : {}),
  };
}

/** The end of an execution before its dispatch. */
export function createNotRun(reason: RefusalReason): UpstreamRun {
  const answer = createRefusalAnswer(reason);
  return {answer, isProvenNotRun: false, retries: 0};
}

function createUnknown(reason: RefusalReason): ExecutionEnd {
  const answer = createRefusalAnswer(reason, SendPhase.AFTER_DISPATCH);
  return {answer, isProvenNotRun: false};
}

function recordStart(
  parts: NodeParts,
  call: IncomingCall,
  waitedMs: number,
): void {
  parts.metrics.observe('sycamoreyoke_wait_seconds', waitedMs);
  parts.record(EventCode.REQUEST_STARTED, {waitedMs}, call.requestId);
}
