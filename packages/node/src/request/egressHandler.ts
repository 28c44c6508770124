/** Egress side: a call of the own upstream to a node of another service. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {formatFinding} from 'sycamoreyoke/findings';
import type {Member, Router} from 'sycamoreyoke/process/types';
import {
  formatCallHeaders,
  parseCallHeaders,
} from 'sycamoreyoke/request/headers';
import type {CallHeaders, CallResponse} from 'sycamoreyoke/request/types';
import {Outcome, RefusalReason} from 'sycamoreyoke/types';
import type {CallConnections} from '../connection/callConnections.js';
import type {ConfigurationTask} from '../process/configurationTask.js';
import {forwardCall} from './forward.js';
import {
  RefusedRequest,
  getRefusalStatus,
  readBody,
  sendRefusal,
  sendResponse,
} from './exchange.js';

/** What the handler needs of the process. */
export interface EgressHandlerParts {
  readonly router: Router;
  readonly configuration: ConfigurationTask;
  readonly connections: CallConnections;
}

/** Takes an outgoing call to a member of the target service. */
export async function handleEgress(
  parts: EgressHandlerParts,
  request: IncomingMessage,
  exchange: ServerResponse,
): Promise<void> {
  let requestId = 'none';
  try {
    const headers = readHeaders(request);
    requestId = headers.requestId ?? randomUUID();
    const body = await readBody(request);
    const response = await sendCall(
      parts,
      request,
      {
        ...headers,
        requestId,
      },
      body,
    );
    sendResponse(exchange, response, {
      outcome: Outcome.DONE,
      requestId,
      retries: 0,
    });
  } catch (error) {
    if (!(error instanceof RefusedRequest)) throw error;
    sendRefusal(exchange, requestId, error);
  }
}

function readHeaders(request: IncomingMessage): CallHeaders {
  const result = parseCallHeaders(request.headers);
  if (result.headers) return result.headers;
  throw createRefusal(
    RefusalReason.MALFORMED,
    result.findings.map(formatFinding).join('; '),
  );
}

async function sendCall(
  parts: EgressHandlerParts,
  request: IncomingMessage,
  headers: CallHeaders,
  body: Uint8Array,
): Promise<CallResponse> {
  const definition = parts.configuration
    .get()
    .classes.get(headers.requestClass)?.definition;
  if (!definition) {
    throw createRefusal(
      RefusalReason.MALFORMED,
      `request class "${headers.requestClass}" is not configured`,
    );
  }
  const member = chooseMember(parts, definition.service);
  return forwardCall(parts.connections, {
    origin: `http://${member.address}:${member.peerPort}`,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: request.headers,
    added: formatCallHeaders(headers),
    body,
    timeoutMs: headers.timeoutMs ?? definition.timeoutMs,
  });
}

function chooseMember(parts: EgressHandlerParts, service: string): Member {
  const member = parts.router.choose(service, new Set());
  if (member) return member;
  throw createRefusal(
    RefusalReason.NO_MEMBER,
    `no member of service "${service}" is known`,
  );
}

function createRefusal(reason: RefusalReason, message: string): RefusedRequest {
  return new RefusedRequest(
    getRefusalStatus(reason),
    Outcome.NOT_RUN,
    reason,
    message,
  );
}
