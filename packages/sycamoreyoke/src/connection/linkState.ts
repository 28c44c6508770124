/** The call connections to one member, and what to do when one is silent. */
import type {Clock} from '../clock.js';
import type {InvariantReporter} from '../invariants.js';
import {Invariant} from '../invariants.js';
import {Outcome} from '../types.js';
import {
  MAX_IDLE_MS,
  MAX_IDLE_UNREPEATABLE_MS,
  MAX_RESPONSE_TIMEOUT_MS,
  MIN_RESPONSE_TIMEOUT_MS,
  RESPONSE_TIMEOUT_FACTOR,
} from './constants.js';
import type {LatencyWindow} from './latencyWindow.js';
import type {LinkAction, LinkRequest} from './types.js';
import {LinkActionKind, RepeatRule} from './types.js';

enum ConnectionState {
  OPENING = 'opening',
  IDLE = 'idle',
  WAITING = 'waiting',
  /** Response bytes have arrived. */
  RECEIVING = 'receiving',
  /** No response byte within the response timeout; not used again. */
  SUSPECT = 'suspect',
}

interface LinkConnection {
  readonly id: number;
  state: ConnectionState;
  /** When the state began. */
  sinceMs: number;
  /** When bytes of the far side arrived last. */
  heardMs: number;
  flight?: Flight;
}

/** A request and the connections that carry it. */
interface Flight {
  readonly request: LinkRequest;
  readonly connections: Set<LinkConnection>;
  /** Bytes of it were written to a connection. */
  mayHaveRun: boolean;
  resends: number;
  /** When a pinned request without a connection is sent again. */
  resendAtMs?: number;
}

/** Response timeout for the latencies observed. */
export function computeResponseTimeout(p99Ms: number | undefined): number {
  if (p99Ms === undefined) return MAX_RESPONSE_TIMEOUT_MS;
  const timeoutMs = RESPONSE_TIMEOUT_FACTOR * p99Ms;
  return Math.min(
    Math.max(timeoutMs, MIN_RESPONSE_TIMEOUT_MS),
    MAX_RESPONSE_TIMEOUT_MS,
  );
}

/**
 * Decides for one member which connection carries a request, when a
 * connection counts as silent, and what becomes of its request. Methods that
 * report an unknown connection or request do nothing: a late event is normal.
 */
export class LinkState {
  private readonly connections = new Map<number, LinkConnection>();
  private readonly flights = new Map<string, Flight>();
  private nextConnection = 1;

  constructor(
    private readonly clock: Clock,
    private readonly latencies: LatencyWindow,
    private readonly report: InvariantReporter,
  ) {}

  /** Takes a request that the router has sent to this member. */
  send(request: LinkRequest): LinkAction[] {
    const flight: Flight = {
      request,
      connections: new Set(),
      mayHaveRun: false,
      resends: 0,
    };
    this.flights.set(request.id, flight);
    const idle = this.findIdle(request.rule);
    return idle ? [this.write(idle, flight)] : [this.open(flight)];
  }

  handleOpened(id: number): LinkAction[] {
    const connection = this.connections.get(id);
    if (connection?.state !== ConnectionState.OPENING) return [];
    connection.heardMs = this.clock.readMs();
    this.mark(connection, ConnectionState.IDLE);
    return connection.flight ? [this.write(connection, connection.flight)] : [];
  }

  /** The first byte of a response has arrived. */
  handleByte(id: number): void {
    const connection = this.connections.get(id);
    if (!connection) return;
    connection.heardMs = this.clock.readMs();
    if (connection.state === ConnectionState.WAITING) {
      this.latencies.record(connection.heardMs - connection.sinceMs);
      this.mark(connection, ConnectionState.RECEIVING);
    }
  }

  /** A complete response has arrived. */
  handleResponse(id: number): LinkAction[] {
    this.handleByte(id);
    const connection = this.connections.get(id);
    const flight = connection?.flight;
    if (!connection || !flight) return [];
    const isSilentBefore = connection.state === ConnectionState.SUSPECT;
    this.remove(connection, flight);
    this.mark(connection, ConnectionState.IDLE);
    const actions: LinkAction[] = [
      {
        kind: LinkActionKind.COMPLETE,
        connection: id,
        requestId: flight.request.id,
      },
      ...this.finish(flight),
    ];
    return isSilentBefore ? [...actions, this.close(connection)] : actions;
  }

  /** A connection could not be opened, or was closed by the far side. */
  handleClosed(id: number): LinkAction[] {
    const connection = this.connections.get(id);
    if (!connection) return [];
    this.connections.delete(id);
    const flight = connection.flight;
    if (!flight) return [];
    this.remove(connection, flight);
    return [{kind: LinkActionKind.SUSPECT_MEMBER}, ...this.handleLoss(flight)];
  }

  /** The request is answered from elsewhere, or nobody waits for it. */
  cancel(requestId: string): LinkAction[] {
    const flight = this.flights.get(requestId);
    return flight ? this.finish(flight) : [];
  }

  /** Finds silent and idle connections; at least every 20 ms. */
  tick(): LinkAction[] {
    const now = this.clock.readMs();
    const expired = [...this.flights.values()].flatMap((flight) =>
      this.checkFlight(flight, now),
    );
    const silent = [...this.connections.values()].flatMap((connection) =>
      this.checkConnection(connection, now),
    );
    return [...expired, ...silent];
  }

  countConnections(): number {
    return this.connections.size;
  }

  private checkFlight(flight: Flight, now: number): LinkAction[] {
    if (now >= flight.request.deadline) return this.stop(flight);
    if (flight.resendAtMs === undefined || now < flight.resendAtMs) return [];
    delete flight.resendAtMs;
    return [this.open(flight)];
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
        return now - connection.heardMs >= this.readTimeout(connection)
          ? this.handleSilence(connection)
          : [];
      default:
        return [];
    }
  }

  /** Each resend of a request waits twice as long as the one before. */
  private readTimeout(connection: LinkConnection): number {
    const timeoutMs = computeResponseTimeout(this.latencies.readP99());
    return timeoutMs * 2 ** (connection.flight?.resends ?? 0);
  }

  private handleSilentOpen(connection: LinkConnection): LinkAction[] {
    const flight = connection.flight;
    if (!flight) return [];
    this.remove(connection, flight);
    return [{kind: LinkActionKind.SUSPECT_MEMBER}, ...this.handleLoss(flight)];
  }

  private handleSilence(connection: LinkConnection): LinkAction[] {
    // Without this sample a slow-down would never raise the timeout.
    if (connection.state === ConnectionState.WAITING) {
      this.latencies.record(this.clock.readMs() - connection.sinceMs);
    }
    const writtenMs = connection.sinceMs;
    this.mark(connection, ConnectionState.SUSPECT);
    return [
      {kind: LinkActionKind.SUSPECT_MEMBER},
      ...this.closeIdleSince(writtenMs),
      ...(connection.flight ? this.sendAgain(connection.flight) : []),
    ];
  }

  /** Sends a request on whose connection is silent again, if it may be. */
  private sendAgain(flight: Flight): LinkAction[] {
    switch (flight.request.rule) {
      case RepeatRule.PINNED:
        flight.resends += 1;
        return [this.open(flight)];
      case RepeatRule.IDEMPOTENT:
        if (!flight.request.takeRetry()) return [];
        return [this.sendElsewhere(flight)];
      case RepeatRule.NEVER:
        return [];
    }
  }

  /** Decides on a request that has lost a connection. */
  private handleLoss(flight: Flight): LinkAction[] {
    if (flight.connections.size > 0) return [];
    const isResent =
      flight.mayHaveRun && flight.request.rule === RepeatRule.PINNED;
    if (!isResent) return this.stop(flight);
    const waitMs = MIN_RESPONSE_TIMEOUT_MS * 2 ** flight.resends;
    flight.resends += 1;
    flight.resendAtMs = this.clock.readMs() + waitMs;
    return [];
  }

  /** Connections that were idle before the silence may be silent as well. */
  private closeIdleSince(writtenMs: number): LinkAction[] {
    return [...this.connections.values()]
      .filter(
        ({state, heardMs}) =>
          state === ConnectionState.IDLE && heardMs <= writtenMs,
      )
      .map((connection) => this.close(connection));
  }

  private findIdle(rule: RepeatRule): LinkConnection | undefined {
    const limitMs =
      rule === RepeatRule.IDEMPOTENT ? MAX_IDLE_MS : MAX_IDLE_UNREPEATABLE_MS;
    const earliest = this.clock.readMs() - limitMs;
    let latest: LinkConnection | undefined;
    for (const connection of this.connections.values()) {
      if (connection.state !== ConnectionState.IDLE) continue;
      if (connection.sinceMs <= earliest) continue;
      if (!latest || connection.sinceMs > latest.sinceMs) latest = connection;
    }
    return latest;
  }

  private open(flight: Flight): LinkAction {
    const now = this.clock.readMs();
    const connection: LinkConnection = {
      id: this.nextConnection,
      state: ConnectionState.OPENING,
      sinceMs: now,
      heardMs: now,
      flight,
    };
    this.nextConnection += 1;
    this.connections.set(connection.id, connection);
    flight.connections.add(connection);
    return {kind: LinkActionKind.OPEN, connection: connection.id};
  }

  private write(connection: LinkConnection, flight: Flight): LinkAction {
    if (flight.mayHaveRun && flight.request.rule !== RepeatRule.PINNED) {
      this.report(
        Invariant.RUNS_AT_MOST_ONCE,
        `request ${flight.request.id} is written twice to a member`,
      );
    }
    connection.flight = flight;
    flight.connections.add(connection);
    flight.mayHaveRun = true;
    this.mark(connection, ConnectionState.WAITING);
    return {
      kind: LinkActionKind.WRITE,
      connection: connection.id,
      requestId: flight.request.id,
    };
  }

  private sendElsewhere(flight: Flight): LinkAction {
    if (flight.request.rule !== RepeatRule.IDEMPOTENT) {
      this.report(
        Invariant.RUNS_AT_MOST_ONCE,
        `request ${flight.request.id} may run on a second member`,
      );
    }
    return {
      kind: LinkActionKind.SEND_ELSEWHERE,
      requestId: flight.request.id,
    };
  }

  private stop(flight: Flight): LinkAction[] {
    const outcome = flight.mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    return [
      ...this.finish(flight),
      {
        kind: LinkActionKind.GIVE_UP,
        requestId: flight.request.id,
        outcome,
      },
    ];
  }

  /** Forgets a request; a connection that still carries it is closed. */
  private finish(flight: Flight): LinkAction[] {
    this.flights.delete(flight.request.id);
    return [...flight.connections].map((connection) => this.close(connection));
  }

  private close(connection: LinkConnection): LinkAction {
    this.connections.delete(connection.id);
    return {kind: LinkActionKind.CLOSE, connection: connection.id};
  }

  private remove(connection: LinkConnection, flight: Flight): void {
    flight.connections.delete(connection);
    delete connection.flight;
  }

  private mark(connection: LinkConnection, state: ConnectionState): void {
    connection.state = state;
    connection.sinceMs = this.clock.readMs();
  }
}
