/** Reads requests and writes responses with node:http. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {HEADER_PREFIX, MAX_BODY_BYTES} from 'sycamoreyoke/request/constants';
import {formatResponseHeaders} from 'sycamoreyoke/request/headers';
import type {SendAnswer} from 'sycamoreyoke/request/outcome';
import {
  formatContentDigest,
  hashBody,
} from 'sycamoreyoke/request/responseCheck';
import type {ResponseHeaders} from 'sycamoreyoke/request/types';
import {RefusalReason} from 'sycamoreyoke/types';
import type {ReceivedHeaders} from '../connection/exchange.js';
import {createRefusal, getRefusalStatus} from './refusal.js';

/**
 * Reads the whole body. Throws a refusal when it exceeds MAX_BODY_BYTES
 * (TOO_LARGE) or ends early (MALFORMED).
 */
export async function readBody(message: IncomingMessage): Promise<Uint8Array> {
  const contentLength = Number(message.headers['content-length'] ?? 0);
  if (contentLength > MAX_BODY_BYTES) throw createTooLargeRefusal();
  if (contentLength === 0 && !message.headers['transfer-encoding']) {
    message.resume();
    return EMPTY_BODY;
  }
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of message) {
      const buffer = chunk as Buffer;
      size += buffer.length;
      if (size > MAX_BODY_BYTES) break;
      chunks.push(buffer);
    }
  } catch (error) {
    throw createRefusal(
      RefusalReason.MALFORMED,
      `body ended early: ${(error as Error).message}`,
    );
  }
  if (size > MAX_BODY_BYTES) throw createTooLargeRefusal();
  return chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks);
}

const EMPTY_BODY = new Uint8Array(0);

function createTooLargeRefusal() {
  return createRefusal(
    RefusalReason.TOO_LARGE,
    `body exceeds ${MAX_BODY_BYTES} bytes`,
  );
}

/**
 * Throws a refusal (MALFORMED) when the body does not match its content-digest
 * header; without the header nothing is checked.
 */
export function checkBodyDigest(
  body: Uint8Array,
  digest: string | undefined,
): void {
  if (digest === undefined) return;
  if (formatContentDigest(body, hashBody) === digest) return;
  throw createRefusal(
    RefusalReason.MALFORMED,
    'header content-digest does not match the body',
  );
}

/** Headers that apply to a single connection and are never forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'proxy-connection',
  'te',
  'trailer',
  'upgrade',
  'host',
  'expect',
]);

/** Request headers that must not reach the next hop. */
const STRIPPED_REQUEST_HEADERS = new Set([
  'authorization',
  'idempotency-key',
  'content-digest',
]);

/** Collects the request headers to forward. */
export function collectRequestHeaders(
  headers: ReceivedHeaders,
): Record<string, string> {
  return collectHeaders(
    headers,
    (name) =>
      name.startsWith(HEADER_PREFIX) || STRIPPED_REQUEST_HEADERS.has(name),
  );
}

/** Collects the response headers to forward. */
export function collectResponseHeaders(
  headers: ReceivedHeaders,
): Record<string, string> {
  return collectHeaders(
    headers,
    (name) => name.startsWith(HEADER_PREFIX) || name === 'date',
  );
}

function collectHeaders(
  headers: ReceivedHeaders,
  isDropped: (name: string) => boolean,
): Record<string, string> {
  const collected: Record<string, string> = {};
  for (const name in headers) {
    const value = headers[name];
    if (
      value === undefined ||
      HOP_BY_HOP_HEADERS.has(name) ||
      isDropped(name)
    ) {
      continue;
    }
    collected[name] = typeof value === 'string' ? value : value.join(', ');
  }
  return collected;
}

/** Headers that the node adds to each answer. */
export type AddedHeaders = Omit<
  ResponseHeaders,
  'outcome' | 'reason' | 'nextAttempt' | 'contentDigest'
>;

/** Sends the response, or a JSON error body when there is no response. */
export function sendAnswer(
  serverResponse: ServerResponse,
  answer: SendAnswer,
  addedHeaders: AddedHeaders,
  message: string,
): void {
  if (serverResponse.destroyed) return;
  const {response} = answer;
  const body = response?.body ?? renderRefusal(answer, addedHeaders, message);
  const headers = formatResponseHeaders({
    ...addedHeaders,
    outcome: answer.outcome,
    // A digest sent with the response was already verified on arrival.
    contentDigest:
      response?.headers['content-digest'] ??
      formatContentDigest(body, hashBody),
    ...(answer.reason === undefined ? {} : {reason: answer.reason}),
    ...(answer.nextAttempt === undefined
      ? {}
      : {nextAttempt: answer.nextAttempt}),
  });
  serverResponse.writeHead(
    response?.status ?? getRefusalStatus(answer.reason),
    {
      ...(response?.headers ?? {'content-type': 'application/json'}),
      ...headers,
      'content-length': body.length,
    },
  );
  serverResponse.end(body);
}

function renderRefusal(
  answer: SendAnswer,
  addedHeaders: AddedHeaders,
  message: string,
): Uint8Array {
  const content = {
    outcome: answer.outcome,
    reason: answer.reason,
    message,
    requestId: addedHeaders.requestId,
  };
  return Buffer.from(`${JSON.stringify(content)}\n`);
}
