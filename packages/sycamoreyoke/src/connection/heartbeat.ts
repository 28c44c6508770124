/** Sends heartbeats on a control connection and replaces it when silent. */
import type {Clock} from '../clock.js';
import {HEARTBEAT_INTERVAL_MS, MAX_MISSED_HEARTBEATS} from './constants.js';
import type {HeartbeatAction} from './types.js';
import {HeartbeatActionKind} from './types.js';

interface MonitoredConnection {
  readonly connection: number;
  isOpen: boolean;
  /** Heartbeats sent, or intervals spent opening, since the last message. */
  missedHeartbeats: number;
}

/**
 * Keeps a control connection to a peer working. A silent connection stays in
 * use until its replacement has answered a heartbeat. Missed heartbeats are
 * counted instead of elapsed time, so that a pause of this process does not
 * make every peer look silent.
 */
export class Heartbeat {
  private active: MonitoredConnection;
  private replacement: MonitoredConnection | undefined;
  private nextConnection = 1;
  private lastHeartbeatMs: number;

  constructor(private readonly clock: Clock) {
    this.active = this.createConnection();
    this.lastHeartbeatMs = clock.readMs();
  }

  start(): HeartbeatAction[] {
    return [buildAction(HeartbeatActionKind.OPEN, this.active)];
  }

  /** Number of the connection to use for new messages. */
  readActive(): number {
    return this.active.connection;
  }

  handleOpened(connection: number): HeartbeatAction[] {
    const monitored = this.findConnection(connection);
    if (!monitored) return [];
    monitored.isOpen = true;
    monitored.missedHeartbeats = 1;
    return [buildAction(HeartbeatActionKind.SEND, monitored)];
  }

  /** Handles any message received on the connection. */
  handleMessage(connection: number): HeartbeatAction[] {
    const monitored = this.findConnection(connection);
    if (!monitored) return [];
    monitored.missedHeartbeats = 0;
    const other = monitored === this.active ? this.replacement : this.active;
    this.replacement = undefined;
    if (!other) return [];
    if (monitored === this.active)
      return [buildAction(HeartbeatActionKind.CLOSE, other)];
    this.active = monitored;
    return [
      buildAction(HeartbeatActionKind.SWITCH, monitored),
      buildAction(HeartbeatActionKind.CLOSE, other),
    ];
  }

  /** Handles a failure to open the connection, or its close by the peer. */
  handleClosed(connection: number): HeartbeatAction[] {
    if (connection === this.replacement?.connection) {
      // A later tick opens another one, at most one per heartbeat interval.
      this.replacement = undefined;
      return [{kind: HeartbeatActionKind.UNREACHABLE}];
    }
    if (connection !== this.active.connection) return [];
    if (!this.replacement) return this.openAfterClose();
    this.active = this.replacement;
    this.replacement = undefined;
    return [buildAction(HeartbeatActionKind.SWITCH, this.active)];
  }

  /** Sends heartbeats that are due. Call at least every 100 ms. */
  tick(): HeartbeatAction[] {
    if (this.clock.readMs() - this.lastHeartbeatMs < HEARTBEAT_INTERVAL_MS)
      return [];
    this.lastHeartbeatMs = this.clock.readMs();
    const actions = [...this.checkReplacement(), ...this.checkActive()];
    return [
      ...actions,
      ...this.sendHeartbeat(this.active),
      ...this.sendHeartbeat(this.replacement),
    ];
  }

  private openAfterClose(): HeartbeatAction[] {
    // If the connection was never open, it is retried at the next interval.
    if (!this.active.isOpen) {
      this.active.missedHeartbeats = MAX_MISSED_HEARTBEATS;
      return [{kind: HeartbeatActionKind.UNREACHABLE}];
    }
    this.active = this.createConnection();
    return [
      buildAction(HeartbeatActionKind.SWITCH, this.active),
      buildAction(HeartbeatActionKind.OPEN, this.active),
    ];
  }

  private checkActive(): HeartbeatAction[] {
    if (this.active.missedHeartbeats < MAX_MISSED_HEARTBEATS) return [];
    if (this.replacement) return [];
    this.replacement = this.createConnection();
    return [buildAction(HeartbeatActionKind.OPEN, this.replacement)];
  }

  private checkReplacement(): HeartbeatAction[] {
    const monitored = this.replacement;
    if (!monitored || monitored.missedHeartbeats < MAX_MISSED_HEARTBEATS)
      return [];
    this.replacement = undefined;
    return [
      buildAction(HeartbeatActionKind.CLOSE, monitored),
      {kind: HeartbeatActionKind.UNREACHABLE},
    ];
  }

  private sendHeartbeat(
    monitored: MonitoredConnection | undefined,
  ): HeartbeatAction[] {
    if (!monitored) return [];
    monitored.missedHeartbeats += 1;
    return monitored.isOpen
      ? [buildAction(HeartbeatActionKind.SEND, monitored)]
      : [];
  }

  private findConnection(connection: number): MonitoredConnection | undefined {
    if (connection === this.active.connection) return this.active;
    return connection === this.replacement?.connection
      ? this.replacement
      : undefined;
  }

  private createConnection(): MonitoredConnection {
    const monitored = {
      connection: this.nextConnection,
      isOpen: false,
      missedHeartbeats: 0,
    };
    this.nextConnection += 1;
    return monitored;
  }
}

function buildAction(
  kind: Exclude<HeartbeatActionKind, HeartbeatActionKind.UNREACHABLE>,
  monitored: MonitoredConnection,
): HeartbeatAction {
  return {kind, connection: monitored.connection};
}
