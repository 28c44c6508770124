/** Sends requests over plain HTTP, without the caller library. */
import {createHash} from 'node:crypto';
import type {Dispatcher} from 'undici';
import {Outcome} from 'sycamoreyoke/types';
import type {UpstreamBody} from '../upstream/payload.js';
import {isBodyOfRequest} from '../upstream/payload.js';

/** One request to a node. */
export interface PlainSend {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly requestId: string;
  readonly timeoutMs: number;
}

/** Result of a send. */
export interface SendResult {
  readonly outcome: Outcome;
  readonly status: number;
  readonly retries: number;
  /** The response was complete and answered this request. */
  readonly isWhole: boolean;
  /** A successful response was damaged or belonged to another request. */
  readonly isForeign: boolean;
}

const UNANSWERED_RESULT: SendResult = {
  outcome: Outcome.UNKNOWN,
  status: 0,
  retries: 0,
  isWhole: false,
  isForeign: false,
};

/**
 * Sends a request once and validates the response. Never rejects: an error
 * yields a result with an unknown outcome.
 */
export async function sendPlain(
  dispatcher: Dispatcher,
  send: PlainSend,
): Promise<SendResult> {
  try {
    const url = new URL(send.url);
    const response = await dispatcher.request({
      origin: url.origin,
      path: url.pathname,
      method: 'GET',
      headers: {
        ...send.headers,
        'sycamoreyoke-request-id': send.requestId,
        'sycamoreyoke-timeout-ms': String(Math.ceil(send.timeoutMs)),
      },
      signal: AbortSignal.timeout(Math.ceil(send.timeoutMs)),
    });
    const body = Buffer.from(await response.body.arrayBuffer());
    const headers = response.headers;
    const outcome = parseOutcome(headers['sycamoreyoke-outcome']);
    const isSuccess = outcome === Outcome.DONE && response.statusCode === 200;
    const isWhole = isSuccess && isWholeBody(body, headers, send.requestId);
    return {
      outcome,
      status: response.statusCode,
      retries: Number(headers['sycamoreyoke-retries'] ?? 0),
      isWhole,
      isForeign: isSuccess && !isWhole,
    };
  } catch {
    return UNANSWERED_RESULT;
  }
}

function parseOutcome(value: string | string[] | undefined): Outcome {
  return (
    Object.values(Outcome).find((outcome) => outcome === value) ??
    Outcome.UNKNOWN
  );
}

/**
 * True when the digest, the request id and the payload of a response match the
 * request. Throws when the body is not a JSON object.
 */
export function isWholeBody(
  body: Buffer,
  headers: Readonly<Record<string, string | string[] | undefined>>,
  requestId: string,
): boolean {
  const digest = createHash('sha256').update(body).digest('base64');
  if (headers['content-digest'] !== `sha-256=:${digest}:`) return false;
  if (headers['sycamoreyoke-request-id'] !== requestId) return false;
  return isBodyOfRequest(
    JSON.parse(body.toString()) as UpstreamBody,
    requestId,
  );
}
