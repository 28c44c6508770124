/** Accepts links from other nodes, and closes them when the node stops. */
import type {Server, Socket} from 'node:net';
import {createServer} from 'node:net';
import type {CrashSuspect} from 'sycamoreyoke/process/crashRegister';
import type {Random} from 'sycamoreyoke/random';
import {sampleEvenly} from 'sycamoreyoke/random';
import {ANNOUNCED_LINKS, CLOSING_FLUSH_MS} from '../constants.js';
import type {LeavingNotice} from '../types.js';
import type {AcceptedLinkParts} from './acceptedLink.js';
import {AcceptedLink} from './acceptedLink.js';
import {LinkSessions} from './linkSessions.js';

/** Listens for links from other nodes and keeps track of them. */
export class PeerServer {
  private readonly server: Server;
  private readonly links = new Set<AcceptedLink>();
  private readonly sessions: LinkSessions;
  private isClosing = false;
  /** Set while close() waits for the last link to end. */
  private handleLastClosed: (() => void) | undefined;

  constructor(private readonly parts: AcceptedLinkParts) {
    this.sessions = new LinkSessions(parts.clock);
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

  /** Sends this node's report to all nodes that call it. */
  announceReport(): void {
    for (const link of this.links) link.sendReport();
  }

  /** Sends the report to some callers, which inform others. */
  announceVersion(random: Random): void {
    for (const link of sampleEvenly(random, [...this.links], ANNOUNCED_LINKS)) {
      link.sendReport();
    }
  }

  /** Sends suspects to the nodes of the same service that call this one. */
  sendSuspects(suspects: readonly CrashSuspect[]): void {
    for (const link of this.links) link.sendSuspects(suspects);
  }

  /** Sends a notice to all callers; returns how many of them keep it. */
  sendNotice(notice: LeavingNotice): number {
    return [...this.links].filter((link) => link.sendNotice(notice)).length;
  }

  /**
   * Refuses new calls, ends each link after the result of its last call and
   * waits until the peers have read everything, for the given time at most.
   */
  async close(withinMs: number): Promise<void> {
    this.isClosing = true;
    this.server.close();
    const flushMs = Math.max(0, withinMs - CLOSING_FLUSH_MS);
    const flushTimer = setTimeout(() => this.cancelRunning(), flushMs);
    const endTimer = setTimeout(() => this.disconnect(), withinMs);
    for (const link of this.links) link.close();
    await this.waitForLast();
    clearTimeout(flushTimer);
    clearTimeout(endTimer);
  }

  private accept(socket: Socket): void {
    if (this.isClosing) {
      socket.destroy();
      return;
    }
    const link: AcceptedLink = new AcceptedLink(
      socket,
      this.parts,
      this.sessions,
      () => {
        this.links.delete(link);
        if (this.links.size === 0) this.handleLastClosed?.();
      },
    );
    this.links.add(link);
  }

  private waitForLast(): Promise<void> {
    if (this.links.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.handleLastClosed = resolve;
    });
  }

  private cancelRunning(): void {
    // Cancelling a running call first would let a waiting one start.
    for (const link of this.links) link.refuseWaiting();
    for (const link of this.links) link.cancelRunning();
  }

  private disconnect(): void {
    for (const link of this.links) link.disconnect();
  }
}
