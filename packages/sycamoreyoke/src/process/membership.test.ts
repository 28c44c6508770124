import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {reportByThrowing} from '../invariants.js';
import {createRandom, takeInteger} from '../random.js';
import {ServiceView} from './serviceView.js';
import {Membership} from './membership.js';
import type {ListMembersResponse} from './membershipMessages.js';
import {createUpdate} from './tableSync.js';
import type {Member} from './types.js';
import {MemberState} from './types.js';
import type {VirtualHost} from './virtualNetwork.js';
import {VirtualNetwork, VirtualState} from './virtualNetwork.js';

const DATA_CENTRES = ['oviedo', 'santander', 'gijon'];
const SERVICE = 'tracking';
const CALL_TIMEOUT_MS = 200;
/** Time within which callers stop calling an address that refuses. */
const REFUSED_DEATH_MS = 3_000;
/**
 * Time within which callers stop calling a member that died silently. Only a
 * caller may notice before the next probe: 1.6 s, two timeouts, dissemination
 * through the service and the next poll.
 */
const SILENT_DEATH_MS = 4_500;

interface Node {
  readonly membership: Membership;
  readonly host: VirtualHost;
  leftMs: number;
}

interface Caller {
  readonly view: ServiceView;
  readonly host: VirtualHost;
}

/** Simulated nodes of one service and its callers. */
class Fleet {
  readonly clock = new VirtualClock();
  readonly random;
  readonly nodes: Node[] = [];
  readonly callers: Caller[] = [];
  readonly partitions = new Set<string>();
  loss = 0;
  isTableDown = false;
  callsToDeadMembers = 0;
  private readonly network: VirtualNetwork;
  private created = 0;

  constructor(seed: number) {
    this.random = createRandom(seed);
    this.network = new VirtualNetwork({
      clock: this.clock,
      random: this.random,
      getDelayMs: () => 1 + this.random() * (this.loss > 0 ? 20 : 1),
      isLost: (from, to) =>
        this.isPartitioned(from, to) || this.random() < this.loss,
    });
  }

  isPartitioned(from: VirtualHost, to: VirtualHost): boolean {
    return this.partitions.has([from.dataCentre, to.dataCentre].sort().join());
  }

  /** Adds a node, which joins using the records that it would find. */
  join(): Node {
    const index = this.created++;
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length] ?? '';
    const self = createMember(index, dataCentre);
    const {clock, random} = this;
    const report = reportByThrowing;
    const membership = new Membership({self, clock, random, report});
    const host = this.network.add(self.address, dataCentre, membership);
    const node = {membership, host, leftMs: Infinity};
    this.start(node);
    this.nodes.push(node);
    return node;
  }

  addCaller(dataCentre: string): void {
    const {clock, random} = this;
    const sender = {service: 'shop', incarnation: `c${this.callers.length}`};
    const view = new ServiceView({
      service: SERVICE,
      sender,
      dataCentre,
      clock,
      random,
    });
    view.addContacts(this.listContacts());
    const host = this.network.add(sender.incarnation, dataCentre, {
      tick: () => view.tick(),
      handleRequest: () => [],
      handleResponse: (id, response) =>
        view.handleResponse(id, response as ListMembersResponse),
      handleFailure: (id, refused) => view.handleFailure(id, refused),
    });
    const caller = {view, host};
    this.callers.push(caller);
    this.sendCalls(caller);
  }

  run(durationMs: number): void {
    this.network.run(durationMs);
  }

  startLeave(node: Node): void {
    node.leftMs = this.clock.readMs();
    this.network.apply(node.host, node.membership.announceLeave());
    this.network.schedule(
      6_000,
      () => (node.host.state = VirtualState.STOPPED),
    );
  }

  stop(node: Node, state: VirtualState): void {
    node.leftMs = this.clock.readMs();
    node.host.state = state;
  }

  startPause(node: Node, durationMs: number): void {
    node.host.state = VirtualState.PAUSED;
    this.network.schedule(durationMs, () => {
      if (node.host.state !== VirtualState.PAUSED) return;
      expect(node.membership.isStale() || durationMs < 1_100).to.equal(true);
      this.network.resume(node.host);
    });
  }

  listLive(): Node[] {
    return this.nodes.filter(
      ({leftMs, host}) =>
        leftMs === Infinity && host.state === VirtualState.RUNNING,
    );
  }

  /**
   * Lists the nodes about which a node or caller is wrong: live ones that it
   * does not use, and gone ones that it does.
   */
  listWrongViews(): string[] {
    const live = this.listLive();
    const readers = [
      ...live.map(({membership, host}) => ({
        name: host.address,
        uses: (id: string) => membership.isUsable(id),
      })),
      ...this.callers.map(({view, host}) => ({
        name: host.address,
        uses: (id: string) => view.isUsable(id),
      })),
    ];
    return readers.flatMap(({name, uses}) =>
      this.nodes
        .filter((node) => {
          const {incarnation} = node.membership.readSelf();
          return uses(incarnation) !== live.includes(node);
        })
        .map(({host}) => `${name} about ${host.address}`),
    );
  }

  private listContacts() {
    const live = this.listLive().filter(
      ({membership}) => membership.readSelf().state === MemberState.ACTIVE,
    );
    const chosen = this.isTableDown ? live.slice(-2) : live.slice(0, 4);
    return chosen.map(({membership}) => createUpdate(membership.readSelf()));
  }

  private start({membership, host}: Node): void {
    this.network.apply(host, membership.start(this.listContacts()));
    const setActive = () => {
      if (host.state === VirtualState.PAUSED) {
        this.network.schedule(1_000, setActive);
      } else if (host.state === VirtualState.RUNNING) {
        this.network.apply(host, membership.setState(MemberState.ACTIVE));
      }
    };
    this.network.schedule(2_100, setActive);
  }

  /** Calls random usable members at short intervals, as a busy caller does. */
  private sendCalls(caller: Caller): void {
    const {view, host} = caller;
    this.network.apply(host, view.observeCall());
    const usable = view.listUsable();
    const chosen = usable[takeInteger(this.random, usable.length)];
    const node = this.nodes.find(({membership}) => {
      return membership.readSelf().incarnation === chosen?.incarnation;
    });
    if (chosen && node) this.sendCall(caller, node, chosen.incarnation);
    this.network.schedule(20 + this.random() * 20, () =>
      this.sendCalls(caller),
    );
  }

  private sendCall(caller: Caller, node: Node, incarnation: string): void {
    const {view, host} = caller;
    const {state} = node.host;
    const isDead =
      state === VirtualState.STOPPED || state === VirtualState.LOST;
    const deadMs = isDead ? this.clock.readMs() - node.leftMs : 0;
    const limitMs =
      state === VirtualState.LOST ? SILENT_DEATH_MS : REFUSED_DEATH_MS;
    if (deadMs > limitMs && this.partitions.size === 0)
      this.callsToDeadMembers += 1;
    const isLost =
      this.isPartitioned(host, node.host) || this.random() < this.loss;
    if (state === VirtualState.STOPPED && !isLost) {
      this.network.schedule(2, () => view.observeFailure(incarnation, true));
    } else if (isLost || state !== VirtualState.RUNNING) {
      this.network.schedule(CALL_TIMEOUT_MS, () =>
        view.observeFailure(incarnation, false),
      );
    } else {
      node.membership.observeWork(`${host.address} to ${node.host.address}`);
      const isLeaving = node.leftMs < Infinity;
      this.network.schedule(2, () =>
        isLeaving
          ? view.observeLeaving(incarnation)
          : view.observeSuccess(incarnation),
      );
    }
  }
}

function createMember(index: number, dataCentre: string): Member {
  return {
    service: SERVICE,
    incarnation: `${index}`.padStart(32, 'f'),
    counter: 0,
    address: `10.0.0.${index}`,
    peerPort: 1,
    controlPort: 2,
    adminPort: 3,
    publicPort: 4,
    dataCentre,
    region: 'north',
    state: MemberState.JOINING,
    weight: 35,
    epoch: 0,
  };
}

function createFleet(seed: number, nodes: number): Fleet {
  const fleet = new Fleet(seed);
  for (let index = 0; index < nodes; index += 1) {
    fleet.join();
    fleet.run(index < 4 ? 2_500 : 50);
  }
  fleet.run(10_000);
  for (const dataCentre of DATA_CENTRES) fleet.addCaller(dataCentre);
  fleet.run(3_000);
  expect(fleet.listWrongViews(), `seed ${seed} start`).to.deep.equal([]);
  return fleet;
}

function chooseNode(fleet: Fleet): Node {
  const live = fleet.listLive();
  const node = live[takeInteger(fleet.random, live.length)];
  if (!node) throw new Error('the run has no live node left');
  return node;
}

/** Applies one random fault; a network partition ends after some seconds. */
function applyFault(fleet: Fleet): void {
  const isFew = fleet.listLive().length < 12;
  const kind = isFew ? 0 : takeInteger(fleet.random, 7);
  if (kind === 0) for (let count = 0; count < 6; count += 1) fleet.join();
  if (kind === 1) fleet.stop(chooseNode(fleet), VirtualState.STOPPED);
  if (kind === 2) fleet.stop(chooseNode(fleet), VirtualState.LOST);
  if (kind === 3) fleet.startLeave(chooseNode(fleet));
  if (kind === 4)
    fleet.startPause(chooseNode(fleet), 1_100 + 8_000 * fleet.random());
  if (kind === 5) fleet.isTableDown = !fleet.isTableDown;
  if (kind === 6) {
    const partition = [...DATA_CENTRES]
      .sort(() => fleet.random() - 0.5)
      .slice(0, 2);
    const name = partition.sort().join();
    fleet.partitions.add(name);
    fleet.run(3_000 + 9_000 * fleet.random());
    fleet.partitions.delete(name);
    // Give the callers time to learn of members that died during the partition
    // before calls to them count as late again.
    fleet.run(3_000);
  }
}

// Guards against calls to LEAVING or DEAD members, live members that stay
// excluded, and views that never converge after random faults.
for (const seed of [1, 2, 3, 4, 5, 6]) {
  it(`membership survives random faults, seed ${seed}`, () => {
    const fleet = createFleet(seed, 24);
    fleet.loss = seed % 2 === 0 ? 0.02 : 0;
    for (let round = 0; round < 40; round += 1) {
      applyFault(fleet);
      fleet.run(500 + 4_000 * fleet.random());
    }
    fleet.loss = 0;
    fleet.run(30_000);
    expect(fleet.listWrongViews()).to.deep.equal([]);
    expect(fleet.callsToDeadMembers, 'calls to dead members').to.equal(0);
  });
}

// Guards against gossip that takes more than 3 s to reach the last member.
it('membership spreads a leave within 3 s', () => {
  const fleet = createFleet(11, 60);
  for (let count = 0; count < 6; count += 1)
    fleet.startLeave(chooseNode(fleet));
  fleet.run(3_000);
  expect(fleet.listWrongViews()).to.deep.equal([]);
});

// Guards against a paused process that stays DEAD after it resumes.
it('membership restores a member that was paused', () => {
  const fleet = createFleet(12, 12);
  const node = chooseNode(fleet);
  const {incarnation} = node.membership.readSelf();
  fleet.startPause(node, 12_000);
  fleet.run(11_000);
  const [other] = fleet.listLive();
  expect(other?.membership.table.find(incarnation)?.state).to.equal(
    MemberState.DEAD,
  );
  fleet.run(4_000);
  expect(fleet.listWrongViews()).to.deep.equal([]);
});

// Guards against a partition that empties the member lists, and against lists
// that do not merge after it.
it('membership keeps both sides of a partition and merges them', () => {
  const fleet = createFleet(13, 30);
  fleet.isTableDown = true;
  fleet.partitions.add('gijon,oviedo');
  fleet.partitions.add('oviedo,santander');
  fleet.run(300_000);
  for (const {membership, host} of fleet.listLive()) {
    const usable = membership
      .list()
      .filter(({incarnation}) => membership.isUsable(incarnation));
    const expected = host.dataCentre === 'oviedo' ? 10 : 20;
    expect(usable.length, host.address).to.equal(expected);
  }
  fleet.partitions.clear();
  fleet.run(12_000);
  expect(fleet.listWrongViews()).to.deep.equal([]);
});
