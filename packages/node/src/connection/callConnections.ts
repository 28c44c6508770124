import {Client, Pool} from 'undici';
import type {Dispatcher} from 'undici';

/** Idle connections are closed before they can go silent unnoticed. */
const MAX_IDLE_MS = 5_000;
/**
 * A non-idempotent request goes only on a connection that was used within this
 * time: a connection that closes as the request is written makes its outcome
 * unknown.
 */
const MAX_IDLE_NON_IDEMPOTENT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 1_000;

interface Origin {
  readonly pool: Pool;
  readonly unrepeatable: Pool;
}

/** Owns the HTTP/1.1 connections to upstreams and gates. */
export class CallConnections {
  private readonly origins = new Map<string, Origin>();

  constructor(private readonly connectionsPerOrigin: number) {}

  /** Connections to an origin such as http://10.0.0.1:8080. */
  find(origin: string, isRepeatable: boolean): Dispatcher {
    const found = this.origins.get(origin) ?? this.open(origin);
    return isRepeatable ? found.pool : found.unrepeatable;
  }

  /** A connection for one request, when the usual ones may be silent. */
  createFresh(origin: string): Client {
    return new Client(origin, {
      pipelining: 1,
      keepAliveTimeout: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
    });
  }

  /** Closes the connections to an origin that is gone. */
  remove(origin: string): void {
    const found = this.origins.get(origin);
    this.origins.delete(origin);
    void found?.pool.close();
    void found?.unrepeatable.close();
  }

  /** Closes all connections once their requests have ended. */
  async close(): Promise<void> {
    const pools = [...this.origins.values()].flatMap((origin) => [
      origin.pool,
      origin.unrepeatable,
    ]);
    this.origins.clear();
    await Promise.all(pools.map((pool) => pool.close()));
  }

  private open(origin: string): Origin {
    const createPool = (idleMs: number) =>
      new Pool(origin, {
        connections: this.connectionsPerOrigin,
        keepAliveTimeout: idleMs,
        keepAliveMaxTimeout: idleMs,
        pipelining: 1,
        connect: {timeout: CONNECT_TIMEOUT_MS},
      });
    const opened: Origin = {
      pool: createPool(MAX_IDLE_MS),
      unrepeatable: createPool(MAX_IDLE_NON_IDEMPOTENT_MS),
    };
    this.origins.set(origin, opened);
    return opened;
  }
}
