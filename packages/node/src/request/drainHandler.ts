/** The upstream asks its node to let it leave. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {NodeParts} from '../process/nodeParts.js';

const DRAIN_PATH = '/drain';

/** True for the drain call of the local port. */
export function isDrainRequest(request: IncomingMessage): boolean {
  return request.method === 'POST' && request.url === DRAIN_PATH;
}

/** Answers once the upstream runs nothing any more. */
export async function handleDrain(
  parts: NodeParts,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  request.resume();
  await parts.drain.drainUpstream();
  response.writeHead(200, {'content-type': 'application/json'});
  response.end('{"drained":true}\n');
}
