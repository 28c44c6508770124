/** Connections to the upstream that wait for their next request. */
import {
  RESPONSE_BUFFER_BYTES,
  UPSTREAM_DOUBT_MS,
  UPSTREAM_IDLE_MS,
} from '../constants.js';
import type {Address} from '../types.js';
import {ByteBudget} from './byteBudget.js';
import {UpstreamConnection} from './upstreamConnection.js';

/** Hands out the connection that was idle for the shortest time. */
export class UpstreamPool {
  private idle: UpstreamConnection[] = [];
  private doubtedUntilMs = -Infinity;
  private readonly budget = new ByteBudget<UpstreamConnection>(
    RESPONSE_BUFFER_BYTES,
  );

  constructor(
    private readonly address: Address,
    private readonly readMs: () => number,
    /** Called with bytes for which no request waits. */
    private readonly handleUnasked: (message: string) => void,
  ) {}

  /**
   * A connection for a request that must not run twice: one on which a refusal
   * that is read can be believed.
   */
  takeCertain(maxIdleMs: number): UpstreamConnection {
    // The connections that are opened in a doubt must not pile up.
    this.closeUnusable(UPSTREAM_IDLE_MS);
    if (this.readMs() < this.doubtedUntilMs) return this.open();
    const index = this.idle.findLastIndex(
      (connection) =>
        connection.isCertain() && connection.isReusable(maxIdleMs),
    );
    const [connection] = index < 0 ? [] : this.idle.splice(index, 1);
    return connection ?? this.open();
  }

  /** A connection that has not been idle for longer, or a new one. */
  take(maxIdleMs: number): UpstreamConnection {
    const latest = this.idle.pop();
    if (latest?.isReusable(maxIdleMs)) return latest;
    if (latest) this.idle.push(latest);
    // The others have been idle for longer still.
    this.closeUnusable(Infinity);
    return this.open();
  }

  /** Opens a connection for later; tells when nothing listens any more. */
  probe(handleNoListener: () => void): void {
    this.open((hasNoListener) => {
      if (hasNoListener) handleNoListener();
    });
  }

  /** A new connection. */
  open(
    handleConnectFailure?: (hasNoListener: boolean) => void,
  ): UpstreamConnection {
    return new UpstreamConnection({
      address: this.address,
      readMs: this.readMs,
      budget: this.budget,
      handleIdle: (connection) => this.idle.push(connection),
      handleUnasked: (message) => {
        this.recordDoubt();
        this.handleUnasked(message);
      },
      handleDoubt: () => this.recordDoubt(),
      ...(handleConnectFailure ? {handleConnectFailure} : {}),
    });
  }

  /** Closes what has been idle for longer, or is closed by the upstream. */
  private closeUnusable(maxIdleMs: number): void {
    const {idle} = this;
    this.idle = idle.filter((connection) => connection.isReusable(maxIdleMs));
    for (const connection of idle) {
      if (!this.idle.includes(connection))
        connection.close('idle for too long');
    }
  }

  private recordDoubt(): void {
    this.doubtedUntilMs = this.readMs() + UPSTREAM_DOUBT_MS;
  }

  /** Closes all idle connections, for example after a crash. */
  close(): void {
    for (const connection of this.idle) connection.close('pool closed');
    this.idle = [];
  }
}
