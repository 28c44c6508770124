/** Accepts links of other nodes and runs the calls that arrive on them. */
import type {Server, Socket} from 'node:net';
import {createServer} from 'node:net';
import {ACCEPTED_SILENCE_MS} from '../constants.js';
import type {
  CallResult,
  NodeRecord,
  NodeReport,
  OutgoingCall,
  PendingCall,
  ResultHandler,
} from '../types.js';
import type {ByteBudget} from './byteBudget.js';
import type {Frame} from './peerFrames.js';
import {FrameKind, FrameReader, sendFrame} from './peerFrames.js';

/** What the server needs of the node. */
export interface PeerServerParts {
  readonly describeSelf: () => {node: NodeRecord; report: NodeReport};
  readonly offer: (call: OutgoingCall, handle: ResultHandler) => PendingCall;
  readonly handleHello: (node: NodeRecord) => void;
  readonly handlePeerVersion: (version: number, send: FrameSender) => void;
  readonly handleConfiguration: (content: Uint8Array) => void;
  readonly readConfiguration: () => Uint8Array | undefined;
  readonly listNodes: () => readonly NodeRecord[];
  readonly handleFault: (message: string) => void;
  /** Bytes of unfinished frames, of all links together. */
  readonly frameBudget: ByteBudget<FrameReader>;
}

/** Sends a frame over a link that is open. */
export type FrameSender = (frame: Frame) => void;

/** Owns the accepted sockets. */
export class PeerServer {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(private readonly parts: PeerServerParts) {
    this.server = createServer({noDelay: true}, (socket) =>
      this.accept(socket),
    );
  }

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({host, port, backlog: 511}, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /** Tells all callers at once what has changed. */
  announceReport(): void {
    const {report} = this.parts.describeSelf();
    for (const socket of this.sockets) {
      sendFrame(socket, {kind: FrameKind.REPORT, report});
    }
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.setTimeout(ACCEPTED_SILENCE_MS, () => socket.destroy());
    const running = new Map<number, PendingCall>();
    const reader = new FrameReader({
      handle: (frame) => this.receive(socket, running, frame),
      budget: this.parts.frameBudget,
      handleExcess: (message) => {
        this.parts.handleFault(message);
        socket.destroy();
      },
    });
    socket.on('data', (chunk) => {
      try {
        reader.add(chunk);
      } catch (error) {
        this.parts.handleFault(`bad frame: ${(error as Error).message}`);
        socket.destroy();
      }
    });
    socket.on('error', (error) => {
      this.parts.handleFault(`link of a peer failed: ${error.message}`);
    });
    socket.on('close', () => {
      this.sockets.delete(socket);
      reader.close();
      for (const call of running.values()) call.cancel();
    });
  }

  private receive(
    socket: Socket,
    running: Map<number, PendingCall>,
    frame: Frame,
  ): void {
    const send: FrameSender = (answer) => sendFrame(socket, answer);
    switch (frame.kind) {
      case FrameKind.HELLO:
        send({kind: FrameKind.HELLO, ...this.parts.describeSelf()});
        this.parts.handleHello(frame.node);
        this.parts.handlePeerVersion(frame.report.configurationVersion, send);
        return;
      case FrameKind.PING:
        send({
          kind: FrameKind.REPORT,
          report: this.parts.describeSelf().report,
        });
        this.parts.handlePeerVersion(frame.report.configurationVersion, send);
        return;
      case FrameKind.CALL:
        this.start(socket, running, frame.id, frame.call);
        return;
      case FrameKind.CANCEL:
        running.get(frame.id)?.cancel();
        running.delete(frame.id);
        return;
      case FrameKind.GET_CONFIGURATION: {
        const content = this.parts.readConfiguration();
        if (content) send({kind: FrameKind.CONFIGURATION, content});
        return;
      }
      case FrameKind.CONFIGURATION:
        this.parts.handleConfiguration(frame.content);
        return;
      case FrameKind.GET_NODES:
        send({kind: FrameKind.NODES, nodes: this.parts.listNodes()});
        return;
      default:
        this.parts.handleFault(`frame of kind ${frame.kind} is not expected`);
    }
  }

  private start(
    socket: Socket,
    running: Map<number, PendingCall>,
    id: number,
    call: OutgoingCall,
  ): void {
    let isSettled = false;
    const settle = (result: CallResult) => {
      isSettled = true;
      running.delete(id);
      const {report} = this.parts.describeSelf();
      sendFrame(socket, {kind: FrameKind.RESULT, id, result, report});
    };
    const pending = this.parts.offer(call, settle);
    if (!isSettled) running.set(id, pending);
  }
}
