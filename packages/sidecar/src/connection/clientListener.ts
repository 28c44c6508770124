/** The listener for the requests of clients and of the upstream. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setImmediate as waitForPoll} from 'node:timers/promises';
import {EventCode} from 'sycamoreyoke/process/events';
import type {ListenerBounds} from '../process/httpListeners.js';
import {
  LISTENER_OPTIONS,
  applyBounds,
  listen,
} from '../process/httpListeners.js';
import type {Address} from '../types.js';
import type {
  ClientConnectionParts,
  ExchangeHandler,
} from './clientConnection.js';
import {ClientConnection} from './clientConnection.js';

/** Dependencies of the listener. */
export interface ClientListenerParts extends ClientConnectionParts {
  /** Limit of open connections. */
  readonly maxConnections: number;
}

/** An HTTP server that does not close idle connections itself. */
class ClientServer extends Server {
  /**
   * Called by close(). The library considers a connection idle as soon as its
   * response is buffered, so it would cut off a response that is being sent.
   */
  override closeIdleConnections(): void {
    // ClientListener ends the connections.
  }
}

/** Accepts the connections of clients and keeps track of them. */
export class ClientListener {
  private readonly server: Server;
  private readonly connections = new Map<Socket, ClientConnection>();

  constructor(
    private readonly parts: ClientListenerParts,
    private readonly handle: ExchangeHandler,
  ) {
    // With it, the library would answer without the connection's knowledge.
    const options = {...LISTENER_OPTIONS, requireHostHeader: false};
    this.server = new ClientServer(options);
    this.server.on('connection', (socket: Socket) => this.add(socket));
    this.server.on('request', (request, response) =>
      this.accept(request, response),
    );
    this.server.on('checkExpectation', (request, response) =>
      this.accept(request, response),
    );
    // Without this handler, the library destroys the connection.
    this.server.on('connect', (_request, socket) =>
      this.connections.get(socket as Socket)?.refuseTunnel(),
    );
    this.server.on('timeout', (socket: Socket) =>
      this.connections.get(socket)?.endIfIdle(),
    );
    this.server.on('clientError', (error, socket) =>
      this.connections.get(socket as Socket)?.handleError(error),
    );
  }

  /** Binds to an address and returns the port; rejects if it cannot. */
  async listen(address: Address): Promise<number> {
    await listen(this.server, address);
    return (this.server.address() as AddressInfo).port;
  }

  applyBounds(bounds: Omit<ListenerBounds, 'maxHeaderBytes'>): void {
    applyBounds(this.server, bounds);
  }

  /** Counts the requests whose answers have not left the process yet. */
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

  /** Stops accepting connections; open ones are kept. */
  async stopAccepting(): Promise<void> {
    // Accept the waiting connections first: closing the listener would reset
    // them.
    await waitForPoll();
    if (this.server.listening) this.server.close();
  }

  endIdle(): void {
    for (const connection of this.connections.values()) connection.endIfIdle();
  }

  /** Destroys all connections that are still open. */
  closeAll(): void {
    for (const socket of this.connections.keys()) socket.destroy();
  }

  private add(socket: Socket): void {
    if (this.connections.size >= this.parts.maxConnections) {
      const unused = this.findUnused();
      this.recordDropped(!unused);
      (unused ?? socket).destroy();
      if (!unused) return;
      this.connections.delete(unused);
    }
    this.connections.set(
      socket,
      new ClientConnection(socket, this.parts, this.handle),
    );
    socket.once('close', () => this.connections.delete(socket));
  }

  private recordDropped(isNew: boolean): void {
    const {maxConnections, metrics, record} = this.parts;
    const details = {connections: maxConnections, isNew};
    metrics.count('client_connections_dropped_total');
    record(EventCode.CLIENT_CONNECTION_DROPPED, details);
  }

  /**
   * Finds the connection to close for a new one: the oldest that has brought no
   * request, or else the oldest that has none open.
   */
  private findUnused(): Socket | undefined {
    let oldestIdle: Socket | undefined;
    for (const [socket, connection] of this.connections) {
      if (!connection.hasAccepted()) return socket;
      if (connection.countOpen() === 0) oldestIdle ??= socket;
    }
    return oldestIdle;
  }

  private accept(request: IncomingMessage, response: ServerResponse): void {
    this.connections.get(request.socket)?.accept(request, response);
  }
}
