import {Pool} from 'undici';

/** Idle connections are closed before they can go silent unnoticed. */
const MAX_IDLE_MS = 5_000;

/** Owns the HTTP/1.1 connections to upstreams and gates. */
export class CallConnections {
  private readonly pools = new Map<string, Pool>();

  constructor(private readonly connectionsPerOrigin: number) {}

  /** Connections to an origin such as http://10.0.0.1:8080. */
  find(origin: string): Pool {
    const existing = this.pools.get(origin);
    if (existing) return existing;
    const pool = new Pool(origin, {
      connections: this.connectionsPerOrigin,
      keepAliveTimeout: MAX_IDLE_MS,
      keepAliveMaxTimeout: MAX_IDLE_MS,
      pipelining: 1,
    });
    this.pools.set(origin, pool);
    return pool;
  }

  /** Closes all connections once their requests have ended. */
  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.close()));
  }
}
