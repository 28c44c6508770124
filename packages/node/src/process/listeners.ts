import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {Server as NetServer} from 'node:net';
import {MAX_HEADER_BYTES} from 'sycamoreyoke/request/constants';

/** Interval at which a closing listener looks at its connections. */
const CLOSE_POLL_MS = 20;
/** Time in which the other side closes an idle connection as well. */
const IDLE_CLOSE_MS = 1_000;
/** Time for clients to take the responses that were written for them. */
const CLOSE_LIMIT_MS = 10_000;

/** A connection and its requests that are not answered to the last byte. */
interface Connection {
  readonly socket: Socket;
  exchanges: number;
}

const connectionsByServer = new WeakMap<Server, Map<Socket, Connection>>();

/** Handles one exchange; a rejection ends the connection. */
export type ExchangeHandler = (
  request: IncomingMessage,
  exchange: ServerResponse,
) => Promise<void>;

/** Opens an HTTP/1.1 listener for calls. */
export async function openCallListener(
  handler: ExchangeHandler,
  port: number,
  address: string,
): Promise<Server> {
  const server = createServer(
    {maxHeaderSize: MAX_HEADER_BYTES, noDelay: true},
    (request, exchange) => {
      handler(request, exchange).catch(() => exchange.destroy());
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
    connections.set(socket, {socket, exchanges: 0});
    socket.once('close', () => connections.delete(socket));
  });
  server.on(
    'request',
    ({socket}: IncomingMessage, exchange: ServerResponse) => {
      const connection = connections.get(socket);
      if (!connection) return;
      connection.exchanges += 1;
      exchange.once('close', () => {
        connection.exchanges -= 1;
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
  limitMs = CLOSE_LIMIT_MS,
): Promise<void> {
  const startMs = performance.now();
  const closeIdle = () => {
    const connections = connectionsByServer.get(server)?.values() ?? [];
    const waitedMs = performance.now() - startMs;
    for (const {socket, exchanges} of connections) {
      const isIdle = exchanges === 0;
      if (isIdle) socket.end();
      const isOver = waitedMs >= (isIdle ? IDLE_CLOSE_MS : limitMs);
      if (isOver) socket.destroy();
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
