/** Handles the request of an upstream to be drained before it stops. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {NodeParts} from '../process/nodeParts.js';

const DRAIN_PATH = '/drain';

/** Whether the request on the local port is a drain request. */
export function isDrainRequest(request: IncomingMessage): boolean {
  return request.method === 'POST' && request.url === DRAIN_PATH;
}

/** Responds once the upstream has no requests in flight. */
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
