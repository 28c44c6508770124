/** Reads requests from and writes responses to a node:http exchange. */
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

/** Reads a whole body; throws when it is too large or cut short. */
export async function readBody(message: IncomingMessage): Promise<Uint8Array> {
  const announced = Number(message.headers['content-length'] ?? 0);
  if (announced > MAX_BODY_BYTES) throw createTooLarge();
  if (announced === 0 && !message.headers['transfer-encoding']) {
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
      `body was cut short: ${(error as Error).message}`,
    );
  }
  if (size > MAX_BODY_BYTES) throw createTooLarge();
  return chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks);
}

const EMPTY_BODY = new Uint8Array(0);

function createTooLarge() {
  return createRefusal(
    RefusalReason.TOO_LARGE,
    `body exceeds ${MAX_BODY_BYTES} bytes`,
  );
}

/** Throws when the body does not match the digest that came with it. */
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

/** Headers that belong to one connection and are not passed on. */
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

/** Headers of a request that the next hop must not see. */
const PRIVATE_HEADERS = new Set([
  'authorization',
  'idempotency-key',
  'content-digest',
]);

/** Headers of a request that pass through the node. */
export function collectRequestHeaders(
  headers: ReceivedHeaders,
): Record<string, string> {
  return collectHeaders(
    headers,
    (name) => name.startsWith(HEADER_PREFIX) || PRIVATE_HEADERS.has(name),
  );
}

/** Headers of a response that pass through the node. */
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

/** What a node adds to each answer that it sends. */
export type AddedHeaders = Omit<
  ResponseHeaders,
  'outcome' | 'reason' | 'nextAttempt' | 'contentDigest'
>;

/** Sends the answer of a request: the complete response, or why there is none. */
export function sendAnswer(
  exchange: ServerResponse,
  answer: SendAnswer,
  added: AddedHeaders,
  message: string,
): void {
  if (exchange.destroyed) return;
  const {response} = answer;
  const body = response?.body ?? renderRefusal(answer, added, message);
  const headers = formatResponseHeaders({
    ...added,
    outcome: answer.outcome,
    // A digest that came with the response was checked when it arrived.
    contentDigest:
      response?.headers['content-digest'] ??
      formatContentDigest(body, hashBody),
    ...(answer.reason === undefined ? {} : {reason: answer.reason}),
    ...(answer.nextAttempt === undefined
      ? {}
      : {nextAttempt: answer.nextAttempt}),
  });
  exchange.writeHead(response?.status ?? getRefusalStatus(answer.reason), {
    ...(response?.headers ?? {'content-type': 'application/json'}),
    ...headers,
    'content-length': body.length,
  });
  exchange.end(body);
}

function renderRefusal(
  answer: SendAnswer,
  added: AddedHeaders,
  message: string,
): Uint8Array {
  const content = {
    outcome: answer.outcome,
    reason: answer.reason,
    message,
    requestId: added.requestId,
  };
  return Buffer.from(`${JSON.stringify(content)}\n`);
}
