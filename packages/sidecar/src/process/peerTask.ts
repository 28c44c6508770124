/** Manages the links to other nodes and chooses the node for each call. */
import type {AskMessage} from 'sycamoreyoke/process/allotment/allotmentNode';
import type {CrashSuspect} from 'sycamoreyoke/process/crashRegister';
import type {
  PlacementCandidate,
  UpstreamLoad,
} from 'sycamoreyoke/process/placement';
import {choosePlacement} from 'sycamoreyoke/process/placement';
import type {ServiceObservation} from 'sycamoreyoke/process/serviceEstimate';
import {
  computeServiceMs,
  updateObservation,
} from 'sycamoreyoke/process/serviceEstimate';
import {FrameKind, TOKENS_REVISION} from '../connection/frame.js';
import type {LinkEvents} from '../connection/linkEvents.js';
import {PeerLink} from '../connection/peerLink.js';
import {
  createLinkEvents,
  isSameProcess,
  sendSuspectsTo,
} from './peerLinkEvents.js';
import type {PeerTaskParts} from './peerTaskParts.js';
import {chooseSubset, findSuccessor} from 'sycamoreyoke/process/linkSubset';
import type {Random} from 'sycamoreyoke/random';
import {sampleEvenly} from 'sycamoreyoke/random';
import {
  ANNOUNCED_LINKS,
  AVOID_MS,
  MIN_PROBE_ALL_INTERVAL_MS,
  LINK_BOUNDS,
  LINK_TICK_MS,
  LINK_UPDATE_MS,
} from '../constants.js';
import type {
  NodeRecord,
  OutgoingCall,
  PendingCall,
  ResultHandler,
} from '../types.js';

import {collectByService} from './serviceGroups.js';

/** The node chosen for a call. */
export interface ChosenNode {
  readonly node: string;
  send(call: OutgoingCall, handle: ResultHandler): PendingCall;
  /** Makes new calls avoid the node for AVOID_MS. */
  avoid(): void;
  /** Records how long a request of a kind took at the node. */
  observe(kind: string, elapsedMs: number): void;
}

/** Keeps links to the nodes that this one may call. */
export class PeerTask {
  private readonly links = new Map<string, PeerLink>();
  /** Links to nodes that left the list, kept open until their calls end. */
  private readonly retiredLinks = new Set<PeerLink>();
  private linksByService: ReadonlyMap<string, readonly PeerLink[]> = new Map();
  /** Measured times of each kind of request, by node. */
  private readonly observations = new Map<
    string,
    Map<string, ServiceObservation>
  >();
  /** Nodes that own accounts, if this node is one of them. */
  private fellowOwners: ReadonlySet<string> = new Set();
  private localAvoidedUntilMs = 0;
  private lastProbeAllMs = -Infinity;
  private nodes: readonly NodeRecord[] = [];
  private updateTimer: NodeJS.Timeout | undefined;
  private isStopped = false;

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly parts: PeerTaskParts) {
    this.events = createLinkEvents(parts, (node) =>
      this.fellowOwners.has(node),
    );
    this.timer = setInterval(() => this.tick(), LINK_TICK_MS);
  }

  /** Updates the links to match the list of nodes; debounces the changes. */
  update(nodes: readonly NodeRecord[]): void {
    this.nodes = nodes;
    if (this.isStopped) return;
    this.updateTimer ??= setTimeout(() => {
      this.updateTimer = undefined;
      this.applyNodes(this.nodes);
    }, LINK_UPDATE_MS);
  }

  private applyNodes(nodes: readonly NodeRecord[]): void {
    const callable = this.chooseNodesToLink(nodes);
    const callableNames = new Set(callable.map(({node}) => node));
    const nodesToDial = new Map(
      [...callable, ...this.listOwners(nodes)].map((node) => [node.node, node]),
    );
    for (const [name, link] of this.links) {
      const node = nodesToDial.get(name);
      if (node && isSameProcess(node, link.node)) nodesToDial.delete(name);
      else this.closeLink(name, link);
    }
    for (const [name, node] of nodesToDial) {
      const {clock, held} = this.parts;
      const link = new PeerLink(node, clock, this.events, held);
      this.links.set(name, link);
    }
    this.linksByService = collectByService(
      [...this.links.values()].filter(({node}) => callableNames.has(node.node)),
      ({node}) => node.service,
    );
  }

  /**
   * Lists the other nodes that own accounts. All nodes link them, so they get
   * calls only from those that have chosen them for calls.
   */
  private listOwners(nodes: readonly NodeRecord[]): readonly NodeRecord[] {
    const self = this.parts.self.node;
    const owners = this.parts.chooseOwners(nodes);
    this.fellowOwners = owners.has(self) ? owners : new Set();
    return nodes.filter(({node}) => owners.has(node) && node !== self);
  }

  /**
   * Chooses some nodes of each service, and the successor in the order of
   * names, which this node watches in order to remove its row when it is gone.
   */
  private chooseNodesToLink(
    nodes: readonly NodeRecord[],
  ): readonly NodeRecord[] {
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

  /** Whether a node can be asked for tokens; undefined if it is not linked. */
  isAskable(node: string): boolean | undefined {
    const link = this.links.get(node);
    return link?.isOpen() ? link.peerRevision >= TOKENS_REVISION : undefined;
  }

  /** Asks a node for tokens of client accounts. */
  sendAsk(node: string, message: AskMessage): void {
    this.links.get(node)?.write({kind: FrameKind.TOKENS_ASK, message});
  }

  /** Chooses the best node for a call, or none if no node can take it. */
  choose(
    service: string,
    kind: string,
    bodyBytes: number,
    mayChoose: (node: string) => boolean,
  ): ChosenNode | undefined {
    const candidates = this.listCandidates(service, kind, mayChoose);
    const nowMs = this.parts.clock.readMs();
    const {random} = this.parts;
    const placement = {bodyBytes, nowMs, random};
    const chosen = choosePlacement(candidates, placement);
    return chosen && this.createChosenNode(chosen.node);
  }

  /** Announces the active configuration version to some nodes. */
  announceVersion(random: Random): void {
    const links = [...this.links.values()].filter((link) => link.isOpen());
    for (const link of sampleEvenly(random, links, ANNOUNCED_LINKS)) {
      link.probe();
    }
  }

  /** Pings all links, after one connection has turned out to be silent. */
  probeAll(): void {
    const nowMs = this.parts.clock.readMs();
    if (nowMs - this.lastProbeAllMs < MIN_PROBE_ALL_INTERVAL_MS) return;
    this.lastProbeAllMs = nowMs;
    for (const link of this.links.values()) link.probe();
  }

  /** Sends suspects to the linked nodes of this node's service. */
  sendSuspects(suspects: readonly CrashSuspect[]): void {
    const {service} = this.parts.self;
    for (const link of this.linksByService.get(service) ?? []) {
      sendSuspectsTo(link, suspects);
    }
  }

  /** Lists the nodes whose links have been down for at least this long. */
  listUnreachable(silentMs: number): ReadonlySet<string> {
    const nowMs = this.parts.clock.readMs();
    return new Set(
      [...this.links.values()]
        .filter((link) => !link.isOpen() && nowMs - link.lostMs >= silentMs)
        .map(({node}) => node.node),
    );
  }

  isLinked(node: string): boolean {
    return this.links.get(node)?.isOpen() ?? false;
  }

  /** Lists the services that have at least one node with an open link. */
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
    for (const link of [...this.links.values(), ...this.retiredLinks])
      link.stop();
    this.links.clear();
    this.retiredLinks.clear();
  }

  private tick(): void {
    for (const link of this.links.values()) link.tick();
    for (const link of this.retiredLinks) {
      link.tick();
      if (link.isEnded()) this.retiredLinks.delete(link);
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
      observedMs: computeServiceMs(
        this.observations.get(node.node)?.get(kind),
        load.meanServiceMs,
        this.parts.clock.readMs(),
      ),
      avoidedUntilMs: link?.avoidedUntilMs ?? this.localAvoidedUntilMs,
    };
  }

  private createChosenNode(node: string): ChosenNode {
    const link = this.links.get(node);
    return {
      node,
      send: (call, handle) =>
        link
          ? link.send(call, handle, this.readMeanMs(node, call.kind))
          : this.parts.offerLocally(call, handle),
      avoid: () => {
        const untilMs = this.parts.clock.readMs() + AVOID_MS;
        if (link) link.avoidedUntilMs = untilMs;
        else this.localAvoidedUntilMs = untilMs;
      },
      observe: (kind, elapsedMs) => this.observe(node, kind, elapsedMs),
    };
  }

  private readMeanMs(node: string, kind: string): number | undefined {
    return this.observations.get(node)?.get(kind)?.meanMs;
  }

  private observe(node: string, kind: string, elapsedMs: number): void {
    const byKind =
      this.observations.get(node) ?? new Map<string, ServiceObservation>();
    this.observations.set(node, byKind);
    const {load} = this.links.get(node)?.report ?? this.parts.describeReport();
    byKind.set(
      kind,
      updateObservation(byKind.get(kind), {
        elapsedMs,
        reportedMs: load.meanServiceMs,
        sampledMs: this.parts.clock.readMs(),
      }),
    );
  }

  private closeLink(name: string, link: PeerLink): void {
    link.retire();
    this.parts.linked.recordDown(link.node);
    if (!link.isEnded()) this.retiredLinks.add(link);
    this.links.delete(name);
    this.observations.delete(name);
  }

  private readonly events: LinkEvents;
}
