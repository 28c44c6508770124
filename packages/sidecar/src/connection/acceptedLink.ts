/** A link that another node has dialled, and the calls that run for it. */
import type {Socket} from 'node:net';
import type {CrashSuspect} from 'sycamoreyoke/process/crashRegister';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {
  ACCEPTED_SILENCE_MS,
  CLOSING_REFUSAL_MS,
  CLOSING_SILENCE_MS,
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
import type {ConfigurationPeer} from '../process/configurationTask.js';
import type {ByteBudget} from './byteBudget.js';
import type {Frame} from './peerFrames.js';
import {FrameReader} from './frameReader.js';
import {
  FRAME_REVISION,
  FrameKind,
  GOODBYE_REVISION,
  TOLERANT_REVISION,
  sendFrame,
} from './peerFrames.js';
import {createClosingRefusal, createFailure} from './peerLink.js';

/** What the link needs of the node. */
export interface AcceptedLinkParts {
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
  /** Bytes of unfinished frames, of all links together. */
  readonly frameBudget: ByteBudget<FrameReader>;
}

/** Sends a frame over a link that is open. */
export type FrameSender = (frame: Frame) => void;

enum LinkPhase {
  OPEN = 'open',
  /** Calls that run are finished, others are refused. */
  CLOSING = 'closing',
  /** All frames are written; what still arrives is discarded. */
  ENDED = 'ended',
}

/** Owns an accepted socket. */
export class AcceptedLink {
  private phase = LinkPhase.OPEN;
  private peerRevision = 0;
  /** The node at the other end is of the same service. */
  private isSameService = false;
  private readonly running = new Map<number, PendingCall>();

  constructor(
    private readonly socket: Socket,
    private readonly parts: AcceptedLinkParts,
    handleClose: () => void,
  ) {
    socket.setTimeout(ACCEPTED_SILENCE_MS, () => socket.destroy());
    const reader = new FrameReader({
      handle: (frame) => this.receive(frame),
      budget: this.parts.frameBudget,
      handleExcess: (message) => {
        this.parts.handleFault(message);
        socket.destroy();
      },
    });
    socket.on('data', (chunk) => {
      // Unread bytes would make the close a reset, which discards results.
      if (this.phase === LinkPhase.ENDED) return;
      try {
        reader.add(chunk);
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
      for (const call of this.running.values()) call.cancel();
    });
  }

  /** Sends a frame that expects no result, if the link is open. */
  write(frame: Frame): boolean {
    const isOpen = this.phase === LinkPhase.OPEN && this.socket.writable;
    if (isOpen) this.send(frame);
    return isOpen;
  }

  /** Tells the peer what has changed. */
  sendReport(): void {
    this.send({kind: FrameKind.REPORT, report: this.describeReport()});
  }

  /** Tells a node of the service of requests that were in flight at crashes. */
  sendSuspects(suspects: readonly CrashSuspect[]): void {
    const isUnderstood = this.peerRevision >= TOLERANT_REVISION;
    if (!this.isSameService || !isUnderstood || suspects.length === 0) return;
    this.send({kind: FrameKind.SUSPECTS, suspects});
  }

  /** Refuses new calls and ends the link after the last result. */
  close(): void {
    if (this.phase !== LinkPhase.OPEN) return;
    this.phase = LinkPhase.CLOSING;
    this.sendReport();
    this.finishClose();
  }

  /** Gives up the calls that wait at the gate. */
  refuseWaiting(): void {
    for (const [id, call] of [...this.running]) {
      if (!call.isWaiting?.()) continue;
      this.running.delete(id);
      call.cancel();
      this.sendResult(id, createClosingRefusal());
    }
    this.finishClose();
  }

  /** Gives up the calls that still run, which may have had effects. */
  cancelRunning(): void {
    for (const [id, call] of [...this.running]) {
      call.cancel();
      if (!this.running.delete(id)) continue;
      this.sendResult(id, createFailure(SendEnd.LOST, GateReason.LINK_LOST));
    }
    this.end();
  }

  disconnect(): void {
    this.socket.destroy();
  }

  private send(frame: Frame): void {
    sendFrame(this.socket, frame);
  }

  /** A link that closes takes no calls, whatever the node's own load is. */
  private describeReport(): NodeReport {
    const {report} = this.parts.describeSelf();
    if (this.phase === LinkPhase.OPEN) return report;
    return {...report, load: {...report.load, isAvailable: false}};
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
        this.isSameService =
          frame.node.service === this.parts.describeSelf().node.service;
        // Before the HELLO, with which the peer may count as started.
        this.sendSuspects(this.parts.listSuspects());
        send({
          kind: FrameKind.HELLO,
          node: this.parts.describeSelf().node,
          report: this.describeReport(),
          revision: FRAME_REVISION,
        });
        this.parts.handleHello(frame.node);
        this.parts.handlePeerVersion(frame.report.configurationVersion, this);
        return;
      case FrameKind.PING:
        this.sendReport();
        this.parts.handlePeerVersion(frame.report.configurationVersion, this);
        return;
      case FrameKind.CALL:
        this.start(frame.id, frame.call);
        return;
      case FrameKind.CANCEL:
        this.cancel(frame.id);
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
      case FrameKind.GET_NODES:
        send({kind: FrameKind.NODES, nodes: this.parts.listNodes()});
        return;
      default:
        this.parts.handleFault(`frame of kind ${frame.kind} is not expected`);
    }
  }

  private start(id: number, call: OutgoingCall): void {
    if (this.phase !== LinkPhase.OPEN) {
      this.sendResult(id, createClosingRefusal());
      return;
    }
    let isSettled = false;
    const pending = this.parts.offer(call, (result) => {
      isSettled = true;
      this.running.delete(id);
      this.sendResult(id, result);
      this.finishClose();
    });
    if (!isSettled) this.running.set(id, pending);
  }

  private cancel(id: number): void {
    this.running.get(id)?.cancel();
    this.running.delete(id);
    this.finishClose();
  }

  private finishClose(): void {
    if (this.phase !== LinkPhase.CLOSING || this.running.size > 0) return;
    if (this.peerRevision >= GOODBYE_REVISION) this.end();
    // Calls that cross the close can be refused only while it reads them.
    else setTimeout(() => this.end(), CLOSING_REFUSAL_MS);
  }

  private sendResult(id: number, result: CallResult): void {
    const report = this.describeReport();
    this.send({kind: FrameKind.RESULT, id, result, report});
  }
}
