import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {MAX_HEADER_BYTES} from 'sycamoreyoke/request/constants';

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

/** Stops accepting, and resolves when all exchanges have ended. */
export function closeListener(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
