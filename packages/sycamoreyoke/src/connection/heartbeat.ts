/** Heartbeats of one control connection and its replacement when silent. */
import type {Clock} from '../clock.js';
import {HEARTBEAT_MS, MAX_MISSED_HEARTBEATS} from './constants.js';
import type {HeartbeatAction} from './types.js';
import {HeartbeatActionKind} from './types.js';

interface Line {
  readonly connection: number;
  isOpen: boolean;
  /** Heartbeats sent, or intervals spent opening, since the last message. */
  unanswered: number;
}

/**
 * Keeps one control connection to a peer usable. A silent connection stays
 * in use until its replacement has answered a heartbeat. Heartbeats are
 * counted, not the time that passed, so that a pause of this process does
 * not make every peer look silent.
 */
export class Heartbeat {
  private active: Line;
  private replacement: Line | undefined;
  private nextConnection = 1;
  private lastBeatMs: number;

  constructor(private readonly clock: Clock) {
    this.active = this.createLine();
    this.lastBeatMs = clock.readMs();
  }

  start(): HeartbeatAction[] {
    return [build(HeartbeatActionKind.OPEN, this.active)];
  }

  /** Connection for new messages. */
  readActive(): number {
    return this.active.connection;
  }

  handleOpened(connection: number): HeartbeatAction[] {
    const line = this.find(connection);
    if (!line) return [];
    line.isOpen = true;
    line.unanswered = 1;
    return [build(HeartbeatActionKind.SEND, line)];
  }

  /** Any message from the peer has arrived on the connection. */
  handleMessage(connection: number): HeartbeatAction[] {
    const line = this.find(connection);
    if (!line) return [];
    line.unanswered = 0;
    const other = line === this.active ? this.replacement : this.active;
    this.replacement = undefined;
    if (!other) return [];
    if (line === this.active) return [build(HeartbeatActionKind.CLOSE, other)];
    this.active = line;
    return [
      build(HeartbeatActionKind.SWITCH, line),
      build(HeartbeatActionKind.CLOSE, other),
    ];
  }

  /** The connection could not be opened, or was closed by the far side. */
  handleClosed(connection: number): HeartbeatAction[] {
    if (connection === this.replacement?.connection) {
      // The next tick opens another one, at most one for each interval.
      this.replacement = undefined;
      return [{kind: HeartbeatActionKind.UNREACHABLE}];
    }
    if (connection !== this.active.connection) return [];
    if (!this.replacement) return this.openAfterClose();
    this.active = this.replacement;
    this.replacement = undefined;
    return [build(HeartbeatActionKind.SWITCH, this.active)];
  }

  /** Sends what is due; at least every 100 ms. */
  tick(): HeartbeatAction[] {
    if (this.clock.readMs() - this.lastBeatMs < HEARTBEAT_MS) return [];
    this.lastBeatMs = this.clock.readMs();
    const actions = [...this.checkReplacement(), ...this.checkActive()];
    return [
      ...actions,
      ...this.sendBeat(this.active),
      ...this.sendBeat(this.replacement),
    ];
  }

  private openAfterClose(): HeartbeatAction[] {
    // A connection that never opened is tried again at the next interval.
    if (!this.active.isOpen) {
      this.active.unanswered = MAX_MISSED_HEARTBEATS;
      return [{kind: HeartbeatActionKind.UNREACHABLE}];
    }
    this.active = this.createLine();
    return [
      build(HeartbeatActionKind.SWITCH, this.active),
      build(HeartbeatActionKind.OPEN, this.active),
    ];
  }

  private checkActive(): HeartbeatAction[] {
    if (this.active.unanswered < MAX_MISSED_HEARTBEATS) return [];
    if (this.replacement) return [];
    this.replacement = this.createLine();
    return [build(HeartbeatActionKind.OPEN, this.replacement)];
  }

  private checkReplacement(): HeartbeatAction[] {
    const line = this.replacement;
    if (!line || line.unanswered < MAX_MISSED_HEARTBEATS) return [];
    this.replacement = undefined;
    return [
      build(HeartbeatActionKind.CLOSE, line),
      {kind: HeartbeatActionKind.UNREACHABLE},
    ];
  }

  private sendBeat(line: Line | undefined): HeartbeatAction[] {
    if (!line) return [];
    line.unanswered += 1;
    return line.isOpen ? [build(HeartbeatActionKind.SEND, line)] : [];
  }

  private find(connection: number): Line | undefined {
    if (connection === this.active.connection) return this.active;
    return connection === this.replacement?.connection
      ? this.replacement
      : undefined;
  }

  private createLine(): Line {
    const line = {
      connection: this.nextConnection,
      isOpen: false,
      unanswered: 0,
    };
    this.nextConnection += 1;
    return line;
  }
}

function build(
  kind: Exclude<HeartbeatActionKind, HeartbeatActionKind.UNREACHABLE>,
  line: Line,
): HeartbeatAction {
  return {kind, connection: line.connection};
}
