/** A link to a node that is called: dialled, kept alive, dialled again. */
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import type {Clock} from 'sycamoreyoke/clock';
import type {CrashSuspect} from 'sycamoreyoke/process/crashRegister';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {
  AVOID_MS,
  CLOSING_SILENCE_MS,
  CONNECT_TIMEOUT_MS,
  IDLE_PING_MS,
  NO_MEMBER_RETRY_MS,
  PING_MS,
  PING_TIMEOUT_MS,
  REDIAL_MAX_MS,
  REDIAL_MIN_MS,
} from '../constants.js';
import type {
  CallResult,
  NodeRecord,
  NodeReport,
  OutgoingCall,
  PendingCall,
  ResultHandler,
} from '../types.js';
import {GateReason} from '../types.js';
import type {ByteBudget} from './byteBudget.js';
import type {Frame} from './peerFrames.js';
import {FrameReader} from './frameReader.js';
import {
  FRAME_REVISION,
  FrameKind,
  TOLERANT_REVISION,
  sendFrame,
} from './peerFrames.js';

/** What a link tells the task that owns it. */
export interface LinkEvents {
  readonly describeSelf: () => {node: NodeRecord; report: NodeReport};
  handleReport(link: PeerLink, report: NodeReport): void;
  /** The node that answered, which may be another than the one expected. */
  handleHello(link: PeerLink, node: NodeRecord): void;
  handleFrame(link: PeerLink, frame: Frame): void;
  handleUp(link: PeerLink): void;
  handleDown(link: PeerLink, message: string): void;
  /** A link has given no sign of life; others may be silent too. */
  handleSilence(): void;
  /** The node closes the link; this many calls on it have not run. */
  handleClosing(link: PeerLink, calls: number): void;
}

const EMPTY_BODY = new Uint8Array(0);

/** A result without a response. */
export function createFailure(
  end: SendEnd,
  reason: GateReason,
  retryAfterMs = 0,
): CallResult {
  return {end, reason, retryAfterMs, status: 0, headers: [], body: EMPTY_BODY};
}

/** The result of a call that a node which closes its links has not run. */
export function createClosingRefusal(): CallResult {
  return createFailure(
    SendEnd.REFUSED_BY_GATE,
    GateReason.LINK_CLOSING,
    NO_MEMBER_RETRY_MS,
  );
}

/** Owns one socket to a node, and the calls that wait for its results. */
export class PeerLink {
  /** The node's latest report, absent until it has answered. */
  report: NodeReport | undefined;
  sentSinceReport = 0;
  avoidedUntilMs = 0;
  /** When the link was lost, or dialled first. */
  lostMs: number;
  private socket: Socket | undefined;
  private isUp = false;
  private peerRevision = 0;
  private isStopped = false;
  private isRetired = false;
  private heardMs = 0;
  /** When the ping was sent that has no answer yet. */
  private askedMs: number | undefined;
  private redialMs = REDIAL_MIN_MS;
  private nextId = 1;
  private timer: NodeJS.Timeout | undefined;
  private readonly waiting = new Map<number, ResultHandler>();

  constructor(
    readonly node: NodeRecord,
    private readonly clock: Clock,
    private readonly events: LinkEvents,
    /** Bytes of unfinished frames, of all links together. */
    private readonly frameBudget: ByteBudget<FrameReader>,
  ) {
    this.lostMs = clock.readMs();
    this.dial();
  }

  isOpen(): boolean {
    return this.isUp;
  }

  /** Sends a call; the handler gets its result once. */
  send(call: OutgoingCall, handle: ResultHandler): PendingCall {
    const {socket} = this;
    if (!socket || !this.isUp) {
      handle(createFailure(SendEnd.REFUSED_BY_GATE, GateReason.LINK_LOST));
      return {cancel: () => undefined};
    }
    const id = this.nextId++;
    this.waiting.set(id, handle);
    this.sentSinceReport += 1;
    sendFrame(socket, {kind: FrameKind.CALL, id, call});
    return {
      cancel: () => {
        if (!this.waiting.delete(id)) return;
        sendFrame(socket, {kind: FrameKind.CANCEL, id});
        this.stopIfDone();
      },
    };
  }

  /** Sends a frame that expects no result, if the link is open. */
  write(frame: Frame): boolean {
    if (!this.socket || !this.isUp) return false;
    sendFrame(this.socket, frame);
    return true;
  }

  /** Sends the node's report and asks for a sign of life. */
  probe(): void {
    if (!this.socket || !this.isUp || this.askedMs !== undefined) return;
    this.askedMs = this.clock.readMs();
    const {report} = this.events.describeSelf();
    sendFrame(this.socket, {kind: FrameKind.PING, report});
  }

  /** Tells the node of requests that were in flight at crashes. */
  sendSuspects(suspects: readonly CrashSuspect[]): void {
    if (this.peerRevision < TOLERANT_REVISION || suspects.length === 0) return;
    this.write({kind: FrameKind.SUSPECTS, suspects});
  }

  /** Sends nothing more, and closes once all results have arrived. */
  retire(): void {
    this.isRetired = true;
    this.stopIfDone();
  }

  /** Whether nothing will be sent or received any more. */
  isEnded(): boolean {
    return !this.socket && (this.isRetired || this.isStopped);
  }

  /** Closes the link for good. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.disconnect('link is not needed any more');
  }

  private stopIfDone(): void {
    if (this.isRetired && this.waiting.size === 0) this.stop();
  }

  private dial(): void {
    const {host, port} = this.node.address;
    const socket = connect({host, port});
    this.socket = socket;
    this.heardMs = this.clock.readMs();
    socket.setNoDelay(true);
    const reader = new FrameReader({
      handle: (frame) => {
        if (this.socket === socket) this.receive(socket, frame);
      },
      budget: this.frameBudget,
      handleExcess: (message) => {
        if (this.socket === socket) this.disconnect(message);
        else socket.destroy();
      },
    });
    socket.on('connect', () => {
      sendFrame(socket, {
        kind: FrameKind.HELLO,
        ...this.events.describeSelf(),
        revision: FRAME_REVISION,
      });
    });
    socket.on('data', (chunk) => {
      // Part of a large frame on a slow link is a sign of life too.
      if (this.socket === socket) this.recordLife();
      try {
        reader.add(chunk);
      } catch (error) {
        this.disconnect(`peer sent no frame: ${(error as Error).message}`);
      }
    });
    // The socket closes only after its own pending frames, which may not be
    // read any more.
    socket.on('end', () => {
      socket.destroy();
      this.handleEnd(socket, 'node ended the link');
    });
    socket.on('error', (error) => this.handleEnd(socket, error.message));
    socket.on('close', () => {
      reader.close();
      this.handleEnd(socket, 'connection closed');
    });
  }

  /**
   * Asks a quiet link for a sign of life and gives up one that gives none. A
   * link without calls is asked less often: there may be thousands of them.
   */
  tick(): void {
    if (!this.socket) return;
    const nowMs = this.clock.readMs();
    if (!this.isUp) {
      if (nowMs - this.heardMs >= CONNECT_TIMEOUT_MS) {
        this.disconnect('connecting took too long');
      }
      return;
    }
    if (this.askedMs !== undefined) {
      if (nowMs - this.askedMs >= PING_TIMEOUT_MS) {
        this.disconnect(`no answer to a ping for ${PING_TIMEOUT_MS} ms`);
        this.events.handleSilence();
      }
      return;
    }
    const intervalMs = this.waiting.size > 0 ? PING_MS : IDLE_PING_MS;
    if (nowMs - this.heardMs >= intervalMs) this.probe();
  }

  private recordLife(): void {
    this.heardMs = this.clock.readMs();
    this.askedMs = undefined;
  }

  private receive(socket: Socket, frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.HELLO:
        this.isUp = true;
        this.peerRevision = frame.revision;
        this.redialMs = REDIAL_MIN_MS;
        this.updateReport(frame.report);
        this.events.handleHello(this, frame.node);
        this.events.handleUp(this);
        return;
      case FrameKind.RESULT: {
        this.updateReport(frame.report);
        const handle = this.waiting.get(frame.id);
        this.waiting.delete(frame.id);
        handle?.(frame.result);
        this.stopIfDone();
        return;
      }
      case FrameKind.REPORT:
        this.updateReport(frame.report);
        return;
      case FrameKind.GOODBYE:
        this.handleGoodbye(socket);
        return;
      default:
        this.events.handleFrame(this, frame);
    }
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

  /** Calls that were sent may have run: nobody can tell. */
  private handleEnd(socket: Socket, message: string): void {
    if (this.socket !== socket) return;
    const wasUp = this.isUp;
    const handlers = this.release();
    if (wasUp) this.events.handleDown(this, message);
    for (const handle of handlers) {
      handle(createFailure(SendEnd.LOST, GateReason.LINK_LOST));
    }
  }

  /** The node has sent all results that it will ever send. */
  private handleGoodbye(socket: Socket): void {
    socket.setTimeout(CLOSING_SILENCE_MS, () => socket.destroy());
    socket.end();
    const handlers = this.release();
    this.events.handleClosing(this, handlers.length);
    for (const handle of handlers) {
      handle(createClosingRefusal());
    }
  }

  /** Lets go of the socket and gives the calls that wait for a result. */
  private release(): readonly ResultHandler[] {
    const nowMs = this.clock.readMs();
    this.socket = undefined;
    if (this.isUp) this.lostMs = nowMs;
    this.isUp = false;
    this.avoidedUntilMs = nowMs + AVOID_MS;
    this.askedMs = undefined;
    const handlers = [...this.waiting.values()];
    this.waiting.clear();
    if (!this.isRetired && !this.isStopped) {
      this.timer = setTimeout(() => this.dial(), this.redialMs);
    }
    this.redialMs = Math.min(REDIAL_MAX_MS, 2 * this.redialMs);
    return handlers;
  }
}
