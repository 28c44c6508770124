/** Answers exchanges with a response of an upstream or with a refusal. */
import type {
  ClientAnswer,
  ClientExchange,
} from '../connection/clientExchange.js';
import {runAfterNextRead} from '../process/eventLoop.js';
import type {CallResult} from '../types.js';
import {HOP_BY_HOP_HEADERS} from './hopByHopHeaders.js';
import {hasBody, readAnnouncedBytes} from './requestBody.js';

/** Limit of what is read of a refused request to keep its connection. */
const MAX_DISCARDED_BYTES = 64 * 1024;

/** Forwards the response of an upstream without its hop-by-hop headers. */
export function forwardResponse(
  exchange: ClientExchange,
  {status, headers, body}: CallResult,
): void {
  const forwarded: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (HOP_BY_HOP_HEADERS.has(name.toLowerCase())) continue;
    forwarded.push(name, headers[index + 1] ?? '');
  }
  exchange.answer({status, headers: forwarded, body});
}

/** Refuses a request, whose body may not have been read. */
export function refuseExchange(
  exchange: ClientExchange,
  refusal: ClientAnswer,
): void {
  const {request} = exchange;
  const endsConnection = hasBody(request.rawHeaders) && !request.complete;
  const answer = {...refusal, endsConnection};
  if (!endsConnection) {
    exchange.answer(answer);
    return;
  }
  // What follows is discarded. A small body has mostly arrived with its head;
  // once it has been read, the connection can be kept.
  request.resume();
  const announcedBytes = readAnnouncedBytes(request.rawHeaders) ?? Infinity;
  if (announcedBytes > MAX_DISCARDED_BYTES) exchange.answer(answer);
  else runAfterNextRead(() => exchange.answer(answer));
}
