/** State machine of the call connections to one member. */
import type {Clock} from '../clock.js';
import type {InvariantReporter} from '../invariants.js';
import {Invariant} from '../invariants.js';
import {Outcome} from '../types.js';
import {
  MAX_IDLE_MS,
  MAX_IDLE_NON_IDEMPOTENT_MS,
  MAX_RESPONSE_TIMEOUT_MS,
  MIN_RESPONSE_TIMEOUT_MS,
  RESPONSE_TIMEOUT_FACTOR,
} from './constants.js';
import type {LatencyHistogram} from './latencyHistogram.js';
import type {LinkAction, LinkRequest} from './types.js';
import {LinkActionKind, ResendRule} from './types.js';

enum ConnectionState {
  OPENING = 'opening',
  IDLE = 'idle',
  WAITING = 'waiting',
  /** Response bytes have arrived. */
  RECEIVING = 'receiving',
  /** No response byte within the response timeout; not reused. */
  SUSPECT = 'suspect',
}

interface LinkConnection {
  readonly id: number;
  state: ConnectionState;
  /** When the current state began. */
  sinceMs: number;
  /** When bytes were last received. */
  lastReceivedMs: number;
  pending?: PendingRequest;
}

/** A request and the connections it was sent on. */
interface PendingRequest {
  readonly request: LinkRequest;
  readonly connections: Set<LinkConnection>;
  /** Whether it was written to a connection. */
  mayHaveRun: boolean;
  resends: number;
  /** When to resend a pinned request that has no connection. */
  resendAtMs?: number;
}

/** Computes the response timeout, ms, from the p99 of the latencies. */
export function computeResponseTimeout(p99Ms: number | undefined): number {
  if (p99Ms === undefined) return MAX_RESPONSE_TIMEOUT_MS;
  const timeoutMs = RESPONSE_TIMEOUT_FACTOR * p99Ms;
  return Math.min(
    Math.max(timeoutMs, MIN_RESPONSE_TIMEOUT_MS),
    MAX_RESPONSE_TIMEOUT_MS,
  );
}

/**
 * Decides for one member which connection to send a request on, when a
 * connection counts as silent, and how to proceed with its request. Events of
 * unknown connections and requests are ignored, since they may arrive late.
 */
export class LinkState {
  private readonly connections = new Map<number, LinkConnection>();
  private readonly pendingRequests = new Map<string, PendingRequest>();
  private nextConnection = 1;

  constructor(
    private readonly clock: Clock,
    private readonly latencies: LatencyHistogram,
    private readonly report: InvariantReporter,
  ) {}

  /** Sends a request that the router has assigned to this member. */
  send(request: LinkRequest): LinkAction[] {
    const pending: PendingRequest = {
      request,
      connections: new Set(),
      mayHaveRun: false,
      resends: 0,
    };
    this.pendingRequests.set(request.id, pending);
    const idle = this.findIdleConnection(request.rule);
    return idle ? [this.write(idle, pending)] : [this.open(pending)];
  }

  handleOpened(id: number): LinkAction[] {
    const connection = this.connections.get(id);
    if (connection?.state !== ConnectionState.OPENING) return [];
    connection.lastReceivedMs = this.clock.readMs();
    this.mark(connection, ConnectionState.IDLE);
    return connection.pending
      ? [this.write(connection, connection.pending)]
      : [];
  }

  /** Handles received bytes of a response. */
  handleByte(id: number): void {
    const connection = this.connections.get(id);
    if (!connection) return;
    connection.lastReceivedMs = this.clock.readMs();
    if (connection.state === ConnectionState.WAITING) {
      this.latencies.record(connection.lastReceivedMs - connection.sinceMs);
      this.mark(connection, ConnectionState.RECEIVING);
    }
  }

  /** Handles a complete response. */
  handleResponse(id: number): LinkAction[] {
    this.handleByte(id);
    const connection = this.connections.get(id);
    const pending = connection?.pending;
    if (!connection || !pending) return [];
    const isSuspect = connection.state === ConnectionState.SUSPECT;
    this.remove(connection, pending);
    this.mark(connection, ConnectionState.IDLE);
    const actions: LinkAction[] = [
      {
        kind: LinkActionKind.COMPLETE,
        connection: id,
        requestId: pending.request.id,
      },
      ...this.finish(pending),
    ];
    return isSuspect ? [...actions, this.close(connection)] : actions;
  }

  /** Handles a failure to open a connection, or its close by the member. */
  handleClosed(id: number): LinkAction[] {
    const connection = this.connections.get(id);
    if (!connection) return [];
    this.connections.delete(id);
    const pending = connection.pending;
    if (!pending) return [];
    this.remove(connection, pending);
    return [{kind: LinkActionKind.SUSPECT_MEMBER}, ...this.handleLoss(pending)];
  }

  /** Cancels a request that was answered elsewhere or is no longer needed. */
  cancel(requestId: string): LinkAction[] {
    const pending = this.pendingRequests.get(requestId);
    return pending ? this.finish(pending) : [];
  }

  /** Handles silent and idle connections. Call at least every 20 ms. */
  tick(): LinkAction[] {
    const now = this.clock.readMs();
    const expired = [...this.pendingRequests.values()].flatMap((pending) =>
      this.checkPending(pending, now),
    );
    const silent = [...this.connections.values()].flatMap((connection) =>
      this.checkConnection(connection, now),
    );
    return [...expired, ...silent];
  }

  countConnections(): number {
    return this.connections.size;
  }

  private checkPending(pending: PendingRequest, now: number): LinkAction[] {
    if (now >= pending.request.deadline) return this.stop(pending);
    if (pending.resendAtMs === undefined || now < pending.resendAtMs) return [];
    delete pending.resendAtMs;
    return [this.open(pending)];
  }

  private checkConnection(
    connection: LinkConnection,
    now: number,
  ): LinkAction[] {
    const elapsedMs = now - connection.sinceMs;
    switch (connection.state) {
      case ConnectionState.IDLE:
        return elapsedMs >= MAX_IDLE_MS ? [this.close(connection)] : [];
      case ConnectionState.OPENING:
        return elapsedMs >= this.readTimeout(connection)
          ? [this.close(connection), ...this.handleSilentOpen(connection)]
          : [];
      case ConnectionState.WAITING:
        return elapsedMs >= this.readTimeout(connection)
          ? this.handleSilence(connection)
          : [];
      case ConnectionState.RECEIVING:
        return now - connection.lastReceivedMs >= this.readTimeout(connection)
          ? this.handleSilence(connection)
          : [];
      default:
        return [];
    }
  }

  /** Response timeout of a connection; doubles with each resend. */
  private readTimeout(connection: LinkConnection): number {
    const timeoutMs = computeResponseTimeout(this.latencies.readP99Ms());
    return timeoutMs * 2 ** (connection.pending?.resends ?? 0);
  }

  private handleSilentOpen(connection: LinkConnection): LinkAction[] {
    const pending = connection.pending;
    if (!pending) return [];
    this.remove(connection, pending);
    return [{kind: LinkActionKind.SUSPECT_MEMBER}, ...this.handleLoss(pending)];
  }

  private handleSilence(connection: LinkConnection): LinkAction[] {
    // Without this sample a slower member would never raise the timeout.
    if (connection.state === ConnectionState.WAITING) {
      this.latencies.record(this.clock.readMs() - connection.sinceMs);
    }
    const writtenMs = connection.sinceMs;
    this.mark(connection, ConnectionState.SUSPECT);
    return [
      {kind: LinkActionKind.SUSPECT_MEMBER},
      ...this.closeIdleSince(writtenMs),
      ...(connection.pending ? this.sendAgain(connection.pending) : []),
    ];
  }

  /** Resends a request whose connection is silent, if its rule allows it. */
  private sendAgain(pending: PendingRequest): LinkAction[] {
    switch (pending.request.rule) {
      case ResendRule.PINNED:
        pending.resends += 1;
        return [this.open(pending)];
      case ResendRule.IDEMPOTENT:
        if (!pending.request.takeRetry()) return [];
        return [this.sendElsewhere(pending)];
      case ResendRule.NEVER:
        return [];
    }
  }

  /** Resends or ends a request that has lost its last connection. */
  private handleLoss(pending: PendingRequest): LinkAction[] {
    if (pending.connections.size > 0) return [];
    const isResent =
      pending.mayHaveRun && pending.request.rule === ResendRule.PINNED;
    if (!isResent) return this.stop(pending);
    const waitMs = MIN_RESPONSE_TIMEOUT_MS * 2 ** pending.resends;
    pending.resends += 1;
    pending.resendAtMs = this.clock.readMs() + waitMs;
    return [];
  }

  /** Closes connections idle since before the silence: they may be dead too. */
  private closeIdleSince(writtenMs: number): LinkAction[] {
    return [...this.connections.values()]
      .filter(
        ({state, lastReceivedMs}) =>
          state === ConnectionState.IDLE && lastReceivedMs <= writtenMs,
      )
      .map((connection) => this.close(connection));
  }

  private findIdleConnection(rule: ResendRule): LinkConnection | undefined {
    const limitMs =
      rule === ResendRule.IDEMPOTENT ? MAX_IDLE_MS : MAX_IDLE_NON_IDEMPOTENT_MS;
    const earliest = this.clock.readMs() - limitMs;
    let latest: LinkConnection | undefined;
    for (const connection of this.connections.values()) {
      if (connection.state !== ConnectionState.IDLE) continue;
      if (connection.sinceMs <= earliest) continue;
      if (!latest || connection.sinceMs > latest.sinceMs) latest = connection;
    }
    return latest;
  }

  private open(pending: PendingRequest): LinkAction {
    const now = this.clock.readMs();
    const connection: LinkConnection = {
      id: this.nextConnection,
      state: ConnectionState.OPENING,
      sinceMs: now,
      lastReceivedMs: now,
      pending,
    };
    this.nextConnection += 1;
    this.connections.set(connection.id, connection);
    pending.connections.add(connection);
    return {kind: LinkActionKind.OPEN, connection: connection.id};
  }

  private write(
    connection: LinkConnection,
    pending: PendingRequest,
  ): LinkAction {
    if (pending.mayHaveRun && pending.request.rule !== ResendRule.PINNED) {
      this.report(
        Invariant.RUNS_AT_MOST_ONCE,
        `request ${pending.request.id} would be written to a member twice`,
      );
    }
    connection.pending = pending;
    pending.connections.add(connection);
    pending.mayHaveRun = true;
    this.mark(connection, ConnectionState.WAITING);
    return {
      kind: LinkActionKind.WRITE,
      connection: connection.id,
      requestId: pending.request.id,
    };
  }

  private sendElsewhere(pending: PendingRequest): LinkAction {
    if (pending.request.rule !== ResendRule.IDEMPOTENT) {
      this.report(
        Invariant.RUNS_AT_MOST_ONCE,
        `request ${pending.request.id} may run on a second member`,
      );
    }
    return {
      kind: LinkActionKind.SEND_ELSEWHERE,
      requestId: pending.request.id,
    };
  }

  private stop(pending: PendingRequest): LinkAction[] {
    const outcome = pending.mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    return [
      ...this.finish(pending),
      {
        kind: LinkActionKind.GIVE_UP,
        requestId: pending.request.id,
        outcome,
      },
    ];
  }

  /** Removes a request and closes the connections that still carry it. */
  private finish(pending: PendingRequest): LinkAction[] {
    this.pendingRequests.delete(pending.request.id);
    return [...pending.connections].map((connection) => this.close(connection));
  }

  private close(connection: LinkConnection): LinkAction {
    this.connections.delete(connection.id);
    return {kind: LinkActionKind.CLOSE, connection: connection.id};
  }

  private remove(connection: LinkConnection, pending: PendingRequest): void {
    pending.connections.delete(connection);
    delete connection.pending;
  }

  private mark(connection: LinkConnection, state: ConnectionState): void {
    connection.state = state;
    connection.sinceMs = this.clock.readMs();
  }
}
