/** Client connections to the control listeners of other nodes. */
import {connect} from 'node:net';
import type {Client} from '@connectrpc/connect';
import {createClient} from '@connectrpc/connect';
import {
  Http2SessionManager,
  createConnectTransport,
} from '@connectrpc/connect-node';
import {ControlService} from '../gen/sycamoreyoke/control/v1/control_pb.js';
import type {SocketBytes} from './socketBytes.js';

/** RPC client of the control service of one node. */
export type ControlClient = Client<typeof ControlService>;

/** A connection without open streams is closed after this time. */
const IDLE_CONNECTION_MS = 30_000;
/** Timeout of a control message. */
const MESSAGE_TIMEOUT_MS = 2_000;
/** Consecutive unanswered messages after which a connection is replaced. */
const MAX_MISSES = 2;

interface ControlConnection {
  readonly client: ControlClient;
  readonly sessions: Http2SessionManager;
  misses: number;
}

/** Manages one control connection per node; replaces unresponsive ones. */
export class ControlClients {
  private readonly connections = new Map<string, ControlConnection>();

  constructor(
    private readonly bytes: SocketBytes,
    private readonly reportReplaced: (origin: string) => void,
  ) {}

  /**
   * Sends a message to a node; rejects when it is not answered. After
   * MAX_MISSES consecutive failures the next message uses a new connection.
   */
  async send<T>(
    origin: string,
    sendMessage: (client: ControlClient) => Promise<T>,
  ): Promise<T> {
    const connection = this.connections.get(origin) ?? this.open(origin);
    try {
      const response = await sendMessage(connection.client);
      connection.misses = 0;
      return response;
    } catch (error) {
      connection.misses += 1;
      if (connection.misses >= MAX_MISSES) this.replace(origin, connection);
      throw error;
    }
  }

  /** Aborts all connections. */
  close(): void {
    for (const entry of this.connections.values()) entry.sessions.abort();
    this.connections.clear();
  }

  private replace(origin: string, silentConnection: ControlConnection): void {
    if (this.connections.get(origin) !== silentConnection) return;
    this.open(origin);
    silentConnection.sessions.abort();
    this.reportReplaced(origin);
  }

  private open(origin: string): ControlConnection {
    const originUrl = new URL(origin);
    const sessions = new Http2SessionManager(
      origin,
      {idleConnectionTimeoutMs: IDLE_CONNECTION_MS},
      {
        createConnection: () => {
          const socket = connect(Number(originUrl.port), originUrl.hostname);
          socket.setNoDelay(true);
          this.bytes.add(socket);
          return socket;
        },
      },
    );
    const transport = createConnectTransport({
      baseUrl: origin,
      httpVersion: '2',
      sessionManager: sessions,
      defaultTimeoutMs: MESSAGE_TIMEOUT_MS,
    });
    const client = createClient(ControlService, transport);
    const connection = {client, sessions, misses: 0};
    this.connections.set(origin, connection);
    return connection;
  }
}
