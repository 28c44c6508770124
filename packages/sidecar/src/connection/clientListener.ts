/** The listener for clients and for calls of the upstream. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {ListenerBounds} from '../process/httpListeners.js';
import {
  LISTENER_OPTIONS,
  applyBounds,
  listen,
} from '../process/httpListeners.js';
import type {Address} from '../types.js';
import type {ClientConnectionParts} from './clientConnection.js';
import {ClientConnection} from './clientConnection.js';
import type {ClientExchange} from './clientExchange.js';

export type ExchangeHandler = (exchange: ClientExchange) => void;

/** An HTTP server whose connections end by themselves. */
class ClientServer extends Server {
  /**
   * Called by close(). The library takes a connection for idle as soon as its
   * response is buffered, so it would cut one that the client still reads.
   */
  override closeIdleConnections(): void {
    // Connections are ended by the listener.
  }
}

/** Owns the connections of clients. */
export class ClientListener {
  private readonly server: Server;
  private readonly connections = new Map<Socket, ClientConnection>();

  constructor(
    private readonly parts: ClientConnectionParts,
    private readonly handle: ExchangeHandler,
  ) {
    this.server = new ClientServer(LISTENER_OPTIONS);
    this.server.on('connection', (socket: Socket) => this.add(socket));
    this.server.on('request', (request, response) =>
      this.accept(request, response),
    );
    this.server.on('timeout', (socket: Socket) =>
      this.connections.get(socket)?.endIfIdle(),
    );
    this.server.on('clientError', (error, socket) =>
      this.connections.get(socket as Socket)?.handleError(error),
    );
  }

  /** Binds to an address; gives the port. */
  async listen(address: Address): Promise<number> {
    await listen(this.server, address);
    return (this.server.address() as AddressInfo).port;
  }

  applyBounds(bounds: Omit<ListenerBounds, 'maxHeaderBytes'>): void {
    applyBounds(this.server, bounds);
  }

  /** Requests without an answer that has left the process. */
  countOpen(): number {
    let open = 0;
    for (const connection of this.connections.values()) {
      open += connection.countOpen();
    }
    return open;
  }

  countConnections(): number {
    return this.connections.size;
  }

  /** Takes no more connections; those that are open go on. */
  stopAccepting(): void {
    // Connections that wait to be accepted are taken first; closing the
    // listener would reset them.
    setImmediate(() => {
      if (this.server.listening) this.server.close();
    });
  }

  endIdle(): void {
    for (const connection of this.connections.values()) connection.endIfIdle();
  }

  /** Closes what is still open. */
  closeAll(): void {
    for (const socket of this.connections.keys()) socket.destroy();
  }

  private add(socket: Socket): void {
    this.connections.set(socket, new ClientConnection(socket, this.parts));
    socket.once('close', () => this.connections.delete(socket));
  }

  private accept(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(request.socket);
    const exchange = connection?.accept(request, response);
    if (exchange) this.handle(exchange);
  }
}
