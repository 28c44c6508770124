/** Reads and writes the headers of calls and responses. */
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

/** Raw headers as node:http gives them. */
export type RawHeaders = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

const ID = new RegExp(`^[A-Za-z0-9_-]{1,${MAX_REQUEST_ID_LENGTH}}$`);
const NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;
const PIN = /^([A-Za-z0-9_-]{1,64})\.(\d{1,12})$/;
const DIGEST = /^sha-256=:[A-Za-z0-9+/]{43}=:$/;
const BEARER = /^Bearer ([\x21-\x7e]{1,256})$/;
const ROOT_ID = /^[A-Za-z0-9_-]{1,64}\/[A-Za-z0-9_-]{1,64}$/;
const TIME = /^(\d{1,16})\.(\d{1,9})$/;
const WHOLE_NUMBER = /^\d{1,9}$/;

const wholeNumber = (least: number, most: number) =>
  z
    .string()
    .regex(WHOLE_NUMBER, `must be a whole number from ${least} to ${most}`)
    .transform(Number)
    .refine(
      (value) => value >= least && value <= most,
      `must be a whole number from ${least} to ${most}`,
    );

const matching = (pattern: RegExp, what: string) =>
  z.string().regex(pattern, `must be ${what}`);

const callSchema = z.object({
  service: matching(NAME, 'a service name').optional(),
  class: matching(NAME, 'the name of a request class'),
  'request-id': matching(
    ID,
    `1 to ${MAX_REQUEST_ID_LENGTH} of A-Z a-z 0-9 _ -`,
  ).optional(),
  attempt: wholeNumber(0, MAX_ATTEMPT).optional(),
  'timeout-ms': wholeNumber(1, MAX_TIMEOUT_MS).optional(),
  allowance: wholeNumber(0, MAX_ALLOWANCE).optional(),
  pin: matching(PIN, '<incarnation>.<epoch>').optional(),
  caller: matching(NAME, 'a caller name').optional(),
  'root-id': matching(ROOT_ID, '<caller>/<request id>').optional(),
  'parent-id': matching(ID, 'an execution id').optional(),
  importance: wholeNumber(Importance.LOW, Importance.CRITICAL).optional(),
  time: matching(TIME, '<milliseconds>.<counter>').optional(),
  'idempotency-key': z.uuidv7('must be a UUID of version 7').optional(),
  authorization: matching(BEARER, 'Bearer and a token').optional(),
  'content-digest': matching(DIGEST, 'sha-256=:<base64>:').optional(),
});

const PREFIXED = [
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
const PLAIN = ['idempotency-key', 'authorization', 'content-digest'] as const;

/** Name on the wire of a header of the project. */
export function formatHeaderName(name: string): string {
  return (PREFIXED as readonly string[]).includes(name)
    ? `${HEADER_PREFIX}${name}`
    : name;
}

function collectRaw(raw: RawHeaders): Record<string, unknown> {
  const collected: Record<string, unknown> = {};
  for (const name of [...PREFIXED, ...PLAIN]) {
    const value = raw[formatHeaderName(name)];
    if (value !== undefined) collected[name] = value;
  }
  return collected;
}

/** Splits a pin that the schema has accepted. */
export function parsePin(text: string): Pin | undefined {
  const parts = PIN.exec(text);
  if (!parts?.[1] || !parts[2]) return undefined;
  return {incarnation: parts[1], epoch: Number(parts[2])};
}

/** Renders a pin for the wire. */
export function formatPin(pin: Pin): string {
  return `${pin.incarnation}.${pin.epoch}`;
}

/** Splits a hybrid time. */
export function parseTime(text: string): HybridTime | undefined {
  const parts = TIME.exec(text);
  if (!parts) return undefined;
  return {wallMs: Number(parts[1]), counter: Number(parts[2])};
}

/** Renders a hybrid time for the wire. */
export function formatTime(time: HybridTime): string {
  return `${time.wallMs}.${time.counter}`;
}

/** Result of reading the headers of a call. */
export type CallHeadersResult =
  | {readonly headers: CallHeaders; readonly findings?: never}
  | {readonly headers?: never; readonly findings: readonly Finding[]};

/** Removes properties without a value. */
function removeUndefined<T extends object>(value: T): T {
  return Object.fromEntries(
    Object.entries(value).filter(([, entry]) => entry !== undefined),
  ) as T;
}

/** Checks all headers of a call at once and reports every fault. */
export function parseCallHeaders(raw: RawHeaders): CallHeadersResult {
  const result = callSchema.safeParse(collectRaw(raw));
  if (!result.success) {
    return {
      findings: result.error.issues.map((issue) => ({
        place: `header ${formatHeaderName(String(issue.path[0]))}`,
        message: issue.message,
      })),
    };
  }
  const data = result.data;
  const token = data.authorization && BEARER.exec(data.authorization)?.[1];
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
      time: data.time === undefined ? undefined : parseTime(data.time),
      contentDigest: data['content-digest'],
    }) as CallHeaders,
  };
}

/** Renders the headers of a call for the wire. */
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
    time: call.time && formatTime(call.time),
    'content-digest': call.contentDigest,
  };
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(values)) {
    if (value !== undefined) headers[formatHeaderName(name)] = String(value);
  }
  return headers;
}

/** Renders what a node adds to a response. */
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
    'sycamoreyoke-time': response.time && formatTime(response.time),
  };
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(values)) {
    if (value !== undefined) headers[name] = String(value);
  }
  return headers;
}
