/** Owns the links to other nodes and chooses the node for each call. */
import type {Clock} from 'sycamoreyoke/clock';
import type {CrashSuspect} from 'sycamoreyoke/process/crashRegister';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {
  PlacementCandidate,
  UpstreamLoad,
} from 'sycamoreyoke/process/placement';
import {choosePlacement} from 'sycamoreyoke/process/placement';
import type {ByteBudget} from '../connection/byteBudget.js';
import type {FrameReader} from '../connection/frameReader.js';
import {FrameKind} from '../connection/peerFrames.js';
import type {LinkEvents} from '../connection/peerLink.js';
import {PeerLink} from '../connection/peerLink.js';
import {chooseSubset, findSuccessor} from 'sycamoreyoke/process/linkSubset';
import type {Random} from 'sycamoreyoke/random';
import {sampleEvenly} from 'sycamoreyoke/random';
import {
  ANNOUNCED_LINKS,
  AVOID_MS,
  DOUBT_PAUSE_MS,
  LINK_BOUNDS,
  LINK_TICK_MS,
  LINK_UPDATE_MS,
} from '../constants.js';
import type {
  NodeRecord,
  NodeReport,
  OutgoingCall,
  PendingCall,
  ResultHandler,
} from '../types.js';

import type {ConfigurationPeer} from './configurationTask.js';

/** What the task is built from. */
export interface PeerTaskParts {
  readonly self: NodeRecord;
  readonly clock: Clock;
  readonly record: EventRecorder;
  readonly describeReport: () => NodeReport;
  /** The gate of this node, which needs no link. */
  readonly offerLocally: (
    call: OutgoingCall,
    handle: ResultHandler,
  ) => PendingCall;
  readonly handlePeerVersion: (
    version: number,
    peer: ConfigurationPeer,
  ) => void;
  /** A link has gone silent, and maybe the connections to the store too. */
  readonly handleSilence: () => void;
  readonly handleConfiguration: (content: Uint8Array) => void;
  readonly handleNode: (node: NodeRecord) => void;
  /** Another node answers at the address of this one. */
  readonly handleReplaced: (node: NodeRecord) => void;
  readonly listSuspects: () => readonly CrashSuspect[];
  readonly handleSuspects: (suspects: readonly CrashSuspect[]) => void;
  /** Whether the node list has to come from peers now. */
  readonly needsNodes: () => boolean;
  /** Bytes of unfinished frames, of all links together. */
  readonly frameBudget: ByteBudget<FrameReader>;
}

/** A node that was chosen for a call. */
export interface ChosenNode {
  readonly node: string;
  send(call: OutgoingCall, handle: ResultHandler): PendingCall;
  /** Keeps new calls away from the node for a moment. */
  avoid(): void;
  /** Takes note of the time of a request of a kind. */
  observe(kind: string, elapsedMs: number): void;
}

/** Weight of a new sample in the mean time of a kind at a node. */
const TIME_WEIGHT = 0.15;

/** Keeps a link to each node that is called. */
export class PeerTask {
  private readonly links = new Map<string, PeerLink>();
  /** Links that are closed once their last call has ended. */
  private readonly retired = new Set<PeerLink>();
  private linksByService: ReadonlyMap<string, readonly PeerLink[]> = new Map();
  /** Mean time of each kind of request, by node. */
  private readonly times = new Map<string, Map<string, number>>();
  private localAvoidedUntilMs = 0;
  private doubtedMs = -Infinity;
  private nodes: readonly NodeRecord[] = [];
  private updateTimer: NodeJS.Timeout | undefined;
  private isStopped = false;

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly parts: PeerTaskParts) {
    this.timer = setInterval(() => this.tick(), LINK_TICK_MS);
  }

  /** Follows the list of nodes; changes in quick succession are one update. */
  update(nodes: readonly NodeRecord[]): void {
    this.nodes = nodes;
    if (this.isStopped) return;
    this.updateTimer ??= setTimeout(() => {
      this.updateTimer = undefined;
      this.applyNodes(this.nodes);
    }, LINK_UPDATE_MS);
  }

  private applyNodes(nodes: readonly NodeRecord[]): void {
    const wanted = new Map(
      this.chooseLinked(nodes).map((node) => [node.node, node]),
    );
    for (const [name, link] of this.links) {
      const node = wanted.get(name);
      if (node && isSameProcess(node, link.node)) wanted.delete(name);
      else this.close(name, link);
    }
    for (const [name, node] of wanted) {
      const {clock, frameBudget} = this.parts;
      const link = new PeerLink(node, clock, this.events, frameBudget);
      this.links.set(name, link);
    }
    this.linksByService = collectByService(
      this.links.values(),
      ({node}) => node.service,
    );
  }

  /** Some nodes of each service, and the one whose row this node keeps. */
  private chooseLinked(nodes: readonly NodeRecord[]): readonly NodeRecord[] {
    const {self} = this.parts;
    const others = nodes.filter(({node}) => node !== self.node);
    const byService = collectByService(others, ({service}) => service);
    const chosen = new Set(
      [...byService.values()].flatMap((group) =>
        chooseSubset(self, group, LINK_BOUNDS),
      ),
    );
    const successor = findSuccessor(self.node, others);
    return [...(successor ? chosen.add(successor) : chosen)];
  }

  /** The best node for a call, or none. */
  choose(
    service: string,
    kind: string,
    bodyBytes: number,
    mayChoose: (node: string) => boolean,
  ): ChosenNode | undefined {
    const candidates = this.listCandidates(service, kind, mayChoose);
    const nowMs = this.parts.clock.readMs();
    const chosen = choosePlacement(candidates, {bodyBytes, nowMs});
    return chosen && this.createChosen(chosen.node);
  }

  /** Tells some nodes of the version in force. */
  announceVersion(random: Random): void {
    const links = [...this.links.values()].filter((link) => link.isOpen());
    for (const link of sampleEvenly(random, links, ANNOUNCED_LINKS)) {
      link.probe();
    }
  }

  /** Asks all links for a sign of life, after one connection gave none. */
  probeAll(): void {
    const nowMs = this.parts.clock.readMs();
    if (nowMs - this.doubtedMs < DOUBT_PAUSE_MS) return;
    this.doubtedMs = nowMs;
    for (const link of this.links.values()) link.probe();
  }

  /** Tells the nodes of the own service that this one calls. */
  sendSuspects(suspects: readonly CrashSuspect[]): void {
    const {service} = this.parts.self;
    for (const link of this.linksByService.get(service) ?? []) {
      link.sendSuspects(suspects);
    }
  }

  /** Nodes that have not answered for a time. */
  listUnreachable(silentMs: number): ReadonlySet<string> {
    const nowMs = this.parts.clock.readMs();
    return new Set(
      [...this.links.values()]
        .filter((link) => !link.isOpen() && nowMs - link.lostMs >= silentMs)
        .map(({node}) => node.node),
    );
  }

  /** Services with a node that can be called now. */
  listLinkedServices(): ReadonlySet<string> {
    const open = [...this.links.values()].filter((link) => link.isOpen());
    return new Set(open.map(({node}) => node.service));
  }

  countOpen(): number {
    return [...this.links.values()].filter((link) => link.isOpen()).length;
  }

  stop(): void {
    this.isStopped = true;
    clearInterval(this.timer);
    clearTimeout(this.updateTimer);
    for (const link of [...this.links.values(), ...this.retired]) link.stop();
    this.links.clear();
    this.retired.clear();
  }

  private tick(): void {
    for (const link of this.links.values()) link.tick();
    for (const link of this.retired) {
      link.tick();
      if (link.isEnded()) this.retired.delete(link);
    }
  }

  private listCandidates(
    service: string,
    kind: string,
    mayChoose: (node: string) => boolean,
  ): PlacementCandidate[] {
    const {self} = this.parts;
    const candidates: PlacementCandidate[] = [];
    if (service === self.service && mayChoose(self.node)) {
      const {load} = this.parts.describeReport();
      candidates.push(this.describeCandidate(self, kind, load, undefined));
    }
    for (const link of this.linksByService.get(service) ?? []) {
      const {node, report} = link;
      if (!report || !link.isOpen() || !mayChoose(node.node)) continue;
      candidates.push(this.describeCandidate(node, kind, report.load, link));
    }
    return candidates;
  }

  private describeCandidate(
    node: NodeRecord,
    kind: string,
    load: UpstreamLoad,
    link: PeerLink | undefined,
  ): PlacementCandidate {
    return {
      node: node.node,
      isSameDataCentre: node.dataCentre === this.parts.self.dataCentre,
      load,
      sentSinceReport: link?.sentSinceReport ?? 0,
      observedMs: this.times.get(node.node)?.get(kind),
      avoidedUntilMs: link?.avoidedUntilMs ?? this.localAvoidedUntilMs,
    };
  }

  private createChosen(node: string): ChosenNode {
    const link = this.links.get(node);
    return {
      node,
      send: (call, handle) =>
        link ? link.send(call, handle) : this.parts.offerLocally(call, handle),
      avoid: () => {
        const untilMs = this.parts.clock.readMs() + AVOID_MS;
        if (link) link.avoidedUntilMs = untilMs;
        else this.localAvoidedUntilMs = untilMs;
      },
      observe: (kind, elapsedMs) => this.observe(node, kind, elapsedMs),
    };
  }

  private observe(node: string, kind: string, elapsedMs: number): void {
    const times = this.times.get(node) ?? new Map<string, number>();
    this.times.set(node, times);
    const knownMs = times.get(kind) ?? elapsedMs;
    times.set(kind, knownMs + TIME_WEIGHT * (elapsedMs - knownMs));
  }

  private close(name: string, link: PeerLink): void {
    link.retire();
    if (!link.isEnded()) this.retired.add(link);
    this.links.delete(name);
    this.times.delete(name);
  }

  private readonly events: LinkEvents = {
    describeSelf: () => ({
      node: this.parts.self,
      report: this.parts.describeReport(),
    }),
    handleReport: (link, {configurationVersion}) => {
      this.parts.handlePeerVersion(configurationVersion, link);
    },
    handleHello: (link, node) => {
      if (!isSameProcess(node, link.node)) this.parts.handleNode(node);
      if (node.node !== link.node.node) this.parts.handleReplaced(link.node);
      if (node.service === this.parts.self.service) {
        link.sendSuspects(this.parts.listSuspects());
      }
      if (this.parts.needsNodes()) link.write({kind: FrameKind.GET_NODES});
    },
    handleFrame: (_link, frame) => {
      if (frame.kind === FrameKind.CONFIGURATION) {
        this.parts.handleConfiguration(frame.content);
      } else if (frame.kind === FrameKind.SUSPECTS) {
        this.parts.handleSuspects(frame.suspects);
      } else if (frame.kind === FrameKind.NODES) {
        for (const node of frame.nodes) this.parts.handleNode(node);
      }
    },
    handleUp: (link) => {
      this.parts.record(EventCode.LINK_UP, {
        node: link.node.node,
        service: link.node.service,
      });
    },
    handleDown: (link, message) => {
      this.parts.record(EventCode.LINK_DOWN, {
        node: link.node.node,
        service: link.node.service,
        message,
      });
    },
    handleSilence: () => this.parts.handleSilence(),
    handleClosing: (link, calls) => {
      this.parts.record(EventCode.LINK_CLOSING, {
        node: link.node.node,
        service: link.node.service,
        calls,
      });
    },
  };
}

function collectByService<T>(
  items: Iterable<T>,
  readService: (item: T) => string,
): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const service = readService(item);
    const group = groups.get(service);
    if (group) group.push(item);
    else groups.set(service, [item]);
  }
  return groups;
}

function isSameProcess(first: NodeRecord, second: NodeRecord): boolean {
  return (
    first.node === second.node &&
    first.incarnation === second.incarnation &&
    first.address.host === second.address.host &&
    first.address.port === second.address.port
  );
}
