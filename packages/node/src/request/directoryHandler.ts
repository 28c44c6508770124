/** Tells callers the members of the service that runs a request class. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Member} from 'sycamoreyoke/process/types';
import {MemberState} from 'sycamoreyoke/process/types';
import type {RepeatGuard} from 'sycamoreyoke/types';
import type {NodeParts} from '../process/nodeParts.js';
import {checkCaller} from './callerCheck.js';
import {findClass, readHeaders} from './incomingCall.js';

/** Path of the directory on the public and the local port. */
export const DIRECTORY_PATH = '/.well-known/sycamoreyoke/directory';

/** What a caller needs to send requests of a class itself. */
export interface DirectoryEntry {
  readonly service: string;
  readonly idempotent: boolean;
  readonly guard: RepeatGuard;
  readonly timeoutMs: number;
  /** Retries for one request across the whole call chain. */
  readonly retries: number;
  readonly backoffBaseMs: number;
  readonly backoffMaxMs: number;
  readonly members: readonly Member[];
}

/** Answers a look-up; the class is named by its header. */
export async function handleDirectory(
  parts: NodeParts,
  request: IncomingMessage,
  exchange: ServerResponse,
  isLocal: boolean,
): Promise<void> {
  request.resume();
  const headers = readHeaders(request);
  if (!isLocal) {
    checkCaller(parts.configuration.get(), headers, parts.tokenDigests);
  }
  const {definition, retryLimit} = findClass(parts, headers);
  await parts.subscribe(definition.service);
  const entry: DirectoryEntry = {
    service: definition.service,
    idempotent: definition.idempotent,
    guard: definition.guard,
    timeoutMs: definition.timeoutMs,
    retries: retryLimit.perRequest,
    backoffBaseMs: retryLimit.backoffBaseMs,
    backoffMaxMs: retryLimit.backoffMaxMs,
    members: parts.router
      .list(definition.service)
      .filter(({state}) => state === MemberState.ACTIVE),
  };
  const body = Buffer.from(`${JSON.stringify(entry)}\n`);
  exchange.writeHead(200, {
    'content-type': 'application/json',
    'content-length': body.length,
  });
  exchange.end(body);
}
