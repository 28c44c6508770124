/** HTTP listeners of a sidecar. */
import type {RequestListener, Server} from 'node:http';
import {createServer} from 'node:http';
import type {Address} from '../types.js';

/** Bounds of a listener; those of clients follow the configuration. */
export interface ListenerBounds {
  readonly maxHeaderBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

const DEFAULT_BOUNDS: ListenerBounds = {
  maxHeaderBytes: 64 * 1024,
  headerTimeoutMs: 20_000,
  idleTimeoutMs: 60_000,
};
/** Connections that wait to be accepted; clients come in bursts. */
const BACKLOG = 1_024;

/** Options of all listeners. */
export const LISTENER_OPTIONS = {
  noDelay: true,
  keepAlive: false,
  maxHeaderSize: DEFAULT_BOUNDS.maxHeaderBytes,
  connectionsCheckingInterval: 2_000,
} as const;

/** Opens a listener. */
export function openListener(
  address: Address,
  handle: RequestListener,
): Promise<Server> {
  const server = createServer(LISTENER_OPTIONS, handle);
  return listen(server, address).then(() => server);
}

/** Binds a server to an address, with default bounds. */
export function listen(server: Server, {host, port}: Address): Promise<void> {
  applyBounds(server, DEFAULT_BOUNDS);
  server.requestTimeout = 0;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host, port, backlog: BACKLOG}, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

/** Applies bounds to the connections that arrive from now on. */
export function applyBounds(
  server: Server,
  {headerTimeoutMs, idleTimeoutMs}: Omit<ListenerBounds, 'maxHeaderBytes'>,
): void {
  server.headersTimeout = headerTimeoutMs;
  server.keepAliveTimeout = idleTimeoutMs;
}
