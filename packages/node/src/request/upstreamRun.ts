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
import type {ExecutionResult} from '../process/executorTask.js';
import type {NodeParts} from '../process/nodeParts.js';
import {ChildCalls} from '../process/runningRequests.js';
import {collectResponseHeaders} from './httpExchange.js';
import type {IncomingCall} from './types.js';

/**
 * A guarded request may run this long past its deadline: its answer can still
 * serve a resend, and aborting it would leave its outcome unknown.
 */
const GUARDED_GRACE_MS = 10_000;

/** Executions of one call that the upstream may shed before it is refused. */
const MAX_SHED_ATTEMPTS = 5;
/**
 * Base wait before a shed call is queued again. It grows linearly, to give the
 * gate time to lower its limit.
 */
const SHED_WAIT_MS = 5;

/** The result of an execution and the retries used by its outgoing calls. */
export interface UpstreamResult extends ExecutionResult {
  readonly retries: number;
  /** The upstream refused the request because of overload. */
  readonly isShed?: boolean;
  /** Time in ms after which a refused request may be sent again. */
  readonly retryAfterMs?: number;
}

/**
 * Runs a call on the upstream; returns a NOT_RUN result when the node accepts
 * no new work.
 */
export async function runOnUpstream(
  parts: NodeParts,
  call: IncomingCall,
  callerResponse: ServerResponse,
  startDispatch: () => boolean,
): Promise<UpstreamResult> {
  const refusal = parts.lifecycle.getRefusal();
  if (refusal !== undefined) return createNotRunResult(refusal);
  const executionId = randomUUID();
  const isRepeatable = call.compiledClass.definition.guard === RepeatGuard.NONE;
  const endMs = call.deadline + (isRepeatable ? 0 : GUARDED_GRACE_MS);
  if (!parts.drain.admit(executionId, endMs)) {
    return createNotRunResult(RefusalReason.LEAVING);
  }
  callerResponse.once('finish', () => parts.drain.markDelivered(executionId));
  try {
    return await runAdmitted(
      parts,
      call,
      callerResponse,
      executionId,
      startDispatch,
    );
  } finally {
    // The drain keeps the record of an unanswered guarded request until its
    // deadline, so that resends can be answered.
    const isAnswered = callerResponse.writableFinished || isRepeatable;
    parts.drain.finish(executionId, isAnswered ? undefined : call.deadline);
  }
}

/**
 * Waits for a slot, runs the call and checks its response. A call that the
 * upstream shed was not run, so it queues again: refusing it would let waiting
 * calls of lower importance run first.
 */
async function runAdmitted(
  parts: NodeParts,
  call: IncomingCall,
  callerResponse: ServerResponse,
  executionId: string,
  startDispatch: () => boolean,
): Promise<UpstreamResult> {
  let shedCount = 0;
  for (;;) {
    const refusal = await waitForSlot(parts, call, callerResponse, executionId);
    if (refusal) return {...refusal, isProvenNotRun: shedCount > 0};
    // After a shed call the dispatch has already been started.
    if (shedCount === 0 && !startDispatch()) {
      parts.gate.finish(executionId, Completion.CANCELLED);
      return createNotRunResult(RefusalReason.SUPERSEDED);
    }
    const run = await runInSlot(parts, call, callerResponse, executionId);
    shedCount += 1;
    const waitMs = shedCount * SHED_WAIT_MS;
    const hasTime = parts.clock.readMs() + waitMs < call.deadline;
    if (!run.isShed || shedCount >= MAX_SHED_ATTEMPTS || !hasTime) return run;
    await wait(waitMs);
  }
}

/** Waits for a slot of the gate; resolves with the refusal if it gets none. */
async function waitForSlot(
  parts: NodeParts,
  call: IncomingCall,
  callerResponse: ServerResponse,
  executionId: string,
): Promise<UpstreamResult | undefined> {
  const offeredMs = parts.clock.readMs();
  const isRepeatable = call.compiledClass.definition.guard === RepeatGuard.NONE;
  const stopWatching = watchClient(callerResponse, isRepeatable, () =>
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
    return {...createNotRunResult(reason), retryAfterMs};
  }
  if (!parts.drain.startWork(executionId)) {
    parts.gate.finish(executionId, Completion.CANCELLED);
    return createNotRunResult(RefusalReason.LEAVING);
  }
  recordStart(parts, call, parts.clock.readMs() - offeredMs);
  return undefined;
}

/** Sends the call to the upstream and reports its completion to the gate. */
async function runInSlot(
  parts: NodeParts,
  call: IncomingCall,
  callerResponse: ServerResponse,
  executionId: string,
): Promise<UpstreamResult> {
  const isRepeatable = call.compiledClass.definition.guard === RepeatGuard.NONE;
  const ledger = new RetryLedger(call.grant.allowance, parts.report);
  const childCalls = new ChildCalls(parts.clock);
  parts.runningRequests.add({...call, executionId, ledger, childCalls});
  const exchange = startUpstreamExchange(parts, call, executionId);
  const result = await waitForEnd(
    parts,
    call,
    callerResponse,
    exchange,
    isRepeatable,
  );
  parts.runningRequests.remove(executionId);
  const {executionResult, completion} = decideExecution(parts, call, result);
  const isFailedByShedCall =
    completion === Completion.FAILED && childCalls.hasShedCall();
  parts.gate.finish(
    executionId,
    isFailedByShedCall ? Completion.SHED_DOWNSTREAM : completion,
    childCalls.readBusyMs(),
  );
  const isShed = completion === Completion.SHED_BY_UPSTREAM;
  return {...executionResult, isShed, retries: ledger.close()};
}

function startUpstreamExchange(
  parts: NodeParts,
  call: IncomingCall,
  executionId: string,
): Exchange {
  const isRepeatable = call.compiledClass.definition.guard === RepeatGuard.NONE;
  const remainingMs = Math.ceil(call.deadline - parts.clock.readMs());
  return startExchange(
    parts.callConnections.find(parts.upstreamOrigin, isRepeatable),
    {
      method: call.method,
      path: call.path,
      headers: {
        ...call.forwardedHeaders,
        'sycamoreyoke-request-id': call.requestId,
        'sycamoreyoke-class': call.identity.requestClass,
        'sycamoreyoke-execution-id': executionId,
        'sycamoreyoke-timeout-ms': String(Math.max(1, remainingMs)),
      },
      body: call.body,
    },
  );
}

/** Cancels the exchange at the deadline or when the caller disconnects. */
async function waitForEnd(
  parts: NodeParts,
  call: IncomingCall,
  callerResponse: ServerResponse,
  exchange: Exchange,
  isRepeatable: boolean,
): Promise<ExchangeResult> {
  const graceMs = isRepeatable ? 0 : GUARDED_GRACE_MS;
  const remainingMs = call.deadline - parts.clock.readMs() + graceMs;
  const timer = setTimeout(
    () => exchange.cancel('the deadline passed'),
    Math.max(0, remainingMs),
  );
  const stopWatching = watchClient(callerResponse, isRepeatable, () =>
    exchange.cancel('the caller closed its connection'),
  );
  try {
    return await exchange.result;
  } finally {
    clearTimeout(timer);
    stopWatching();
  }
}

/**
 * Calls back when the caller disconnects, except for guarded requests, which
 * run to their end. Returns a function that removes the listener.
 */
function watchClient(
  callerResponse: ServerResponse,
  isRepeatable: boolean,
  handleDisconnect: () => void,
): () => void {
  if (!isRepeatable) return () => undefined;
  callerResponse.once('close', handleDisconnect);
  return () => callerResponse.off('close', handleDisconnect);
}

interface ExecutionDecision {
  readonly executionResult: ExecutionResult;
  readonly completion: Completion;
}

function decideExecution(
  parts: NodeParts,
  call: IncomingCall,
  result: ExchangeResult,
): ExecutionDecision {
  const isPastDeadline = parts.clock.readMs() >= call.deadline;
  switch (result.end) {
    case ExchangeEnd.RESPONSE:
      return decideResponse(parts, call, result);
    case ExchangeEnd.NOT_SENT:
      void parts.upstreamMonitor.check();
      return {
        // No byte was written, so the upstream cannot have run it.
        executionResult: {
          ...createNotRunResult(
            isPastDeadline
              ? RefusalReason.DEADLINE
              : RefusalReason.CONNECTION_LOST,
          ),
          isProvenNotRun: true,
        },
        completion: isPastDeadline ? Completion.CANCELLED : Completion.FAILED,
      };
    case ExchangeEnd.LOST:
      parts.lostExecutions.add(call.identity);
      void parts.upstreamMonitor.check();
      return {
        executionResult: createUnknownResult(
          isPastDeadline
            ? RefusalReason.DEADLINE
            : RefusalReason.CONNECTION_LOST,
        ),
        completion: isPastDeadline ? Completion.TIMED_OUT : Completion.FAILED,
      };
  }
}

function decideResponse(
  parts: NodeParts,
  call: IncomingCall,
  result: Extract<ExchangeResult, {end: ExchangeEnd.RESPONSE}>,
): ExecutionDecision {
  const {status, headers, body} = result;
  if (headers['sycamoreyoke-outcome'] === Outcome.NOT_RUN) {
    const answer = createRefusalAnswer(RefusalReason.OVERLOADED);
    return {
      executionResult: {answer, isProvenNotRun: true},
      completion: Completion.SHED_BY_UPSTREAM,
    };
  }
  const {requestId} = call;
  const findings = checkResponse({
    requestId,
    isEnded: true,
    body,
    ...readIntegrityHeaders(headers),
  });
  if (findings.length > 0) {
    const cause = findings.map(formatFinding).join('; ');
    parts.record(EventCode.RESPONSE_DROPPED, {cause}, requestId);
    return {
      executionResult: createUnknownResult(RefusalReason.BAD_RESPONSE),
      completion: Completion.FAILED,
    };
  }
  const response = {status, headers: collectResponseHeaders(headers), body};
  return {
    executionResult: {
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

/** Reads the headers used to verify a response, if they are present. */
export function readIntegrityHeaders(
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

/** Creates the result of a request that was refused before its dispatch. */
export function createNotRunResult(reason: RefusalReason): UpstreamResult {
  const answer = createRefusalAnswer(reason);
  return {answer, isProvenNotRun: false, retries: 0};
}

function createUnknownResult(reason: RefusalReason): ExecutionResult {
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
