/** The accepting side of a link between nodes, which runs the peer's calls. */
import type {Socket} from 'node:net';
import type {Clock} from 'sycamoreyoke/clock';
import {SendEnd} from 'sycamoreyoke/request/resend';
import type {NodeProcess} from 'sycamoreyoke/process/linkedProcesses';
import type {
  AskMessage,
  GrantMessage,
} from 'sycamoreyoke/process/allotment/allotmentNode';
import type {CrashSuspect} from 'sycamoreyoke/process/crashRegister';
import {
  ACCEPTED_SILENCE_MS,
  CLOSING_REFUSAL_MS,
  CLOSING_SILENCE_MS,
  LATE_READ_MS,
  NO_MEMBER_RETRY_MS,
  PROGRESS_REPORT_MS,
} from '../constants.js';
import type {
  CallResult,
  LeavingNotice,
  NodeRecord,
  NodeReport,
  OutgoingCall,
  PendingCall,
  ResultHandler,
} from '../types.js';
import {GateReason} from '../types.js';
import type {ConfigurationPeer} from '../process/configurationTask.js';
import {runAfterNextRead} from '../process/eventLoop.js';
import type {HeldBytes} from '../process/heldBytes.js';
import type {Frame} from './frame.js';
import {FrameReader} from './frameReader.js';
import {
  FRAME_REVISION,
  FrameKind,
  GOODBYE_REVISION,
  LEAVINGS_REVISION,
  RESUME_REVISION,
  TOLERANT_REVISION,
} from './frame.js';
import {sendFrame} from './peerFrames.js';
import {
  createClosingRefusal,
  createFailure,
  createLoss,
} from './callFailure.js';
import type {LinkSession, SessionLink} from './linkSession.js';
import type {LinkSessions} from './linkSessions.js';
import {TransitDelay} from './transitDelay.js';

/** Dependencies of an accepted link. */
export interface AcceptedLinkParts {
  readonly clock: Clock;
  /** Returns the earliest time at which bytes read now can have arrived. */
  readonly findEarliestArrivalMs: () => number;
  /** Limits the bytes of results that the peer has not read yet. */
  readonly maxOutputBytes: number;
  readonly describeSelf: () => {node: NodeRecord; report: NodeReport};
  readonly offer: (call: OutgoingCall, handle: ResultHandler) => PendingCall;
  readonly handleHello: (node: NodeRecord) => void;
  readonly handlePeerVersion: (
    version: number,
    peer: ConfigurationPeer,
  ) => void;
  readonly handleConfiguration: (content: Uint8Array) => void;
  readonly readConfiguration: () => Uint8Array | undefined;
  readonly listNodes: () => readonly NodeRecord[];
  readonly handleFault: (message: string) => void;
  readonly listSuspects: () => readonly CrashSuspect[];
  readonly handleSuspects: (suspects: readonly CrashSuspect[]) => void;
  /** Lists what a node has to know that has just been linked. */
  readonly listNotices: (process: NodeProcess) => readonly LeavingNotice[];
  readonly handleNotice: (notice: LeavingNotice) => void;
  /** The budget for frames and for the calls that wait or run. */
  readonly held: Pick<HeldBytes, 'hold'>;
  /** Answers a node that asks for tokens of client accounts. */
  readonly answerTokens: (node: string, message: AskMessage) => GrantMessage;
}

/** Sends a frame over a link. */
export type FrameSender = (frame: Frame) => void;

type HelloFrame = Extract<Frame, {kind: FrameKind.HELLO}>;
type CallFrame = Extract<Frame, {kind: FrameKind.CALL}>;

enum LinkPhase {
  OPEN = 'open',
  /** Running calls finish; new ones are refused. */
  CLOSING = 'closing',
  /** All frames are written; incoming bytes are discarded. */
  ENDED = 'ended',
}

/** Runs the calls that arrive on an accepted socket. */
export class AcceptedLink implements SessionLink {
  private phase = LinkPhase.OPEN;
  private peerRevision = 0;
  private reportedMs = -Infinity;
  /** Whether the peer belongs to the same service. */
  private isSameService = false;
  /** Name of the peer, from its HELLO. */
  private peerName: string | undefined;
  private session: LinkSession;
  private sessionName: string | undefined;
  private readonly transitDelay = new TransitDelay();

  constructor(
    private readonly socket: Socket,
    private readonly parts: AcceptedLinkParts,
    private readonly sessions: LinkSessions,
    handleClose: () => void,
  ) {
    this.session = sessions.openAnonymous(this);
    socket.setTimeout(ACCEPTED_SILENCE_MS, () => socket.destroy());
    const reader = new FrameReader({
      handle: (frame, release) => {
        if (frame.kind === FrameKind.CALL) {
          this.receiveCall(frame, release);
          return;
        }
        this.receive(frame);
        release();
      },
      held: this.parts.held,
      handleSkipped: ({kind, id}) => {
        if (kind === FrameKind.CALL) this.refuseSkipped(id);
        else this.parts.handleFault(`no memory for a frame of kind ${kind}`);
      },
    });
    socket.on('data', (chunk) => {
      // Keep reading: unread bytes would turn the close into a reset, which
      // discards results.
      if (this.phase === LinkPhase.ENDED) return;
      try {
        reader.add(chunk);
        if (reader.isInFrame()) this.reportProgress();
      } catch (error) {
        this.parts.handleFault(`bad frame: ${(error as Error).message}`);
        socket.destroy();
      }
    });
    socket.on('error', (error) => {
      if (this.phase === LinkPhase.ENDED) return;
      this.parts.handleFault(`link of a peer failed: ${error.message}`);
    });
    socket.on('close', () => {
      reader.close();
      handleClose();
      this.closeSession();
    });
  }

  /** Sends a frame that expects no result; returns whether the link is open. */
  write(frame: Frame): boolean {
    const isOpen = this.phase === LinkPhase.OPEN && this.socket.writable;
    if (isOpen) this.send(frame);
    return isOpen;
  }

  /** Sends this node's current report to the peer. */
  sendReport(): void {
    this.reportedMs = this.parts.clock.readMs();
    this.send({kind: FrameKind.REPORT, report: this.describeReport()});
  }

  /** Sends crash suspects, if the peer belongs to the same service. */
  sendSuspects(suspects: readonly CrashSuspect[]): void {
    const canReadSuspects = this.peerRevision >= TOLERANT_REVISION;
    if (!this.isSameService || !canReadSuspects || suspects.length === 0)
      return;
    this.send({kind: FrameKind.SUSPECTS, suspects});
  }

  /** Sends a notice; returns whether the peer keeps it. */
  sendNotice(notice: LeavingNotice): boolean {
    if (this.peerRevision < TOLERANT_REVISION) return false;
    this.send({kind: FrameKind.LEAVINGS, notice});
    return this.peerRevision >= LEAVINGS_REVISION && this.socket.writable;
  }

  /** Refuses new calls and ends the link after the last result. */
  close(): void {
    if (this.phase !== LinkPhase.OPEN) return;
    this.phase = LinkPhase.CLOSING;
    this.sendReport();
    this.handleCallEnd();
  }

  /** Cancels the calls that wait at the gate and reports them as not run. */
  refuseWaiting(): void {
    for (const [id, call] of this.session.listRunning()) {
      if (!call.isWaiting?.()) continue;
      this.session.remove(id);
      call.cancel();
      this.session.settle(id, createClosingRefusal());
    }
    this.handleCallEnd();
  }

  /** Cancels the running calls, reports them as lost, and ends the link. */
  cancelRunning(): void {
    for (const [id, call] of this.session.listRunning()) {
      call.cancel();
      if (!this.session.remove(id)) continue;
      this.sendResult(id, createLoss());
    }
    this.end();
  }

  disconnect(): void {
    this.socket.destroy();
  }

  /**
   * Reports while a large frame arrives, behind which a ping of the peer waits.
   * Without it the peer replaces the link in the middle of the frame.
   */
  private reportProgress(): void {
    const nowMs = this.parts.clock.readMs();
    if (nowMs - this.reportedMs < PROGRESS_REPORT_MS) return;
    if (this.phase === LinkPhase.OPEN) this.sendReport();
  }

  private send(frame: Frame): void {
    sendFrame(this.socket, frame);
  }

  /** Describes the node, as unavailable once this link is closing. */
  private describeReport(): NodeReport {
    const {report} = this.parts.describeSelf();
    if (this.phase === LinkPhase.OPEN) return report;
    return {...report, load: {...report.load, isAvailable: false}};
  }

  /** Ends the link, unless it has resumed calls meanwhile. */
  private endWithoutCalls(): void {
    if (this.session.countRunning() === 0) this.end();
  }

  private end(): void {
    if (this.phase === LinkPhase.ENDED) return;
    if (this.peerRevision >= GOODBYE_REVISION) {
      this.send({kind: FrameKind.GOODBYE});
    }
    this.phase = LinkPhase.ENDED;
    this.socket.setTimeout(CLOSING_SILENCE_MS);
    this.socket.end();
  }

  private receive(frame: Frame): void {
    const send: FrameSender = (answer) => this.send(answer);
    switch (frame.kind) {
      case FrameKind.HELLO:
        this.peerRevision = frame.revision;
        this.peerName = frame.node.node;
        this.openSession(frame);
        this.isSameService =
          frame.node.service === this.parts.describeSelf().node.service;
        // Must precede the HELLO, after which the peer may count as started.
        this.sendSuspects(this.parts.listSuspects());
        for (const notice of this.parts.listNotices(frame.node))
          this.sendNotice(notice);
        send({
          kind: FrameKind.HELLO,
          node: this.parts.describeSelf().node,
          report: this.describeReport(),
          revision: FRAME_REVISION,
          epoch:
            this.sessionName === undefined ? undefined : this.session.epoch,
        });
        this.parts.handleHello(frame.node);
        this.parts.handlePeerVersion(frame.report.configurationVersion, this);
        return;
      case FrameKind.PING:
        this.measureDelay(frame.sentMs);
        this.sendReport();
        this.parts.handlePeerVersion(frame.report.configurationVersion, this);
        return;
      case FrameKind.CANCEL:
        this.session.cancel(frame.id);
        return;
      case FrameKind.RESUME:
        if (this.sessionName === undefined)
          this.session.refuseResume(frame.pendingIds);
        else this.session.resume(frame.pendingIds);
        send({kind: FrameKind.RESUMED});
        return;
      case FrameKind.GET_CONFIGURATION: {
        const content = this.parts.readConfiguration();
        if (content) send({kind: FrameKind.CONFIGURATION, content});
        return;
      }
      case FrameKind.CONFIGURATION:
        this.parts.handleConfiguration(frame.content);
        return;
      case FrameKind.SUSPECTS:
        this.parts.handleSuspects(frame.suspects);
        return;
      case FrameKind.LEAVINGS:
        this.parts.handleNotice(frame.notice);
        return;
      case FrameKind.TOKENS_ASK: {
        if (this.peerName === undefined) return;
        const {answerTokens} = this.parts;
        const message = answerTokens(this.peerName, frame.message);
        send({kind: FrameKind.TOKENS_GRANT, message});
        return;
      }
      case FrameKind.GET_NODES:
        send({kind: FrameKind.NODES, nodes: this.parts.listNodes()});
        return;
      default:
        this.parts.handleFault(`frame of kind ${frame.kind} is not expected`);
    }
  }

  private openSession({node, session, revision}: HelloFrame): void {
    if (session === undefined || this.sessionName !== undefined) return;
    if (revision < RESUME_REVISION) return;
    this.sessionName = `${node.incarnation} ${session}`;
    this.session = this.sessions.open(this.sessionName, this);
  }

  /** The calls of a named session wait for its next link. */
  private closeSession(): void {
    const {session, sessionName} = this;
    if (session.link !== this) return;
    if (sessionName === undefined) session.cancelAll();
    else this.sessions.release(sessionName, session);
  }

  /** Counts the time that a call has waited on its way as used. */
  private receiveCall(
    {id, call, sentMs, acknowledgedIds}: CallFrame,
    release: () => void,
  ): void {
    this.session.removeAcknowledged(acknowledgedIds ?? []);
    const lateMs = this.measureDelay(sentMs);
    if (lateMs <= LATE_READ_MS) {
      this.start(id, call, release);
      return;
    }
    const leftMs = call.leftMs - lateMs;
    const usefulMs = call.usefulMs - lateMs;
    let isCancelled = false;
    this.session.add(id, {
      cancel: () => {
        isCancelled = true;
        release();
      },
      isWaiting: () => true,
    });
    runAfterNextRead(() => {
      if (!isCancelled) this.start(id, {...call, leftMs, usefulMs}, release);
    });
  }

  /** Returns how much longer than usual a frame has taken, ms. */
  private measureDelay(sentMs: number | undefined): number {
    const {clock, findEarliestArrivalMs} = this.parts;
    const nowMs = clock.readMs();
    const behindMs = nowMs - findEarliestArrivalMs();
    if (sentMs === undefined) return behindMs;
    return Math.max(behindMs, this.transitDelay.observe(sentMs, nowMs));
  }

  private start(id: number, call: OutgoingCall, release: () => void): void {
    const {session} = this;
    if (this.phase !== LinkPhase.OPEN) {
      release();
      session.settle(id, createClosingRefusal());
      return;
    }
    let isSettled = false;
    const pending = this.parts.offer(call, (result) => {
      isSettled = true;
      release();
      session.settle(id, result);
    });
    if (isSettled) return;
    const isWaiting = () => pending.isWaiting?.() ?? false;
    session.add(id, {
      cancel: () => {
        // A call that waits has no result when it is cancelled.
        if (isWaiting()) release();
        pending.cancel();
      },
      isWaiting,
    });
  }

  /** Refuses a call whose body was not kept; it has not run. */
  private refuseSkipped(id: number): void {
    const reason = GateReason.MEMORY_FULL;
    this.session.settle(
      id,
      createFailure(SendEnd.REFUSED_BY_GATE, reason, NO_MEMBER_RETRY_MS),
    );
  }

  handleCallEnd(): void {
    if (this.phase !== LinkPhase.CLOSING) return;
    if (this.session.countRunning() > 0) return;
    if (this.peerRevision >= GOODBYE_REVISION) this.end();
    // Without GOODBYE, calls already on their way must be read and refused.
    else setTimeout(() => this.endWithoutCalls(), CLOSING_REFUSAL_MS);
  }

  sendResult(id: number, result: CallResult): void {
    const report = this.describeReport();
    const queuedBytes = this.socket.writableLength + result.body.length;
    const isTooMuch = queuedBytes > this.parts.maxOutputBytes;
    const sent = isTooMuch
      ? createFailure(SendEnd.LOST, GateReason.MEMORY_FULL)
      : result;
    this.send({kind: FrameKind.RESULT, id, result: sent, report});
  }
}
