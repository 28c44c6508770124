/** Parses and validates an incoming call. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {formatFinding} from 'sycamoreyoke/findings';
import type {EntryGrant} from 'sycamoreyoke/process/entryLedger';
import {MAX_REQUEST_ID_LENGTH} from 'sycamoreyoke/request/constants';
import {parseCallHeaders} from 'sycamoreyoke/request/headers';
import type {CallHeaders} from 'sycamoreyoke/request/types';
import type {Importance, RequestIdentity} from 'sycamoreyoke/types';
import {RefusalReason, RepeatGuard} from 'sycamoreyoke/types';
import type {CompiledClass} from 'sycamoreyoke/version/compile';
import type {NodeParts} from '../process/nodeParts.js';
import {checkCaller} from './callerCheck.js';
import {
  checkBodyDigest,
  collectRequestHeaders,
  readBody,
} from './httpExchange.js';
import {createRefusal} from './refusal.js';
import type {IncomingCall} from './types.js';
import {CallOrigin} from './types.js';

/** Parses the call headers; throws a refusal that lists every fault. */
export function readHeaders(request: IncomingMessage): CallHeaders {
  const result = parseCallHeaders(request.headers);
  if (result.headers) return result.headers;
  throw createRefusal(
    RefusalReason.MALFORMED,
    result.findings.map(formatFinding).join('; '),
  );
}

/**
 * Reads a call from the public or the peer port: checks its headers and its
 * caller, opens its entry grant and reads its body. Throws a
 * RefusedRequestError when a check fails.
 */
export async function readIncomingCall(
  parts: NodeParts,
  origin: CallOrigin,
  request: IncomingMessage,
  headers: CallHeaders,
): Promise<IncomingCall> {
  const compiledClass = findClass(parts, headers);
  const requestId = readRequestId(headers, compiledClass);
  checkGuardHeaders(headers, compiledClass);
  const caller =
    origin === CallOrigin.PUBLIC
      ? checkCaller(parts.configuration.get(), headers, parts.tokenDigests)
      : readPeerCaller(headers);
  const identity: RequestIdentity = {
    caller: caller.name,
    requestClass: headers.requestClass,
    requestId,
  };
  const grant =
    origin === CallOrigin.PUBLIC
      ? openEntryGrant(parts, headers, compiledClass, identity, caller.trusted)
      : {allowance: headers.allowance ?? 0};
  const deadline = parts.clock.readMs() + readTimeout(headers, compiledClass);
  const body = await readBody(request);
  checkBodyDigest(body, headers.contentDigest);
  return {
    requestId: headers.requestId ?? requestId,
    identity,
    rootId: readRootId(origin, headers, `${caller.name}/${requestId}`),
    headers,
    compiledClass,
    importance: readImportance(origin, headers, compiledClass),
    deadline,
    grant,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    forwardedHeaders: collectRequestHeaders(request.headers),
    body,
  };
}

/**
 * Finds the configured class of a call. Throws a refusal (MALFORMED) when it is
 * not configured or belongs to another service than the headers name.
 */
export function findClass(
  parts: NodeParts,
  headers: CallHeaders,
): CompiledClass {
  const compiledClass = parts.configuration
    .get()
    .classes.get(headers.requestClass);
  if (!compiledClass) {
    throw createRefusal(
      RefusalReason.MALFORMED,
      `request class "${headers.requestClass}" is not configured`,
    );
  }
  const {service} = compiledClass.definition;
  if (headers.service !== undefined && headers.service !== service) {
    throw createRefusal(
      RefusalReason.MALFORMED,
      `request class "${headers.requestClass}" belongs to service "${service}", not "${headers.service}"`,
    );
  }
  return compiledClass;
}

/** The request id; for claimed classes this is the idempotency key. */
export function readRequestId(
  headers: CallHeaders,
  {definition}: CompiledClass,
): string {
  if (definition.guard === RepeatGuard.CLAIM && headers.idempotencyKey) {
    return headers.idempotencyKey.slice(0, MAX_REQUEST_ID_LENGTH);
  }
  return headers.requestId ?? randomUUID();
}

/** Throws when a guarded call lacks the headers that its guard requires. */
export function checkGuardHeaders(
  headers: CallHeaders,
  {definition}: CompiledClass,
): void {
  const {guard, name} = definition;
  if (guard === RepeatGuard.PIN && !(headers.pin && headers.requestId)) {
    throw createRefusal(
      RefusalReason.MALFORMED,
      `class "${name}" needs the headers sycamoreyoke-request-id and sycamoreyoke-pin`,
    );
  }
  if (guard === RepeatGuard.CLAIM && !headers.idempotencyKey) {
    throw createRefusal(
      RefusalReason.MALFORMED,
      `class "${name}" needs the header idempotency-key`,
    );
  }
}

function readPeerCaller(headers: CallHeaders) {
  const name = headers.rootId?.split('/')[0];
  if (name === undefined) {
    throw createRefusal(
      RefusalReason.MALFORMED,
      'header sycamoreyoke-root-id is required on the peer port',
    );
  }
  return {name, trusted: true};
}

function openEntryGrant(
  parts: NodeParts,
  headers: CallHeaders,
  {definition, retryLimit}: CompiledClass,
  identity: RequestIdentity,
  isTrusted: boolean,
): EntryGrant {
  return parts.entryLedger.open({
    identity,
    limit: retryLimit.perRequest,
    isTrusted,
    isOwnService: definition.service === parts.service,
    ...(headers.allowance === undefined ? {} : {allowance: headers.allowance}),
  });
}

function readTimeout(headers: CallHeaders, {definition}: CompiledClass) {
  return Math.min(
    headers.timeoutMs ?? definition.timeoutMs,
    definition.timeoutMs,
  );
}

/** Ignores the root id of outside callers, who could claim to be another. */
function readRootId(
  origin: CallOrigin,
  headers: CallHeaders,
  ownRootId: string,
): string {
  return origin === CallOrigin.PEER ? (headers.rootId ?? ownRootId) : ownRootId;
}

/** Only other nodes may raise the importance above that of the class. */
function readImportance(
  origin: CallOrigin,
  headers: CallHeaders,
  {importance}: CompiledClass,
): Importance {
  return origin === CallOrigin.PEER
    ? Math.max(importance, headers.importance ?? importance)
    : importance;
}
