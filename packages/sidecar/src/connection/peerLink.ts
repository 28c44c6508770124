/** The dialling side of a link between nodes, with pings and reconnects. */
import {randomUUID} from 'node:crypto';
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import type {Clock} from 'sycamoreyoke/clock';
import {
  AVOID_MS,
  CLOSING_SILENCE_MS,
  CONNECT_TIMEOUT_MS,
  IDLE_PING_MS,
  MIN_OVERDUE_MS,
  MIN_REPLACE_INTERVAL_MS,
  OVERDUE_FACTOR,
  OVERDUE_PING_MS,
  PING_MS,
  PING_TIMEOUT_MS,
  REDIAL_MAX_MS,
  REDIAL_MIN_MS,
  REPLACE_MS,
} from '../constants.js';
import type {
  CallResult,
  NodeRecord,
  NodeReport,
  OutgoingCall,
  PendingCall,
  ResultHandler,
} from '../types.js';
import {runAfterNextRead} from '../process/eventLoop.js';
import type {HeldBytes} from '../process/heldBytes.js';
import {
  createClosingRefusal,
  createLoss,
  createMemoryLoss,
  createNonArrival,
} from './callFailure.js';
import {PendingCalls} from './pendingCalls.js';
import {narrowCall} from './callFields.js';
import type {Frame} from './frame.js';
import type {LinkEvents} from './linkEvents.js';
import {FrameReader} from './frameReader.js';
import {
  FRAME_REVISION,
  FrameKind,
  RESUME_REVISION,
  TOLERANT_REVISION,
} from './frame.js';
import {sendFrame} from './peerFrames.js';

/** Keeps a socket to a node open, and matches results to pending calls. */
export class PeerLink {
  /** The node's latest report; undefined until it has answered. */
  report: NodeReport | undefined;
  sentSinceReport = 0;
  avoidedUntilMs = 0;
  /** When the link was lost or, before it was up, first dialled. */
  lostMs: number;
  private socket: Socket | undefined;
  /** Another connection, dialled while this one does not answer a ping. */
  private replacement: Socket | undefined;
  private lastReplacementMs = -Infinity;
  private isUp = false;
  /** Revision of the node's frames; 0 before its first HELLO. */
  peerRevision = 0;
  private isStopped = false;
  private isRetired = false;
  private lastReceivedMs = 0;
  /** When the unanswered ping, if any, was sent. */
  private pingSentMs: number | undefined;
  private redialDelayMs = REDIAL_MIN_MS;
  private nextId = 1;
  private timer: NodeJS.Timeout | undefined;
  private readonly pendingCalls = new PendingCalls();
  /** Names the calls of this link at the gate, on all its connections. */
  private readonly session = randomUUID();
  /** Incarnation and epoch of the node that the calls were sent to. */
  private holder: string | undefined;
  /** Calls whose results the gate may forget. */
  private unacknowledgedIds: number[] = [];

  constructor(
    readonly node: NodeRecord,
    private readonly clock: Clock,
    private readonly events: LinkEvents,
    private readonly held: Pick<HeldBytes, 'hold'>,
  ) {
    this.lostMs = clock.readMs();
    this.dial();
  }

  isOpen(): boolean {
    return this.isUp;
  }

  /** Sends a call; the handler is called once with its result. */
  send(
    call: OutgoingCall,
    handle: ResultHandler,
    /** Time that calls of this kind usually take at the node, ms. */
    usualMs = Infinity,
  ): PendingCall {
    const {socket} = this;
    if (!socket || !this.isUp) {
      handle(createNonArrival());
      return {cancel: () => undefined};
    }
    const id = this.nextId++;
    const sentMs = this.clock.readMs();
    this.pendingCalls.add(id, {
      isIdempotent: call.isIdempotent,
      overdueMs: sentMs + Math.max(MIN_OVERDUE_MS, OVERDUE_FACTOR * usualMs),
      handle,
    });
    this.sentSinceReport += 1;
    sendFrame(socket, {
      kind: FrameKind.CALL,
      id,
      call: narrowCall(call, this.peerRevision),
      sentMs,
      acknowledgedIds: this.unacknowledgedIds.splice(0),
    });
    return {
      cancel: () => {
        if (!this.pendingCalls.remove(id)) return;
        this.write({kind: FrameKind.CANCEL, id});
        this.stopIfDone();
      },
    };
  }

  /** Sends a frame that expects no result; returns whether the link is open. */
  write(frame: Frame): boolean {
    if (!this.socket || !this.isUp) return false;
    sendFrame(this.socket, frame);
    return true;
  }

  /** Sends a ping with this node's report, unless one is unanswered. */
  probe(): void {
    if (!this.socket || !this.isUp || this.pingSentMs !== undefined) return;
    this.pingSentMs = this.clock.readMs();
    const {report} = this.events.describeSelf();
    const sentMs = this.pingSentMs;
    sendFrame(this.socket, {kind: FrameKind.PING, report, sentMs});
  }

  /** Sends a frame of a kind that a node without revisions does not know. */
  sendOptional(frame: Frame): void {
    if (this.peerRevision >= TOLERANT_REVISION) this.write(frame);
  }

  /** Closes the link once all results have arrived, and does not redial. */
  retire(): void {
    this.isRetired = true;
    this.stopIfDone();
  }

  /** Whether the link is closed and will not be dialled again. */
  isEnded(): boolean {
    return !this.socket && (this.isRetired || this.isStopped);
  }

  /** Closes the link and does not redial. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.disconnect('link is no longer needed');
    this.pendingCalls.settleAll(createLoss());
  }

  private stopIfDone(): void {
    if (this.isRetired && this.pendingCalls.count() === 0) this.stop();
  }

  private dial(): void {
    this.lastReceivedMs = this.clock.readMs();
    this.socket = this.openSocket(this.session);
  }

  /** Opens a connection and sends HELLO on it, with a session or without. */
  private openSocket(session: string | undefined): Socket {
    const socket = connect(this.node.address);
    socket.setNoDelay(true);
    const reader = new FrameReader({
      handle: (frame, release) => {
        if (this.socket === socket) this.receive(socket, frame);
        else if (frame.kind === FrameKind.HELLO) this.checkReplacement(socket);
        release();
      },
      held: this.held,
      handleSkipped: ({kind, id}) => {
        const isResult = kind === FrameKind.RESULT && this.socket === socket;
        if (isResult) this.settle(id, createMemoryLoss());
      },
    });
    socket.on('connect', () => this.sendHello(socket, session));
    socket.on('data', (chunk) => {
      this.events.handleActivity();
      // Part of a large frame on a slow link also shows that it is alive.
      if (this.socket === socket) this.recordActivity();
      try {
        reader.add(chunk);
      } catch (error) {
        socket.destroy();
        this.handleEnd(socket, `invalid frame: ${(error as Error).message}`);
      }
    });
    // Otherwise it closes only after its pending frames are sent.
    socket.on('end', () => {
      socket.destroy();
      this.handleEnd(socket, 'node ended the link');
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      const isDialled = this.socket === socket && !this.isUp;
      this.handleEnd(socket, error.message);
      // The process that had the calls is gone, or is stopping.
      if (!isDialled || error.code !== 'ECONNREFUSED') return;
      this.pendingCalls.settleAll(createLoss());
      this.events.handleRefused(this);
    });
    socket.on('close', () => {
      reader.close();
      this.handleEnd(socket, 'connection closed');
    });
    return socket;
  }

  private sendHello(socket: Socket, session: string | undefined): void {
    sendFrame(socket, {
      kind: FrameKind.HELLO,
      ...this.events.describeSelf(),
      revision: FRAME_REVISION,
      session,
    });
  }

  /**
   * Dials another connection while a ping is unanswered. It does not name the
   * session yet, which would end the present connection.
   */
  private dialReplacement(): void {
    this.lastReplacementMs = this.clock.readMs();
    this.replacement = this.openSocket(undefined);
  }

  /**
   * Handles an answer on the other connection. A node that is behind answers on
   * the present one too, with the same delay, so that is read first.
   */
  private checkReplacement(socket: Socket): void {
    runAfterNextRead(() => {
      if (this.replacement !== socket) return;
      this.replacement = undefined;
      const isSilent = this.lastReceivedMs < this.lastReplacementMs;
      if (this.isUp && isSilent) this.replaceWith(socket);
      else socket.destroy();
    });
  }

  /** Continues on another connection, where the pending calls are resumed. */
  private replaceWith(socket: Socket): void {
    const silent = this.socket;
    this.socket = socket;
    this.isUp = false;
    this.recordActivity();
    silent?.destroy();
    this.events.handleDown(this, 'replaced a silent connection');
    this.pendingCalls.startWaiting(() => this.stopIfDone());
    this.sendHello(socket, this.session);
    this.events.handleSilentLink();
  }

  /**
   * Pings a silent link, and disconnects it if a ping is not answered in time.
   * Links without calls are pinged less often: there may be thousands of them.
   */
  tick(): void {
    if (!this.socket) return;
    const nowMs = this.clock.readMs();
    if (!this.isUp) {
      if (nowMs - this.lastReceivedMs >= CONNECT_TIMEOUT_MS) {
        this.disconnect('connecting took too long');
      }
      return;
    }
    if (this.pingSentMs !== undefined) {
      const waitedMs = nowMs - this.pingSentMs;
      if (waitedMs >= PING_TIMEOUT_MS) {
        this.disconnect(`no answer to a ping for ${PING_TIMEOUT_MS} ms`);
        this.events.handleSilentLink();
      } else if (waitedMs >= REPLACE_MS && this.needsReplacement(nowMs)) {
        this.dialReplacement();
      }
      return;
    }
    const intervalMs = this.computePingIntervalMs(nowMs);
    if (nowMs - this.lastReceivedMs >= intervalMs) this.probe();
  }

  private computePingIntervalMs(nowMs: number): number {
    if (this.pendingCalls.count() === 0) return IDLE_PING_MS;
    return this.pendingCalls.hasOverdue(nowMs) ? OVERDUE_PING_MS : PING_MS;
  }

  private needsReplacement(nowMs: number): boolean {
    return (
      this.pendingCalls.count() > 0 &&
      this.peerRevision >= RESUME_REVISION &&
      this.replacement === undefined &&
      nowMs - this.lastReplacementMs >= MIN_REPLACE_INTERVAL_MS
    );
  }

  private recordActivity(): void {
    this.lastReceivedMs = this.clock.readMs();
    this.pingSentMs = undefined;
  }

  private receive(socket: Socket, frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.HELLO:
        this.isUp = true;
        this.peerRevision = frame.revision;
        this.redialDelayMs = REDIAL_MIN_MS;
        this.resume(frame.node, frame.epoch);
        this.updateReport(frame.report);
        this.events.handleHello(this, frame.node);
        this.events.handleUp(this);
        return;
      case FrameKind.RESULT:
        this.updateReport(frame.report);
        this.settle(frame.id, frame.result);
        return;
      case FrameKind.REPORT:
        this.updateReport(frame.report);
        return;
      case FrameKind.RESUMED:
        this.pendingCalls.stopWaiting();
        return;
      case FrameKind.GOODBYE:
        this.handleGoodbye(socket);
        return;
      default:
        this.events.handleFrame(this, frame);
    }
  }

  private settle(id: number, result: CallResult): void {
    this.unacknowledgedIds.push(id);
    this.pendingCalls.settle(id, result);
    this.stopIfDone();
  }

  /**
   * Asks the same process what became of the calls of a lost connection. In
   * another epoch it does not know whether they have arrived.
   */
  private resume({incarnation}: NodeRecord, epoch?: number): void {
    const holder = `${incarnation} ${epoch}`;
    const canTell = epoch !== undefined && holder === this.holder;
    this.holder = holder;
    const calls = this.pendingCalls.count();
    if (calls === 0) return this.pendingCalls.stopWaiting();
    if (!canTell) {
      this.events.handleForgotten(this, calls);
      this.pendingCalls.settleAll(createLoss());
      return;
    }
    const pendingIds = this.pendingCalls.listIds();
    this.write({kind: FrameKind.RESUME, pendingIds});
    this.events.handleResume(this, pendingIds.length);
  }

  private updateReport(report: NodeReport): void {
    this.report = report;
    this.sentSinceReport = 0;
    this.events.handleReport(this, report);
  }

  private disconnect(message: string): void {
    const {socket} = this;
    socket?.destroy();
    if (socket) this.handleEnd(socket, message);
  }

  /**
   * Handles the loss of the link. Pending calls may or may not have run; they
   * wait until the process that had them can be asked.
   */
  private handleEnd(socket: Socket, message: string): void {
    if (this.replacement === socket) this.replacement = undefined;
    if (this.socket !== socket) return;
    const wasUp = this.isUp;
    const isWanted = !this.isRetired && !this.isStopped;
    const canResume = isWanted && this.peerRevision >= RESUME_REVISION;
    const hasCalls = canResume && this.pendingCalls.count() > 0;
    const isUrgent = wasUp && (hasCalls || this.events.needsRedial(this));
    this.release(isUrgent ? 0 : this.redialDelayMs);
    if (!wasUp) return;
    this.events.handleDown(this, message);
    if (canResume) this.pendingCalls.startWaiting(() => this.stopIfDone());
    else this.pendingCalls.settleAll(createLoss());
  }

  /** Handles GOODBYE: pending calls have not run and will not run. */
  private handleGoodbye(socket: Socket): void {
    socket.setTimeout(CLOSING_SILENCE_MS, () => socket.destroy());
    socket.end();
    this.release(this.events.needsRedial(this) ? 0 : this.redialDelayMs);
    this.events.handleClosing(this, this.pendingCalls.count());
    this.pendingCalls.settleAll(createClosingRefusal());
  }

  /** Detaches the socket; doubles the delay unless it dials at once. */
  private release(redialDelayMs: number): void {
    this.socket = undefined;
    this.replacement?.destroy();
    this.replacement = undefined;
    if (this.isUp) this.lostMs = this.clock.readMs();
    this.isUp = false;
    this.avoidedUntilMs = this.clock.readMs() + AVOID_MS;
    this.pingSentMs = undefined;
    if (!this.isRetired && !this.isStopped) {
      this.timer = setTimeout(() => this.dial(), redialDelayMs);
    }
    const nextDelayMs = this.redialDelayMs + redialDelayMs;
    this.redialDelayMs = Math.min(REDIAL_MAX_MS, nextDelayMs);
  }
}
