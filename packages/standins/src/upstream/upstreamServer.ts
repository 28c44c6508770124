/** Stand-in of an upstream: slots, service time and calls to other services. */
import {createHash} from 'node:crypto';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {request as sendRequest} from 'undici';

/** Behaviour of an upstream stand-in. */
export interface UpstreamOptions {
  readonly name: string;
  readonly slots: number;
  readonly serviceTimeMs: number;
  /** URL of the local port of the node beside it. */
  readonly egress?: string;
  /** Request classes that it calls for each request that it runs. */
  readonly calls: readonly string[];
}

/** Opens an upstream stand-in. */
export async function startUpstream(
  options: UpstreamOptions,
  port: number,
  address: string,
): Promise<Server> {
  let running = 0;
  const handle = async (request: IncomingMessage, response: ServerResponse) => {
    if (running >= options.slots) {
      response.writeHead(503).end();
      return;
    }
    running += 1;
    try {
      await wait(options.serviceTimeMs);
      const below = await sendBelow(options, request);
      const id = String(request.headers['sycamoreyoke-request-id'] ?? '');
      sendAnswer(response, `${JSON.stringify({by: options.name, id, below})}`);
    } finally {
      running -= 1;
    }
  };
  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve) => server.listen(port, address, resolve));
  return server;
}

async function sendBelow(
  options: UpstreamOptions,
  request: IncomingMessage,
): Promise<unknown[]> {
  if (!options.egress) return [];
  const id = String(request.headers['sycamoreyoke-request-id'] ?? '');
  const below: unknown[] = [];
  for (const [index, requestClass] of options.calls.entries()) {
    const response = await sendRequest(`${options.egress}/`, {
      headers: {
        'sycamoreyoke-class': requestClass,
        'sycamoreyoke-request-id': `${id.slice(0, 60)}-${index}`,
        'sycamoreyoke-parent-id': id,
      },
    });
    below.push(await response.body.json());
  }
  return below;
}

function sendAnswer(response: ServerResponse, text: string): void {
  const body = Buffer.from(text);
  const digest = createHash('sha256').update(body).digest('base64');
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': body.length,
    'content-digest': `sha-256=:${digest}:`,
  });
  response.end(body);
}
