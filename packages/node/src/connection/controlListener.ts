/** HTTP/2 listener for the control messages of other nodes. */
import type {Http2Server, ServerHttp2Session} from 'node:http2';
import {createServer} from 'node:http2';
import type {Socket} from 'node:net';
import type {ServiceImpl} from '@connectrpc/connect';
import {Code, ConnectError} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {ControlService} from '../gen/sycamoreyoke/control/v1/control_pb.js';
import type {SocketBytes} from './socketBytes.js';

/** Handlers of all methods of the control service. */
export type ControlHandlers = ServiceImpl<typeof ControlService>;

/** Maximum size of a control message; a configuration snapshot fits. */
const MAX_MESSAGE_BYTES = 32 * 1024 * 1024;

/** A running control listener. */
export interface ControlListener {
  readonly server: Http2Server;
  /** Stops listening and closes each session once its streams have ended. */
  close(): Promise<void>;
}

/**
 * Opens the control listener; rejects when it cannot listen. `bytes` counts the
 * traffic of its sockets; `reportMalformed` receives session errors.
 */
export async function openControlListener(
  handlers: ControlHandlers,
  port: number,
  address: string,
  bytes: SocketBytes,
  reportMalformed: (detail: string) => void,
): Promise<ControlListener> {
  const sessions = new Set<ServerHttp2Session>();
  const server = createServer(
    connectNodeAdapter({
      routes: (router) => router.service(ControlService, handlers),
      readMaxBytes: MAX_MESSAGE_BYTES,
      grpc: false,
      grpcWeb: false,
    }),
  );
  server.on('connection', (socket: Socket) => bytes.add(socket));
  server.on('session', (session: ServerHttp2Session) => {
    sessions.add(session);
    session.once('close', () => sessions.delete(session));
    session.on('error', (error: Error) => reportMalformed(error.message));
  });
  server.on('sessionError', (error: Error) => reportMalformed(error.message));
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, resolve);
  });
  const close = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      for (const session of sessions) session.close();
    });
  return {server, close};
}

/** Creates handlers that answer UNAVAILABLE until the node is built. */
export function buildDeferredHandlers(nodeHolder: {
  readonly node?: {readonly controlHandlers: ControlHandlers};
}): ControlHandlers {
  const getHandlers = (): ControlHandlers => {
    if (nodeHolder.node) return nodeHolder.node.controlHandlers;
    throw new ConnectError('the node is starting', Code.Unavailable);
  };
  return {
    probe: (request, context) => getHandlers().probe(request, context),
    indirectProbe: (request, context) =>
      getHandlers().indirectProbe(request, context),
    listMembers: (request, context) =>
      getHandlers().listMembers(request, context),
    announce: (request, context) => getHandlers().announce(request, context),
    getConfiguration: (request, context) =>
      getHandlers().getConfiguration(request, context),
    announceVersion: (request, context) =>
      getHandlers().announceVersion(request, context),
    submitClaims: (request, context) =>
      getHandlers().submitClaims(request, context),
    askOutcome: (request, context) =>
      getHandlers().askOutcome(request, context),
  };
}
