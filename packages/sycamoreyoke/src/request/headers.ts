/** Parses and formats the headers of calls and responses. */
import {z} from 'zod';
import type {Finding} from '../findings.js';
import type {HybridTime} from '../process/hybridClock.js';
import {Importance} from '../types.js';
import {
  HEADER_PREFIX,
  MAX_ALLOWANCE,
  MAX_ATTEMPT,
  MAX_REQUEST_ID_LENGTH,
  MAX_TIMEOUT_MS,
} from './constants.js';
import type {ResponseHeaders, CallHeaders, Pin} from './types.js';

/** Headers as node:http provides them. */
export type RawHeaders = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

const ID_PATTERN = new RegExp(`^[A-Za-z0-9_-]{1,${MAX_REQUEST_ID_LENGTH}}$`);
const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
const PIN_PATTERN = /^([A-Za-z0-9_-]{1,64})\.(\d{1,12})$/;
const DIGEST_PATTERN = /^sha-256=:[A-Za-z0-9+/]{43}=:$/;
const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,256})$/;
const ROOT_ID_PATTERN = /^[A-Za-z0-9_-]{1,64}\/[A-Za-z0-9_-]{1,64}$/;
const TIME_PATTERN = /^(\d{1,16})\.(\d{1,9})$/;
const WHOLE_NUMBER_PATTERN = /^\d{1,9}$/;

const wholeNumber = (minimum: number, maximum: number) =>
  z
    .string()
    .regex(
      WHOLE_NUMBER_PATTERN,
      `must be a whole number from ${minimum} to ${maximum}`,
    )
    .transform(Number)
    .refine(
      (value) => value >= minimum && value <= maximum,
      `must be a whole number from ${minimum} to ${maximum}`,
    );

const matching = (pattern: RegExp, description: string) =>
  z.string().regex(pattern, `must be ${description}`);

const callSchema = z.object({
  service: matching(NAME_PATTERN, 'a service name').optional(),
  class: matching(NAME_PATTERN, 'the name of a request class'),
  'request-id': matching(
    ID_PATTERN,
    `1 to ${MAX_REQUEST_ID_LENGTH} of A-Z a-z 0-9 _ -`,
  ).optional(),
  attempt: wholeNumber(0, MAX_ATTEMPT).optional(),
  'timeout-ms': wholeNumber(1, MAX_TIMEOUT_MS).optional(),
  allowance: wholeNumber(0, MAX_ALLOWANCE).optional(),
  pin: matching(PIN_PATTERN, '<incarnation>.<epoch>').optional(),
  caller: matching(NAME_PATTERN, 'a caller name').optional(),
  'root-id': matching(ROOT_ID_PATTERN, '<caller>/<request id>').optional(),
  'parent-id': matching(ID_PATTERN, 'an execution id').optional(),
  importance: wholeNumber(Importance.LOW, Importance.CRITICAL).optional(),
  time: matching(TIME_PATTERN, '<milliseconds>.<counter>').optional(),
  'idempotency-key': z.uuidv7('must be a UUID of version 7').optional(),
  authorization: matching(BEARER_PATTERN, 'Bearer and a token').optional(),
  'content-digest': matching(DIGEST_PATTERN, 'sha-256=:<base64>:').optional(),
});

const PREFIXED_HEADERS = [
  'service',
  'class',
  'request-id',
  'attempt',
  'timeout-ms',
  'allowance',
  'pin',
  'caller',
  'root-id',
  'parent-id',
  'importance',
  'time',
] as const;
const UNPREFIXED_HEADERS = [
  'idempotency-key',
  'authorization',
  'content-digest',
] as const;

/** Returns the name of a header on the wire. */
export function formatHeaderName(name: string): string {
  return (PREFIXED_HEADERS as readonly string[]).includes(name)
    ? `${HEADER_PREFIX}${name}`
    : name;
}

function collectKnownHeaders(raw: RawHeaders): Record<string, unknown> {
  const headers: Record<string, unknown> = {};
  for (const name of [...PREFIXED_HEADERS, ...UNPREFIXED_HEADERS]) {
    const value = raw[formatHeaderName(name)];
    if (value !== undefined) headers[name] = value;
  }
  return headers;
}

/** Parses a pin. Returns undefined if it is malformed. */
export function parsePin(text: string): Pin | undefined {
  const match = PIN_PATTERN.exec(text);
  if (!match?.[1] || !match[2]) return undefined;
  return {incarnation: match[1], epoch: Number(match[2])};
}

/** Formats a pin for the wire. */
export function formatPin(pin: Pin): string {
  return `${pin.incarnation}.${pin.epoch}`;
}

/** Parses a hybrid time. Returns undefined if it is malformed. */
export function parseHybridTime(text: string): HybridTime | undefined {
  const match = TIME_PATTERN.exec(text);
  if (!match) return undefined;
  return {wallMs: Number(match[1]), counter: Number(match[2])};
}

/** Formats a hybrid time for the wire. */
export function formatHybridTime(time: HybridTime): string {
  return `${time.wallMs}.${time.counter}`;
}

/** The parsed headers of a call, or the findings if they are invalid. */
export type CallHeadersResult =
  | {readonly headers: CallHeaders; readonly findings?: never}
  | {readonly headers?: never; readonly findings: readonly Finding[]};

/** Removes properties whose value is undefined. */
function removeUndefined<T extends object>(value: T): T {
  return Object.fromEntries(
    Object.entries(value).filter(([, entry]) => entry !== undefined),
  ) as T;
}

/** Parses the headers of a call. Reports all invalid headers at once. */
export function parseCallHeaders(raw: RawHeaders): CallHeadersResult {
  const result = callSchema.safeParse(collectKnownHeaders(raw));
  if (!result.success) {
    return {
      findings: result.error.issues.map((issue) => ({
        place: `header ${formatHeaderName(String(issue.path[0]))}`,
        message: issue.message,
      })),
    };
  }
  const data = result.data;
  const token =
    data.authorization && BEARER_PATTERN.exec(data.authorization)?.[1];
  return {
    headers: removeUndefined({
      service: data.service,
      requestClass: data.class,
      requestId: data['request-id'],
      attempt: data.attempt ?? 0,
      timeoutMs: data['timeout-ms'],
      allowance: data.allowance,
      pin: data.pin === undefined ? undefined : parsePin(data.pin),
      idempotencyKey: data['idempotency-key'],
      caller: data.caller,
      token,
      rootId: data['root-id'],
      parentId: data['parent-id'],
      importance: data.importance,
      time: data.time === undefined ? undefined : parseHybridTime(data.time),
      contentDigest: data['content-digest'],
    }) as CallHeaders,
  };
}

/** Formats the headers of a call for the wire. */
export function formatCallHeaders(call: CallHeaders): Record<string, string> {
  const values: Record<string, string | number | undefined> = {
    service: call.service,
    class: call.requestClass,
    'request-id': call.requestId,
    attempt: call.attempt,
    'timeout-ms': call.timeoutMs,
    allowance: call.allowance,
    pin: call.pin && formatPin(call.pin),
    'idempotency-key': call.idempotencyKey,
    caller: call.caller,
    authorization: call.token && `Bearer ${call.token}`,
    'root-id': call.rootId,
    'parent-id': call.parentId,
    importance: call.importance,
    time: call.time && formatHybridTime(call.time),
    'content-digest': call.contentDigest,
  };
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(values)) {
    if (value !== undefined) headers[formatHeaderName(name)] = String(value);
  }
  return headers;
}

/** Formats the headers that a node adds to a response. */
export function formatResponseHeaders(
  response: ResponseHeaders,
): Record<string, string> {
  const values: Record<string, string | number | undefined> = {
    'sycamoreyoke-outcome': response.outcome,
    'sycamoreyoke-request-id': response.requestId,
    'sycamoreyoke-reason': response.reason,
    'sycamoreyoke-retries': response.retries,
    'sycamoreyoke-level': response.level,
    'sycamoreyoke-next-attempt': response.nextAttempt,
    'retry-after':
      response.retryAfterMs === undefined
        ? undefined
        : Math.max(1, Math.ceil(response.retryAfterMs / 1000)),
    'sycamoreyoke-retry-after-ms': response.retryAfterMs,
    'content-digest': response.contentDigest,
    'sycamoreyoke-time': response.time && formatHybridTime(response.time),
  };
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(values)) {
    if (value !== undefined) headers[name] = String(value);
  }
  return headers;
}
