/** A pool of keep-alive connections to the upstream. */
import {
  MAX_OTHER_RESPONSE_BYTES,
  UPSTREAM_AMBIGUITY_MS,
  UPSTREAM_IDLE_MS,
} from '../constants.js';
import type {MemoryLimits} from '../process/memoryLimits.js';
import type {Address} from '../types.js';
import {ByteBudget} from './byteBudget.js';
import {UpstreamConnection} from './upstreamConnection.js';

/**
 * Provides the connection that was idle for the shortest time, or a new one.
 */
export class UpstreamPool {
  private idleConnections: UpstreamConnection[] = [];
  private ambiguousUntilMs = -Infinity;
  private readonly budget: ByteBudget<UpstreamConnection>;

  constructor(
    private readonly address: Address,
    private readonly readMs: () => number,
    /** Called when bytes arrive that belong to no request. */
    private readonly handleUnexpectedBytes: (message: string) => void,
    private readonly limits: Pick<MemoryLimits, 'responses' | 'responseBody'>,
  ) {
    this.budget = new ByteBudget(limits.responses);
  }

  /**
   * Takes a connection for a non-idempotent request: one on which a refusal
   * must belong to that request.
   */
  takeForNonIdempotent(maxIdleMs: number): UpstreamConnection {
    // Connections opened while responses are ambiguous must not accumulate.
    this.closeUnusable(UPSTREAM_IDLE_MS);
    if (this.readMs() < this.ambiguousUntilMs) return this.open();
    const index = this.idleConnections.findLastIndex(
      (connection) =>
        connection.isRefusalUnambiguous() && connection.isReusable(maxIdleMs),
    );
    const [connection] = index < 0 ? [] : this.idleConnections.splice(index, 1);
    return connection ?? this.open();
  }

  /** Takes a connection that was idle for less than this, or a new one. */
  take(maxIdleMs: number): UpstreamConnection {
    const latest = this.idleConnections.pop();
    if (latest?.isReusable(maxIdleMs)) return latest;
    if (latest) this.idleConnections.push(latest);
    // The others have been idle for even longer.
    this.closeUnusable(Infinity);
    return this.open();
  }

  /** Opens a spare connection, and calls back if nothing listens any more. */
  probe(handleNoListener: () => void): void {
    this.open((hasNoListener) => {
      if (hasNoListener) handleNoListener();
    });
  }

  /** Opens a new connection. */
  open(
    handleConnectFailure?: (hasNoListener: boolean) => void,
  ): UpstreamConnection {
    return new UpstreamConnection({
      address: this.address,
      readMs: this.readMs,
      limits: {
        maxBodyBytes: this.limits.responseBody,
        maxOtherBytes: MAX_OTHER_RESPONSE_BYTES,
      },
      budget: this.budget,
      handleIdle: (connection) => this.idleConnections.push(connection),
      handleUnexpectedBytes: (message) => {
        this.recordAmbiguity();
        this.handleUnexpectedBytes(message);
      },
      handleAmbiguity: () => this.recordAmbiguity(),
      ...(handleConnectFailure ? {handleConnectFailure} : {}),
    });
  }

  /** Removes connections that are closed or were idle for too long. */
  private closeUnusable(maxIdleMs: number): void {
    const {idleConnections: idle} = this;
    this.idleConnections = idle.filter((connection) =>
      connection.isReusable(maxIdleMs),
    );
    for (const connection of idle) {
      if (!this.idleConnections.includes(connection))
        connection.close('idle for too long');
    }
  }

  private recordAmbiguity(): void {
    this.ambiguousUntilMs = this.readMs() + UPSTREAM_AMBIGUITY_MS;
  }

  /** Closes all idle connections, for example after a crash of the upstream. */
  close(): void {
    for (const connection of this.idleConnections)
      connection.close('pool closed');
    this.idleConnections = [];
  }
}
