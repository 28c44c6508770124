/** Serves the directory: the members of the service of a request class. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Member} from 'sycamoreyoke/process/types';
import {MemberState} from 'sycamoreyoke/process/types';
import {computePinEpoch} from 'sycamoreyoke/request/pinEpoch';
import type {RepeatGuard} from 'sycamoreyoke/types';
import type {NodeParts} from '../process/nodeParts.js';
import {checkCaller} from './callerCheck.js';
import {sendAnswer} from './httpExchange.js';
import {findClass, readHeaders} from './incomingCall.js';
import {RefusedRequestError} from './refusal.js';

/** Path of the directory on the public and the local port. */
export const DIRECTORY_PATH = '/.well-known/sycamoreyoke/directory';

/** What a caller needs to send requests of a class directly to members. */
export interface DirectoryEntry {
  readonly service: string;
  readonly idempotent: boolean;
  readonly guard: RepeatGuard;
  readonly timeoutMs: number;
  /** Maximum retries of one request across the whole call chain. */
  readonly retries: number;
  readonly backoffBaseMs: number;
  readonly backoffMaxMs: number;
  readonly members: readonly Member[];
}

/** Handles a directory look-up for the class named in the request headers. */
export async function handleDirectory(
  parts: NodeParts,
  request: IncomingMessage,
  response: ServerResponse,
  isLocal: boolean,
): Promise<void> {
  request.resume();
  try {
    const entry = await findEntry(parts, request, isLocal);
    const body = Buffer.from(`${JSON.stringify(entry)}\n`);
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': body.length,
    });
    response.end(body);
  } catch (error) {
    if (!(error instanceof RefusedRequestError)) throw error;
    const addedHeaders = {requestId: 'none', retries: 0};
    sendAnswer(response, error.answer, addedHeaders, error.message);
  }
}

async function findEntry(
  parts: NodeParts,
  request: IncomingMessage,
  isLocal: boolean,
): Promise<DirectoryEntry> {
  const headers = readHeaders(request);
  if (!isLocal) {
    checkCaller(parts.configuration.get(), headers, parts.tokenDigests);
  }
  const {definition, retryLimit} = findClass(parts, headers);
  await parts.subscribe(definition.service);
  return {
    service: definition.service,
    idempotent: definition.idempotent,
    guard: definition.guard,
    timeoutMs: definition.timeoutMs,
    retries: retryLimit.perRequest,
    backoffBaseMs: retryLimit.backoffBaseMs,
    backoffMaxMs: retryLimit.backoffMaxMs,
    members: listMembers(parts, definition.service),
  };
}

/** Lists the active members, each with its current pin epoch. */
function listMembers(parts: NodeParts, service: string): Member[] {
  const nowMs = parts.clock.readMs();
  return parts.router.list(service).flatMap((member) => {
    const epoch = computePinEpoch(member, nowMs);
    if (member.state !== MemberState.ACTIVE || epoch === undefined) return [];
    return [{...member, epoch}];
  });
}
