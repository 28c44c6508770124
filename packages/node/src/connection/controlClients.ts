/** Connections to the control listeners of other nodes. */
import {connect} from 'node:net';
import type {Client} from '@connectrpc/connect';
import {createClient} from '@connectrpc/connect';
import {
  Http2SessionManager,
  createConnectTransport,
} from '@connectrpc/connect-node';
import {ControlService} from '../gen/sycamoreyoke/control/v1/control_pb.js';
import type {SocketBytes} from './socketBytes.js';

/** Client of the control service of one node. */
export type ControlClient = Client<typeof ControlService>;

/** A connection without a stream is closed after this time. */
const IDLE_CONNECTION_MS = 30_000;
/** Time limit of a control message. */
const MESSAGE_TIMEOUT_MS = 2_000;
/** Messages in a row without an answer until the connection is replaced. */
const MISSED_LIMIT = 2;

interface Link {
  readonly client: ControlClient;
  readonly sessions: Http2SessionManager;
  missed: number;
}

/** Owns the control connections and replaces those that went silent. */
export class ControlClients {
  private readonly links = new Map<string, Link>();

  constructor(
    private readonly bytes: SocketBytes,
    private readonly reportReplaced: (origin: string) => void,
  ) {}

  /**
   * Sends a message to a node. After two messages in a row without an answer
   * the next one goes over a new connection.
   */
  async send<T>(
    origin: string,
    message: (client: ControlClient) => Promise<T>,
  ): Promise<T> {
    const link = this.links.get(origin) ?? this.open(origin);
    try {
      const response = await message(link.client);
      link.missed = 0;
      return response;
    } catch (error) {
      link.missed += 1;
      if (link.missed >= MISSED_LIMIT) this.replace(origin, link);
      throw error;
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const link of this.links.values()) link.sessions.abort();
    this.links.clear();
  }

  private replace(origin: string, silent: Link): void {
    if (this.links.get(origin) !== silent) return;
    this.open(origin);
    silent.sessions.abort();
    this.reportReplaced(origin);
  }

  private open(origin: string): Link {
    const url = new URL(origin);
    const sessions = new Http2SessionManager(
      origin,
      {idleConnectionTimeoutMs: IDLE_CONNECTION_MS},
      {
        createConnection: () => {
          const socket = connect(Number(url.port), url.hostname);
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
    const link = {client, sessions, missed: 0};
    this.links.set(origin, link);
    return link;
  }
}
