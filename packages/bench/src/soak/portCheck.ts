/** Tells a closed port from one that accepts connections. */
import {connect} from 'node:net';

const CONNECT_TIMEOUT_MS = 1_000;

/**
 * True unless the connection is refused. A refused connection carries no
 * request, whereas the plain sender reports it like a lost response.
 */
export function checkPort(url: string): Promise<boolean> {
  const {hostname, port} = new URL(url);
  return new Promise((resolve) => {
    const socket = connect({
      host: hostname,
      port: Number(port),
      timeout: CONNECT_TIMEOUT_MS,
    });
    const finish = (isOpen: boolean) => {
      socket.destroy();
      resolve(isOpen);
    };
    socket.once('connect', () => finish(true));
    socket.once('timeout', () => finish(true));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      finish(error.code !== 'ECONNREFUSED'),
    );
  });
}
