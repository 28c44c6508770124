import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {Server as NetServer} from 'node:net';
import {MAX_HEADER_BYTES} from 'sycamoreyoke/request/constants';

/** Interval at which a closing listener looks at its connections. */
const CLOSE_POLL_MS = 20;
/** Time in which the other side closes an idle connection as well. */
const MAX_IDLE_CLOSE_MS = 1_000;
/** Time for clients to take the responses that were written for them. */
const MAX_CLOSE_MS = 10_000;

/** A connection and its requests that are not answered to the last byte. */
interface Connection {
  readonly socket: Socket;
  unfinishedResponses: number;
}

const connectionsByServer = new WeakMap<Server, Map<Socket, Connection>>();

/** Handles one exchange; a rejection ends the connection. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Opens an HTTP/1.1 listener for calls. */
export async function openCallListener(
  handler: RequestHandler,
  port: number,
  address: string,
): Promise<Server> {
  const server = createServer(
    {maxHeaderSize: MAX_HEADER_BYTES, noDelay: true},
    (request, response) => {
      handler(request, response).catch(() => response.destroy());
    },
  );
  watchConnections(server);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, resolve);
  });
  return server;
}

/** Port that a listener was given. */
export function getPort(server: Server): number {
  return (server.address() as AddressInfo).port;
}

/** Follows the connections of a server, so that it can be closed in order. */
export function watchConnections(server: Server): void {
  const connections = new Map<Socket, Connection>();
  connectionsByServer.set(server, connections);
  server.on('connection', (socket: Socket) => {
    connections.set(socket, {socket, unfinishedResponses: 0});
    socket.once('close', () => connections.delete(socket));
  });
  server.on(
    'request',
    ({socket}: IncomingMessage, response: ServerResponse) => {
      const connection = connections.get(socket);
      if (!connection) return;
      connection.unfinishedResponses += 1;
      response.once('close', () => {
        connection.unfinishedResponses -= 1;
      });
    },
  );
}

/**
 * Stops accepting, and resolves when all exchanges have ended and the clients
 * have taken their responses; `limitMs` bounds the wait for slow ones.
 */
export async function closeListener(
  server: Server,
  limitMs = MAX_CLOSE_MS,
): Promise<void> {
  const startMs = performance.now();
  const closeIdle = () => {
    const connections = connectionsByServer.get(server)?.values() ?? [];
    const waitedMs = performance.now() - startMs;
    for (const {socket, unfinishedResponses} of connections) {
      const isIdle = unfinishedResponses === 0;
      if (isIdle) socket.end();
      const isTimedOut = waitedMs >= (isIdle ? MAX_IDLE_CLOSE_MS : limitMs);
      if (isTimedOut) socket.destroy();
    }
  };
  const timer = setInterval(closeIdle, CLOSE_POLL_MS);
  await new Promise<void>((resolve) => {
    // The close method of an HTTP server also destroys connections whose
    // response is still in the buffer of the socket.
    NetServer.prototype.close.call(server, () => resolve());
    closeIdle();
  });
  clearInterval(timer);
}
