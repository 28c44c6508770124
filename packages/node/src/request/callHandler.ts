/** Gate side: a call from outside or from another node to the own upstream. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {parseCallHeaders} from 'sycamoreyoke/request/headers';
import type {CallHeaders, CallResponse} from 'sycamoreyoke/request/types';
import {formatFinding} from 'sycamoreyoke/findings';
import {Completion} from 'sycamoreyoke/process/types';
import {Outcome, RefusalReason} from 'sycamoreyoke/types';
import type {CompiledClass} from 'sycamoreyoke/version/compile';
import type {CallConnections} from '../connection/callConnections.js';
import type {ConfigurationTask} from '../process/configurationTask.js';
import type {GateTask} from '../process/gateTask.js';
import {forwardCall} from './forward.js';
import {
  RefusedRequest,
  getRefusalStatus,
  readBody,
  sendRefusal,
  sendResponse,
} from './exchange.js';

/** What the handler needs of the process. */
export interface CallHandlerParts {
  readonly gate: GateTask;
  readonly configuration: ConfigurationTask;
  readonly connections: CallConnections;
  readonly upstream: string;
}

interface Call {
  readonly requestId: string;
  readonly headers: CallHeaders;
  readonly compiledClass: CompiledClass;
  readonly deadline: number;
  readonly body: Uint8Array;
}

/** Takes a call from its first byte to its response. */
export async function handleCall(
  parts: CallHandlerParts,
  request: IncomingMessage,
  exchange: ServerResponse,
): Promise<void> {
  let requestId = 'none';
  try {
    const headers = readHeaders(request);
    requestId = headers.requestId ?? randomUUID();
    const call = await readCall(parts, request, headers, requestId);
    const response = await runCall(parts, request, call);
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

async function readCall(
  parts: CallHandlerParts,
  request: IncomingMessage,
  headers: CallHeaders,
  requestId: string,
): Promise<Call> {
  const configuration = parts.configuration.get();
  const compiledClass = configuration.classes.get(headers.requestClass);
  if (!compiledClass) {
    throw createRefusal(
      RefusalReason.MALFORMED,
      `request class "${headers.requestClass}" is not configured`,
    );
  }
  const timeoutMs = Math.min(
    headers.timeoutMs ?? compiledClass.definition.timeoutMs,
    compiledClass.definition.timeoutMs,
  );
  const deadline = parts.gate.clock.readMs() + timeoutMs;
  const body = await readBody(request);
  return {requestId, headers, compiledClass, deadline, body};
}

async function runCall(
  parts: CallHandlerParts,
  request: IncomingMessage,
  call: Call,
): Promise<CallResponse> {
  const ticket = randomUUID();
  const refusal = await parts.gate.admit({
    ticket,
    importance: call.compiledClass.importance,
    deadline: call.deadline,
  });
  if (refusal) {
    throw createRefusal(refusal.reason, 'refused by the gate');
  }
  let completion = Completion.FAILED;
  try {
    const response = await forwardCall(parts.connections, {
      origin: parts.upstream,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: request.headers,
      added: {
        'sycamoreyoke-request-id': call.requestId,
        'sycamoreyoke-class': call.headers.requestClass,
      },
      body: call.body,
      timeoutMs: call.deadline - parts.gate.clock.readMs(),
    });
    completion = Completion.SUCCEEDED;
    return response;
  } finally {
    parts.gate.finish(ticket, completion);
  }
}

function createRefusal(reason: RefusalReason, message: string): RefusedRequest {
  return new RefusedRequest(
    getRefusalStatus(reason),
    Outcome.NOT_RUN,
    reason,
    message,
  );
}
