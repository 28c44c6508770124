/** Egress side: a call that the upstream beside the node makes. */
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
import {RefusedRequest, createRefusal} from './refusal.js';
import type {Delivery, OutgoingRequest} from './types.js';

/** Takes a call of the own upstream from its first byte to its answer. */
export async function handleEgress(
  parts: NodeParts,
  request: IncomingMessage,
  exchange: ServerResponse,
): Promise<void> {
  let requestId = 'none';
  let message = '';
  let delivery: Delivery;
  parts.lifecycle.start();
  try {
    const call = await readOutgoingCall(parts, request);
    requestId = call.requestId;
    delivery = await deliverWithin(parts, call);
  } catch (error) {
    if (!(error instanceof RefusedRequest)) throw error;
    delivery = {answer: error.answer, retries: 0};
    ({message} = error);
  } finally {
    parts.lifecycle.finish();
  }
  const {answer, retries} = delivery;
  sendAnswer(exchange, answer, {requestId, retries}, message);
}

/** A call, with the request that the upstream makes it for. */
interface LocalCall extends OutgoingRequest {
  readonly parent?: RunningRequest;
}

async function readOutgoingCall(
  parts: NodeParts,
  request: IncomingMessage,
): Promise<LocalCall> {
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
  const ownDeadline = parts.clock.readMs() + timeoutMs;
  const body = await readBody(request);
  checkBodyDigest(body, headers.contentDigest);
  return {
    requestId,
    identity: {caller, requestClass: definition.name, requestId},
    rootId: parent?.rootId ?? `${caller}/${requestId}`,
    headers,
    compiledClass,
    importance: Math.max(importance, parent?.importance ?? importance),
    deadline: Math.min(ownDeadline, parent?.deadline ?? ownDeadline),
    allowance: headers.allowance ?? 0,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    passedHeaders: collectRequestHeaders(request.headers),
    body,
    ...(parent === undefined ? {} : {parent}),
  };
}

function findParent(
  parts: NodeParts,
  parentId: string | undefined,
): RunningRequest | undefined {
  if (parentId === undefined) return undefined;
  const parent = parts.running.get(parentId);
  if (parent) return parent;
  throw createRefusal(
    RefusalReason.CANCELLED,
    `execution "${parentId}" does not run any more`,
  );
}

/** Uses a part of the ledger of the request that the call is made for. */
async function deliverWithin(
  parts: NodeParts,
  call: LocalCall,
): Promise<Delivery> {
  const ledger: RetryLedger | undefined = call.parent?.ledger;
  if (!ledger) return deliverCall(parts, call);
  const share = ledger.reserveCall();
  call.parent?.calls.start();
  const delivery = await deliverCall(parts, {
    ...call,
    allowance: share.granted,
  });
  const isShed = delivery.answer.reason === RefusalReason.OVERLOADED;
  call.parent?.calls.finish(isShed);
  ledger.finishCall(share, delivery.retries);
  return delivery;
}
