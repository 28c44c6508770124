/** Reads requests from and writes responses to a node:http exchange. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {SycamoreyokeError} from 'sycamoreyoke/errors';
import {MAX_BODY_BYTES} from 'sycamoreyoke/request/constants';
import {formatResponseHeaders} from 'sycamoreyoke/request/headers';
import type {CallResponse, ResponseHeaders} from 'sycamoreyoke/request/types';
import type {Outcome} from 'sycamoreyoke/types';
import {RefusalReason} from 'sycamoreyoke/types';

/** A request that ends with a response of the node itself. */
export class RefusedRequest extends SycamoreyokeError {
  constructor(
    readonly status: number,
    readonly outcome: Outcome,
    readonly reason: RefusalReason,
    message: string,
    readonly retryAfterMs?: number,
  ) {
    super(message);
  }
}

/** Status code of a refusal. */
export function getRefusalStatus(reason: RefusalReason): number {
  switch (reason) {
    case RefusalReason.MALFORMED:
      return 400;
    case RefusalReason.UNAUTHENTICATED:
      return 401;
    case RefusalReason.FORBIDDEN:
      return 403;
    case RefusalReason.TOO_LARGE:
      return 413;
    case RefusalReason.DEADLINE:
      return 504;
    case RefusalReason.CONNECTION_LOST:
    case RefusalReason.BAD_RESPONSE:
      return 502;
    default:
      return 503;
  }
}

/** Reads a whole body; rejects when it is too large or cut short. */
export async function readBody(message: IncomingMessage): Promise<Uint8Array> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of message) {
    const buffer = chunk as Buffer;
    size += buffer.length;
    if (size > MAX_BODY_BYTES) {
      throw new SycamoreyokeError(`body exceeds ${MAX_BODY_BYTES} bytes`);
    }
    chunks.push(buffer);
  }
  return chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks);
}

/** Headers that belong to one connection and are not passed on. */
const HOP_HEADERS = new Set([
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

/** Headers that pass through the node. */
export function collectForwardedHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
  isDropped: (name: string) => boolean,
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_HEADERS.has(name) || isDropped(name)) {
      continue;
    }
    forwarded[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return forwarded;
}

/** Sends a complete response of the upstream. */
export function sendResponse(
  exchange: ServerResponse,
  response: CallResponse,
  added: ResponseHeaders,
): void {
  exchange.writeHead(response.status, {
    ...response.headers,
    ...formatResponseHeaders(added),
    'content-length': response.body.length,
  });
  exchange.end(response.body);
}

/** Sends a refusal as JSON with the findings. */
export function sendRefusal(
  exchange: ServerResponse,
  requestId: string,
  refusal: RefusedRequest,
): void {
  const body = Buffer.from(
    `${JSON.stringify({
      outcome: refusal.outcome,
      reason: refusal.reason,
      message: refusal.message,
      requestId,
    })}\n`,
  );
  const added = formatResponseHeaders({
    outcome: refusal.outcome,
    requestId,
    reason: refusal.reason,
    retries: 0,
    ...(refusal.retryAfterMs === undefined
      ? {}
      : {retryAfterMs: refusal.retryAfterMs}),
  });
  exchange.writeHead(refusal.status, {
    ...added,
    'content-type': 'application/json',
    'content-length': body.length,
  });
  exchange.end(body);
}
