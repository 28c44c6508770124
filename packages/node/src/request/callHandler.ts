/** Handles calls that arrive on the public port or from other nodes. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {formatLevel} from 'sycamoreyoke/process/admissionLevel';
import {EventCode} from 'sycamoreyoke/process/events';
import type {SendAnswer} from 'sycamoreyoke/request/outcome';
import type {CallHeaders} from 'sycamoreyoke/request/types';
import {
  Outcome,
  RefusalReason,
  RepeatGuard,
  formatIdentity,
} from 'sycamoreyoke/types';
import type {NodeParts} from '../process/nodeParts.js';
import {deliverCall} from './egressCall.js';
import {sendAnswer} from './httpExchange.js';
import {readHeaders, readIncomingCall} from './incomingCall.js';
import {RefusedRequestError, createRefusal} from './refusal.js';
import type {IncomingCall} from './types.js';
import {CallOrigin} from './types.js';
import type {UpstreamResult} from './upstreamRun.js';
import {runOnUpstream} from './upstreamRun.js';

/** Refusal reasons that are caused by a fault in the request itself. */
const CALLER_ERROR_REASONS: ReadonlySet<string> = new Set([
  RefusalReason.MALFORMED,
  RefusalReason.UNAUTHENTICATED,
  RefusalReason.FORBIDDEN,
  RefusalReason.TOO_LARGE,
]);

/** The answer to a call and the number of retries used to serve it. */
interface CallResult {
  readonly answer: SendAnswer;
  readonly retries: number;
  readonly message: string;
  readonly retryAfterMs?: number;
}

/** Reads, serves and answers one call, and records its outcome. */
export async function handleCall(
  parts: NodeParts,
  origin: CallOrigin,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const startMs = parts.clock.readMs();
  let requestId = 'none';
  let callResult: CallResult;
  parts.pauseTask.observe();
  parts.lifecycle.start();
  try {
    const headers = readHeaders(request);
    requestId = headers.requestId ?? requestId;
    if (origin === CallOrigin.PEER) observeTime(parts, headers);
    const call = await readIncomingCall(parts, origin, request, headers);
    requestId = call.requestId;
    recordAdmitted(parts, call);
    callResult = await serveCall(parts, call, response);
  } catch (error) {
    callResult = createRefusedResult(error);
  } finally {
    parts.lifecycle.finish();
  }
  recordCallResult(
    parts,
    requestId,
    callResult,
    parts.clock.readMs() - startMs,
  );
  const level = formatLevel(parts.gate.readLevel());
  const time = parts.hybridClock.read();
  const {retries, retryAfterMs} = callResult;
  const addedHeaders = {
    requestId,
    retries,
    level,
    time,
    ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
  };
  sendAnswer(response, callResult.answer, addedHeaders, callResult.message);
}

/**
 * Runs a call on the upstream beside this node, or forwards it when its class
 * belongs to another service.
 */
async function serveCall(
  parts: NodeParts,
  call: IncomingCall,
  response: ServerResponse,
): Promise<CallResult> {
  if (call.compiledClass.definition.service !== parts.service) {
    const delivered = await deliverCall(parts, {
      ...call,
      allowance: call.grant.allowance,
    });
    parts.entryLedger.finish(call.grant, delivered.retries);
    return {...delivered, message: 'forwarded by a node of another service'};
  }
  checkCanServe(parts, call);
  let run: UpstreamResult | undefined;
  const execute = async (startDispatch: () => boolean) => {
    run = await runOnUpstream(parts, call, response, startDispatch);
    return run;
  };
  const answer = await runGuarded(parts, call, execute);
  const {retries = 0, retryAfterMs} = run ?? {};
  parts.entryLedger.finish(call.grant, retries);
  return {
    answer,
    retries,
    message: answer.reason ?? '',
    ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
  };
}

/** Throws when the node accepts no new work or refuses this request. */
function checkCanServe(parts: NodeParts, call: IncomingCall): void {
  const refusal = parts.lifecycle.getRefusal();
  if (refusal === undefined) parts.observeWork(call.requestId);
  else if (!isGuardedResend(call)) {
    throw createRefusal(refusal, `the node is ${parts.lifecycle.get()}`);
  }
  const crashCheck = parts.crashRegister.check(formatIdentity(call.identity));
  if (crashCheck.isRefused) {
    throw createRefusal(
      RefusalReason.CRASHING,
      'the request was in flight at two crashes of an upstream',
    );
  }
}

/**
 * Whether the call is a resend of a guarded request. It may only be answered
 * from the record, so it is allowed while the node refuses new work.
 */
function isGuardedResend(call: IncomingCall): boolean {
  return (
    call.headers.attempt > 0 &&
    call.compiledClass.definition.guard !== RepeatGuard.NONE
  );
}

type ExecuteRequest = Parameters<NodeParts['executor']['runClaimed']>[1];

function runGuarded(
  parts: NodeParts,
  call: IncomingCall,
  execute: ExecuteRequest,
): Promise<SendAnswer> {
  const {identity, deadline, headers} = call;
  const send = {identity, deadline, attempt: headers.attempt};
  const {guard} = call.compiledClass.definition;
  if (guard === RepeatGuard.PIN && headers.pin) {
    return parts.executor.runPinned(send, headers.pin, execute);
  }
  if (guard === RepeatGuard.CLAIM) {
    return parts.executor.runClaimed(send, execute);
  }
  return execute(() => true).then(({answer}) => answer);
}

function observeTime(parts: NodeParts, headers: CallHeaders): void {
  if (headers.time) parts.hybridClock.observe(headers.time);
}

function createRefusedResult(error: unknown): CallResult {
  if (!(error instanceof RefusedRequestError)) throw error;
  return {answer: error.answer, retries: 0, message: error.message};
}

function recordAdmitted(parts: NodeParts, call: IncomingCall): void {
  const details = {
    caller: call.identity.caller,
    requestClass: call.identity.requestClass,
    attempt: call.headers.attempt,
    timeoutMs: Math.round(call.deadline - parts.clock.readMs()),
    allowance: call.grant.allowance,
  };
  parts.record(EventCode.REQUEST_ADMITTED, details, call.requestId);
}

function recordCallResult(
  parts: NodeParts,
  requestId: string,
  {answer, retries, message}: CallResult,
  elapsedMs: number,
): void {
  const {outcome, reason = '', response} = answer;
  parts.metrics.count('sycamoreyoke_calls_total', {outcome, reason});
  if (outcome === Outcome.DONE) {
    parts.metrics.observe('sycamoreyoke_call_seconds', elapsedMs);
  }
  if (response) {
    const details = {status: response.status, elapsedMs, retries};
    parts.record(EventCode.REQUEST_FINISHED, details, requestId);
  } else {
    const details = {outcome, reason, message};
    const isMalformed = CALLER_ERROR_REASONS.has(reason);
    const code = isMalformed
      ? EventCode.REQUEST_MALFORMED
      : EventCode.REQUEST_REFUSED;
    parts.record(code, details, requestId);
  }
}
