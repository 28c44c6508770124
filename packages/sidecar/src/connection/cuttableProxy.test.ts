/** A proxy between two nodes, for tests that lose their links. */
import type {Server, Socket} from 'node:net';
import {connect} from 'node:net';
import type {Address} from '../types.js';
import {openRawServer} from './linkHarness.test.js';

/** A proxy whose open connections a test resets or silences. */
export interface CuttableProxy {
  readonly address: Address;
  readonly server: Server;
  /** Resets all connections. */
  cut(): void;
  /** Forwards nothing more on the open connections, in either direction. */
  silence(): void;
  /** Delays what the node sends. */
  setDelay(delayMs: number): void;
  /** Resets the node's side; the origin learns of it by release(). */
  cutNode(): void;
  /** Resets the origin's side of the connections that cutNode() has left. */
  release(): void;
  /** Resets that many new connections once the node has answered on them. */
  resetNext(connections: number): void;
}

export async function openCuttableProxy(
  target: Address,
): Promise<CuttableProxy> {
  const pairs: Array<readonly [Socket, Socket]> = [];
  const held: Socket[] = [];
  let delayMs = 0;
  let resets = 0;
  const {address, server} = await openRawServer((clientSocket) => {
    const targetSocket = connect(target);
    const isReset = resets > 0;
    if (isReset) resets -= 1;
    clientSocket.pipe(targetSocket);
    targetSocket.on('data', (chunk) => {
      if (isReset) {
        targetSocket.resetAndDestroy();
        clientSocket.resetAndDestroy();
      } else if (delayMs === 0) clientSocket.write(chunk);
      else setTimeout(() => clientSocket.write(chunk), delayMs);
    });
    clientSocket.on('error', () => targetSocket.destroy());
    targetSocket.on('error', () => clientSocket.destroy());
    pairs.push([clientSocket, targetSocket]);
  });
  return {
    address,
    server,
    setDelay: (changedMs) => {
      delayMs = changedMs;
    },
    cutNode: () => {
      for (const [clientSocket, targetSocket] of pairs.splice(0)) {
        clientSocket.unpipe();
        targetSocket.resetAndDestroy();
        held.push(clientSocket);
      }
    },
    release: () => {
      for (const socket of held.splice(0)) socket.resetAndDestroy();
    },
    resetNext: (connections) => {
      resets = connections;
    },
    cut: () => {
      for (const socket of pairs.splice(0).flat()) socket.resetAndDestroy();
    },
    silence: () => {
      for (const [clientSocket, targetSocket] of pairs.splice(0)) {
        for (const socket of [clientSocket, targetSocket]) {
          socket.unpipe();
          socket.removeAllListeners('data');
          socket.removeAllListeners('end');
          socket.resume();
        }
      }
    },
  };
}
