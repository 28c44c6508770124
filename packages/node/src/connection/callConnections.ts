import {Client, Pool} from 'undici';
import type {Dispatcher} from 'undici';

/** Idle connections are closed before they can fail unnoticed. */
const MAX_IDLE_MS = 5_000;
/**
 * Requests that must not be repeated only use connections that were active
 * within this time: if an idle connection closes while the request is written,
 * the outcome of the request is unknown.
 */
const MAX_IDLE_NON_IDEMPOTENT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 1_000;

/** Connection pools to one origin, by whether requests may be repeated. */
interface OriginPools {
  readonly idempotentPool: Pool;
  readonly nonIdempotentPool: Pool;
}

/** Pools the HTTP/1.1 connections to the upstream and to other nodes. */
export class CallConnections {
  private readonly origins = new Map<string, OriginPools>();

  constructor(private readonly connectionsPerOrigin: number) {}

  /** Returns the connection pool to an origin such as http://10.0.0.1:8080. */
  find(origin: string, isRepeatable: boolean): Dispatcher {
    const pools = this.origins.get(origin) ?? this.open(origin);
    return isRepeatable ? pools.idempotentPool : pools.nonIdempotentPool;
  }

  /** Creates a new connection for one request, outside of the pools. */
  createFresh(origin: string): Client {
    return new Client(origin, {
      pipelining: 1,
      keepAliveTimeout: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
    });
  }

  /** Closes the connections to an origin that is no longer used. */
  remove(origin: string): void {
    const pools = this.origins.get(origin);
    this.origins.delete(origin);
    void pools?.idempotentPool.close();
    void pools?.nonIdempotentPool.close();
  }

  /** Closes all connections once their requests have ended. */
  async close(): Promise<void> {
    const pools = [...this.origins.values()].flatMap((origin) => [
      origin.idempotentPool,
      origin.nonIdempotentPool,
    ]);
    this.origins.clear();
    await Promise.all(pools.map((pool) => pool.close()));
  }

  private open(origin: string): OriginPools {
    const createPool = (idleMs: number) =>
      new Pool(origin, {
        connections: this.connectionsPerOrigin,
        keepAliveTimeout: idleMs,
        keepAliveMaxTimeout: idleMs,
        pipelining: 1,
        connect: {timeout: CONNECT_TIMEOUT_MS},
      });
    const pools: OriginPools = {
      idempotentPool: createPool(MAX_IDLE_MS),
      nonIdempotentPool: createPool(MAX_IDLE_NON_IDEMPOTENT_MS),
    };
    this.origins.set(origin, pools);
    return pools;
  }
}
