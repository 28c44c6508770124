/** Handles outgoing calls of the upstream beside the node. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RetryLedger} from 'sycamoreyoke/request/retryLedger';
import {RefusalReason} from 'sycamoreyoke/types';
import type {NodeParts} from '../process/nodeParts.js';
import type {RunningRequest} from '../process/runningRequests.js';
import {deliverCall} from './egressCall.js';
import {
  checkBodyDigest,
  collectRequestHeaders,
  readBody,
  sendAnswer,
} from './httpExchange.js';
import {checkGuardHeaders, findClass, readHeaders} from './incomingCall.js';
import {RefusedRequestError, createRefusal} from './refusal.js';
import type {DeliveryResult, OutgoingRequest} from './types.js';

/** Reads, delivers and answers one outgoing call of the local upstream. */
export async function handleEgress(
  parts: NodeParts,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  let requestId = 'none';
  let message = '';
  let delivery: DeliveryResult;
  parts.lifecycle.start();
  try {
    const call = await readOutgoingCall(parts, request);
    requestId = call.requestId;
    delivery = await deliverForParent(parts, call);
  } catch (error) {
    if (!(error instanceof RefusedRequestError)) throw error;
    delivery = {answer: error.answer, retries: 0};
    ({message} = error);
  } finally {
    parts.lifecycle.finish();
  }
  const {answer, retries} = delivery;
  sendAnswer(response, answer, {requestId, retries}, message);
}

/** An outgoing call and the running request that caused it, if known. */
interface UpstreamCall extends OutgoingRequest {
  readonly parent?: RunningRequest;
}

async function readOutgoingCall(
  parts: NodeParts,
  request: IncomingMessage,
): Promise<UpstreamCall> {
  const headers = readHeaders(request);
  const compiledClass = findClass(parts, headers);
  checkGuardHeaders(headers, compiledClass);
  const parent = findParent(parts, headers.parentId);
  if (!parts.drain.admitCall(headers.parentId)) {
    throw createRefusal(RefusalReason.LEAVING, 'the node is leaving');
  }
  const requestId = headers.requestId ?? randomUUID();
  const caller = parent?.identity.caller ?? parts.service;
  const {definition, importance} = compiledClass;
  const timeoutMs = Math.min(
    headers.timeoutMs ?? definition.timeoutMs,
    definition.timeoutMs,
  );
  const callDeadline = parts.clock.readMs() + timeoutMs;
  const body = await readBody(request);
  checkBodyDigest(body, headers.contentDigest);
  return {
    requestId,
    identity: {caller, requestClass: definition.name, requestId},
    rootId: parent?.rootId ?? `${caller}/${requestId}`,
    headers,
    compiledClass,
    importance: Math.max(importance, parent?.importance ?? importance),
    deadline: Math.min(callDeadline, parent?.deadline ?? callDeadline),
    allowance: headers.allowance ?? 0,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    forwardedHeaders: collectRequestHeaders(request.headers),
    body,
    ...(parent === undefined ? {} : {parent}),
  };
}

function findParent(
  parts: NodeParts,
  parentId: string | undefined,
): RunningRequest | undefined {
  if (parentId === undefined) return undefined;
  const parent = parts.runningRequests.get(parentId);
  if (parent) return parent;
  throw createRefusal(
    RefusalReason.CANCELLED,
    `execution "${parentId}" is no longer running`,
  );
}

/** Delivers a call with retries reserved from the ledger of its parent. */
async function deliverForParent(
  parts: NodeParts,
  call: UpstreamCall,
): Promise<DeliveryResult> {
  const ledger: RetryLedger | undefined = call.parent?.ledger;
  if (!ledger) return deliverCall(parts, call);
  const reservation = ledger.reserveCall();
  call.parent?.childCalls.start();
  const delivery = await deliverCall(parts, {
    ...call,
    allowance: reservation.granted,
  });
  const isShed = delivery.answer.reason === RefusalReason.OVERLOADED;
  call.parent?.childCalls.finish(isShed);
  ledger.finishCall(reservation, delivery.retries);
  return delivery;
}
