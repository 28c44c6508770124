/** Simulates the membership of many nodes and counts their messages. */
import {VirtualClock} from 'sycamoreyoke/clock';
import {createRandom, takeInteger} from 'sycamoreyoke/random';
import {reportByThrowing} from 'sycamoreyoke/invariants';
import {Membership} from 'sycamoreyoke/process/membership';
import {createUpdate} from 'sycamoreyoke/process/tableSync';
import type {Member} from 'sycamoreyoke/process/types';
import {MemberState} from 'sycamoreyoke/process/types';
import type {VirtualHost} from 'sycamoreyoke/process/virtualNetwork';
import {
  VirtualNetwork,
  VirtualState,
} from 'sycamoreyoke/process/virtualNetwork';
import {computeRequestBytes, computeResponseBytes} from './wireSize.js';

/** The 7 data centres of the target deployment, in regions a, b and c. */
const DATA_CENTRES = ['a1', 'a2', 'a3', 'b1', 'b2', 'c1', 'c2'];
const CROSS_REGION_DELAY_MS = 30;

/** The membership of a node, and its host in the simulated network. */
export interface FleetNode {
  readonly membership: Membership;
  readonly host: VirtualHost;
}

/** Messages of all nodes in an interval; bytes are without framing. */
export interface Traffic {
  readonly messages: number;
  readonly bytes: number;
  readonly byKind: ReadonlyMap<string, {messages: number; bytes: number}>;
}

/** A fleet in which each node knows all members of its service at start. */
export class MembershipFleet {
  readonly clock = new VirtualClock();
  readonly random = createRandom(23_000);
  readonly services: FleetNode[][] = [];
  /** Regions that are partitioned from all other regions. */
  readonly partitionedRegions = new Set<string>();
  private readonly network: VirtualNetwork;
  private byKind = new Map<string, {messages: number; bytes: number}>();

  constructor(services: number, members: number) {
    this.network = new VirtualNetwork({
      clock: this.clock,
      random: this.random,
      getDelayMs: (from, to) =>
        getRegion(from) === getRegion(to) ? 1 : CROSS_REGION_DELAY_MS,
      isLost: (from, to) =>
        getRegion(from) !== getRegion(to) &&
        (this.partitionedRegions.has(getRegion(from)) ||
          this.partitionedRegions.has(getRegion(to))),
      observeMessage: (_from, _to, message, isRequest) => {
        const size = isRequest
          ? computeRequestBytes(message as never)
          : computeResponseBytes(message as never);
        const kind = `${message.kind} ${isRequest ? 'request' : 'response'}`;
        const total = this.byKind.get(kind) ?? {messages: 0, bytes: 0};
        total.messages += 1;
        total.bytes += size;
        this.byKind.set(kind, total);
      },
    });
    for (let service = 0; service < services; service += 1) {
      this.services.push(this.createService(service, members));
    }
  }

  run(durationMs: number): void {
    this.network.run(durationMs);
  }

  /** Returns the traffic since the last call and resets it. */
  takeTraffic(): Traffic {
    const {byKind} = this;
    this.byKind = new Map();
    const sums = [...byKind.values()];
    const messages = sums.reduce((total, part) => total + part.messages, 0);
    const bytes = sums.reduce((total, part) => total + part.bytes, 0);
    return {messages, bytes, byKind};
  }

  /** Lets a node announce that it leaves. */
  startLeave(node: FleetNode): void {
    this.network.apply(node.host, node.membership.announceLeave());
  }

  /**
   * Replaces a node by a new process at the same address, which joins through
   * the contacts and becomes active after 1 s.
   */
  startReplacement(
    service: number,
    node: FleetNode,
    contacts: FleetNode[],
  ): FleetNode {
    const self = {
      ...node.membership.readSelf(),
      incarnation: this.createIncarnation(),
      counter: 0,
      state: MemberState.JOINING,
    };
    const replacement = this.createNode(self);
    const updates = contacts.map(({membership}) =>
      createUpdate(membership.readSelf()),
    );
    this.network.apply(replacement.host, replacement.membership.start(updates));
    this.network.schedule(1_000, () =>
      this.network.apply(
        replacement.host,
        replacement.membership.setState(MemberState.ACTIVE),
      ),
    );
    const nodes = this.services[service] ?? [];
    nodes[nodes.indexOf(node)] = replacement;
    return replacement;
  }

  /**
   * Runs until the condition holds, and returns the seconds that it took; -1 if
   * the limit is reached. Checks every 100 ms of virtual time.
   */
  measureSecondsUntil(isConverged: () => boolean, timeoutMs: number): number {
    const startMs = this.clock.readMs();
    while (this.clock.readMs() - startMs < timeoutMs) {
      if (isConverged()) return (this.clock.readMs() - startMs) / 1_000;
      this.run(100);
    }
    return -1;
  }

  /** Whether no other running node would still route to a removed node. */
  hasConvergedOnRemoved(removedNodes: readonly FleetNode[]): boolean {
    const removed = new Set(removedNodes);
    const members = removedNodes.map(({membership}) => membership.readSelf());
    return this.listRunning()
      .filter((node) => !removed.has(node))
      .every((node) =>
        members.every(
          ({incarnation}) => !node.membership.isUsable(incarnation),
        ),
      );
  }

  /** Whether each running node would route to the live nodes of its service. */
  hasConvergedOnLive(liveNodes: readonly FleetNode[]): boolean {
    const members = liveNodes.map(({membership}) => membership.readSelf());
    return this.listRunning().every((node) => {
      const self = node.membership.readSelf();
      return members.every(
        ({incarnation, service}) =>
          service !== self.service || node.membership.isUsable(incarnation),
      );
    });
  }

  listRunning(): FleetNode[] {
    return this.services
      .flat()
      .filter(
        ({host, membership}) =>
          host.state === VirtualState.RUNNING &&
          membership.readSelf().state === MemberState.ACTIVE,
      );
  }

  schedule(delayMs: number, run: () => void): void {
    this.network.schedule(delayMs, run);
  }

  private createService(service: number, count: number): FleetNode[] {
    const members = Array.from({length: count}, (_, index): Member => {
      const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length] ?? '';
      return {
        service: `service-number-${service}`,
        incarnation: this.createIncarnation(),
        counter: 1,
        address: `10.${service % 250}.${index % 250}.${Math.floor(index / 250) + 100 * Math.floor(service / 250)}`,
        peerPort: 7_102,
        controlPort: 7_104,
        adminPort: 7_105,
        publicPort: 7_101,
        dataCentre,
        region: dataCentre.slice(0, 1),
        state: MemberState.ACTIVE,
        weight: 35,
        epoch: 1_440,
      };
    });
    const updates = members.map(createUpdate);
    return members.map((self) => {
      const node = this.createNode(self);
      node.membership.start(updates);
      return node;
    });
  }

  private createNode(self: Member): FleetNode {
    const {clock, random} = this;
    const report = reportByThrowing;
    const membership = new Membership({self, clock, random, report});
    const {address, dataCentre} = self;
    return {
      membership,
      host: this.network.add(address, dataCentre, membership),
    };
  }

  private createIncarnation(): string {
    const digits = Array.from({length: 32}, () =>
      takeInteger(this.random, 16).toString(16),
    );
    return digits.join('');
  }
}

function getRegion(host: VirtualHost): string {
  return host.dataCentre.slice(0, 1);
}
