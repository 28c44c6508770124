import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {Server as NetServer} from 'node:net';
import {MAX_HEADER_BYTES} from 'sycamoreyoke/request/constants';

/** Interval at which a closing listener checks its connections. */
const CLOSE_POLL_MS = 20;
/** Time for the client to close its side of an idle connection. */
const MAX_IDLE_CLOSE_MS = 1_000;
/** Time for clients to read the responses written to them. */
const MAX_CLOSE_MS = 10_000;

/** A connection and the number of its responses not sent completely. */
interface Connection {
  readonly socket: Socket;
  unfinishedResponses: number;
}

const connectionsByServer = new WeakMap<Server, Map<Socket, Connection>>();

/** Handles one request; when it rejects, the connection is destroyed. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Opens an HTTP/1.1 listener for calls; rejects when it cannot listen. */
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

/** Port on which a server listens. */
export function getPort(server: Server): number {
  return (server.address() as AddressInfo).port;
}

/** Tracks the connections of a server, as closeListener requires. */
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
 * Stops accepting connections. Resolves when all requests have been answered
 * and the clients have read their responses; connections that are still busy
 * after `limitMs` are destroyed.
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
    // http.Server.close would also destroy connections whose response is still
    // in the socket buffer, so call the method of net.Server.
    NetServer.prototype.close.call(server, () => resolve());
    closeIdle();
  });
  clearInterval(timer);
}
