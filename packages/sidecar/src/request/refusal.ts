/** Renders the answers that the node gives itself. */
import type {Random} from 'sycamoreyoke/random';
import type {ClientAnswer} from '../connection/clientExchange.js';
import {BodyFault} from './requestBody.js';

/** Statuses of the node's own answers. */
export enum Status {
  BAD_REQUEST = 400,
  UNAUTHORIZED = 401,
  NOT_FOUND = 404,
  TIMEOUT = 408,
  TOO_LARGE = 413,
  TOO_MANY_REQUESTS = 429,
  BAD_GATEWAY = 502,
  UNAVAILABLE = 503,
  GATEWAY_TIMEOUT = 504,
}

/** Jitter of Retry-After, so that refused clients do not return together. */
const RETRY_JITTER = 0.5;
/** Retry delay advised to clients for whose body there is no memory. */
const BODY_RETRY_MS = 1_000;

/** How a request is refused whose body was not read. */
export interface BodyRefusal {
  readonly status: Status;
  readonly reason: string;
  readonly retryMs?: number;
}

/** The refusals for all faults of a body; none of the requests has run. */
export const BODY_REFUSALS: Readonly<Record<BodyFault, BodyRefusal>> = {
  [BodyFault.TOO_LARGE]: {
    status: Status.TOO_LARGE,
    reason: 'body is too large',
  },
  [BodyFault.LATE]: {status: Status.TIMEOUT, reason: 'body is too late'},
  [BodyFault.NO_MEMORY]: {
    status: Status.UNAVAILABLE,
    reason: 'no memory for the body',
    retryMs: BODY_RETRY_MS,
  },
};

/** Builds the answer of a refusal. */
export function buildRefusal(
  status: Status,
  message: string,
  retryMs: number | undefined,
  random: Random,
): ClientAnswer {
  const body = Buffer.from(`${JSON.stringify({error: message})}\n`);
  const headers = ['Content-Type', 'application/json'];
  if (retryMs !== undefined) {
    const spreadMs = retryMs * (1 + RETRY_JITTER * random());
    headers.push('Retry-After', (spreadMs / 1000).toFixed(3));
  }
  return {status, headers, body};
}
