/** Sends a request to a node once and interprets the response. */
import type {Member} from 'sycamoreyoke/process/types';
import type {Reservation} from 'sycamoreyoke/request/retryLedger';
import {formatCallHeaders} from 'sycamoreyoke/request/headers';
import type {SendAnswer} from 'sycamoreyoke/request/outcome';
import {SendPhase, createRefusalAnswer} from 'sycamoreyoke/request/outcome';
import {checkResponse} from 'sycamoreyoke/request/responseCheck';
import type {Pin} from 'sycamoreyoke/request/types';
import {Outcome, RefusalReason} from 'sycamoreyoke/types';
import type {Dispatcher} from 'undici';
import type {CallRequest, CallerOptions} from '../types.js';

/** One send of a request to a member. */
export interface Send {
  readonly options: CallerOptions;
  readonly request: CallRequest;
  readonly requestId: string;
  readonly member: Member;
  readonly attempt: number;
  readonly timeoutMs: number;
  /** Share of the retry allowance that is granted to the node. */
  readonly reservation: Reservation;
  readonly pin?: Pin;
  readonly idempotencyKey?: string;
}

/** Result of a send. */
export interface SendResult {
  /** Absent when it is unknown whether the node ran the request. */
  readonly answer?: SendAnswer;
  /** HTTP status; 0 when there is no response. */
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Uint8Array;
  /** Retries used by the nodes; absent when the response was lost. */
  readonly retries?: number;
  readonly retryAfterMs?: number;
}

const EMPTY_BODY = new Uint8Array(0);

/** Sends a request once. Never rejects: errors become part of the result. */
export async function sendOnce(
  dispatcher: Dispatcher,
  send: Send,
): Promise<SendResult> {
  try {
    const response = await dispatcher.request({
      origin: `http://${send.member.address}:${send.member.publicPort}`,
      path: send.request.path ?? '/',
      method: send.request.method ?? 'GET',
      headers: {...send.request.headers, ...buildHeaders(send)},
      body: send.request.body ?? null,
      signal: AbortSignal.timeout(Math.max(1, Math.ceil(send.timeoutMs))),
    });
    const body = new Uint8Array(await response.body.arrayBuffer());
    return readResult(send, response.statusCode, response.headers, body);
  } catch (error) {
    return createFailedResult(error);
  }
}

function buildHeaders(send: Send): Record<string, string> {
  const {pin, idempotencyKey} = send;
  return formatCallHeaders({
    requestClass: send.request.requestClass,
    requestId: send.requestId,
    attempt: send.attempt,
    timeoutMs: Math.max(1, Math.floor(send.timeoutMs)),
    allowance: send.reservation.granted,
    caller: send.options.caller,
    token: send.options.token,
    ...(pin === undefined ? {} : {pin}),
    ...(idempotencyKey === undefined ? {} : {idempotencyKey}),
  });
}

type Headers = SendResult['headers'];

function readText(headers: Headers, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
}

function readNumber(headers: Headers, name: string): number | undefined {
  const text = readText(headers, name);
  return text !== undefined && /^\d{1,9}$/.test(text)
    ? Number(text)
    : undefined;
}

function readEnum<T extends string>(
  values: Readonly<Record<string, T>>,
  text: string | undefined,
): T | undefined {
  return Object.values(values).find((value) => value === text);
}

/**
 * Interprets a response. A response that is incomplete, belongs to another
 * request or has no outcome yields a result without an answer.
 */
function readResult(
  send: Send,
  status: number,
  headers: Headers,
  body: Uint8Array,
): SendResult {
  const contentLength = readText(headers, 'content-length');
  const contentDigest = readText(headers, 'content-digest');
  const findings = checkResponse({
    requestId: send.requestId,
    isEnded: true,
    body,
    echoedRequestId: readText(headers, 'sycamoreyoke-request-id') ?? '',
    ...(contentLength === undefined ? {} : {contentLength}),
    ...(contentDigest === undefined ? {} : {contentDigest}),
  });
  const outcome = readEnum(Outcome, readText(headers, 'sycamoreyoke-outcome'));
  if (findings.length > 0 || outcome === undefined) {
    return {status, headers, body: EMPTY_BODY};
  }
  const reason = readEnum(
    RefusalReason,
    readText(headers, 'sycamoreyoke-reason'),
  );
  const nextAttempt = readNumber(headers, 'sycamoreyoke-next-attempt');
  const retryAfterMs = readNumber(headers, 'sycamoreyoke-retry-after-ms');
  const answer: SendAnswer = {
    outcome,
    ...(reason === undefined ? {} : {reason}),
    ...(nextAttempt === undefined ? {} : {nextAttempt}),
  };
  return {
    answer,
    status,
    headers,
    body,
    retries: readNumber(headers, 'sycamoreyoke-retries') ?? 0,
    ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
  };
}

/** Codes of errors that occur before any byte of the request was written. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

function createFailedResult(error: unknown): SendResult {
  const code = (error as NodeJS.ErrnoException).code ?? '';
  const unanswered = {status: 0, headers: {}, body: EMPTY_BODY};
  if (!NOT_SENT_CODES.has(code)) return unanswered;
  const answer = createRefusalAnswer(
    RefusalReason.CONNECTION_LOST,
    SendPhase.BEFORE_DISPATCH,
  );
  return {...unanswered, answer, retries: 0};
}
