/** Fields of a call in a frame. */
import {Importance} from 'sycamoreyoke/types';
import type {HeaderList, OutgoingCall} from '../types.js';
import {INFERRED_ACCOUNT_REVISION} from './frame.js';
import {
  readBytes,
  readDelay,
  readFlag,
  readHeaders,
  readList,
  readMember,
  readName,
  readText,
} from './frameFields.js';
import type {LargeBody} from './frameParts.js';
import {buildBody} from './frameParts.js';

const IMPORTANCES: ReadonlySet<Importance> = new Set(
  Object.values(Importance).filter((value) => typeof value === 'number'),
);

type CallFields = readonly [
  requestId: string,
  service: string,
  callerService: string,
  kind: string,
  method: string,
  path: string,
  headers: HeaderList,
  body: Uint8Array | LargeBody,
  leftMs: number,
  usefulMs: number,
  importance: Importance,
  isIdempotent: boolean,
  /** Absent in calls of nodes that know no accounts. */
  account?: string,
  /** Whether the account was inferred; absent if the request has its key. */
  isInferred?: boolean,
];

/** Builds the fields of a call. */
export function buildCall(call: OutgoingCall): CallFields {
  const {account, inferredAccount} = call;
  const fields = [
    call.requestId,
    call.service,
    call.callerService,
    call.kind,
    call.method,
    call.path,
    call.headers,
    buildBody(call.body),
    Math.round(call.leftMs),
    Math.round(call.usefulMs),
    call.importance,
    call.isIdempotent,
  ] as const;
  if (account !== undefined) return [...fields, account];
  return inferredAccount === undefined
    ? fields
    : [...fields, inferredAccount, true];
}

/** Reads the fields of a call; throws a FrameError if one is malformed. */
export function readCall(value: unknown): OutgoingCall {
  const [requestId, service, callerService, kind, method, path, ...rest] =
    readList(value);
  const [headers, body, leftMs, usefulMs, importance, ...optional] = rest;
  const [isIdempotent, account, isInferred] = optional;
  const name = account === undefined ? undefined : readName(account);
  return {
    requestId: readText(requestId),
    service: readText(service),
    callerService: readText(callerService),
    kind: readText(kind),
    method: readName(method),
    path: readText(path),
    headers: readHeaders(headers),
    body: readBytes(body),
    leftMs: readDelay(leftMs),
    usefulMs: readDelay(usefulMs),
    importance: readMember(IMPORTANCES, importance),
    isIdempotent: readFlag(isIdempotent),
    ...(isInferred === undefined || !readFlag(isInferred)
      ? {account: name}
      : {account: undefined, inferredAccount: name}),
  };
}

/** Leaves out of a call what a node of an earlier revision would misuse. */
export function narrowCall(
  call: OutgoingCall,
  peerRevision: number,
): OutgoingCall {
  return peerRevision >= INFERRED_ACCOUNT_REVISION
    ? call
    : {...call, inferredAccount: undefined};
}
