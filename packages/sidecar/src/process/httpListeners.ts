/** HTTP listeners of the sidecar. */
import type {RequestListener, Server} from 'node:http';
import {createServer} from 'node:http';
import type {Address} from '../types.js';

/** Limits of a listener; for the clients' one, the configuration sets them. */
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
/** Connections waiting to be accepted; clients connect in bursts. */
const BACKLOG = 1_024;

/** Options shared by all HTTP listeners. */
export const LISTENER_OPTIONS = {
  noDelay: true,
  keepAlive: false,
  maxHeaderSize: DEFAULT_BOUNDS.maxHeaderBytes,
  connectionsCheckingInterval: 2_000,
} as const;

/** Opens a listener at an address; rejects if it cannot be bound. */
export function openListener(
  address: Address,
  handle: RequestListener,
): Promise<Server> {
  const server = createServer(LISTENER_OPTIONS, handle);
  return listen(server, address).then(() => server);
}

/**
 * Binds a server to an address, with the default timeouts; rejects if it cannot
 * be bound.
 */
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

/** Sets the timeouts of the connections that arrive from now on. */
export function applyBounds(
  server: Server,
  {headerTimeoutMs, idleTimeoutMs}: Omit<ListenerBounds, 'maxHeaderBytes'>,
): void {
  server.headersTimeout = headerTimeoutMs;
  server.keepAliveTimeout = idleTimeoutMs;
}
