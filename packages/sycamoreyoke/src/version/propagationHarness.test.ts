/** Simulates the nodes of one service and its operators in virtual time. */
import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {SycamoreyokeError} from '../errors.js';
import {reportByThrowing} from '../invariants.js';
import {ConfigPropagation} from '../process/configPropagation.js';
import type {PropagationAction} from '../process/configPropagationTypes.js';
import {PropagationActionKind} from '../process/configPropagationTypes.js';
import type {Random} from '../random.js';
import {createRandom, takeInteger} from '../random.js';
import {MemoryStore, MemoryTable, TableFault} from './memoryTable.test.js';
import {publishEdits} from './publish.js';
import {writeSnapshotIfDue} from './snapshot.js';
import {readHead} from './tableSet.js';
import type {ConfigurationObject} from './types.js';
import {ObjectKind} from './types.js';
import {readUpdate} from './update.js';

const TICK_MS = 200;
const PROBE_MS = 1_000;
const IN_FORCE_MS = 6_000;
const DETECTION_MS = 2_000;
/** Table reads are counted from this time on, after the nodes have started. */
const START_MS = 5_000;

/** Parameters and faults of a simulation. */
export interface RunOptions {
  readonly seed: number;
  readonly members: number;
  readonly durationMs: number;
  /** Mean time between two publishes of one operator. */
  readonly publishEveryMs: number;
  readonly operators: number;
  readonly lossShare: number;
  /** Share of table operations that fail or whose response is lost. */
  readonly faultShare: number;
  /** Publishes are not announced to any node. */
  readonly isUnannounced?: boolean;
  readonly outages?: ReadonlyArray<readonly [number, number]>;
  /** Restarts of a share of the members. */
  readonly restarts?: ReadonlyArray<{atMs: number; share: number}>;
  /** Network partitions that isolate a share of the members. */
  readonly partitions?: ReadonlyArray<{
    fromMs: number;
    untilMs: number;
    share: number;
  }>;
}

export interface RunResult {
  readonly published: number;
  readonly conflicts: number;
  readonly inForceMs: readonly number[];
  /** Table reads by nodes only. */
  readonly tableReadsPerSecond: number;
  readonly checkedPublishes: number;
  readonly versions: readonly number[];
  readonly head: number;
  readonly readyRestarts: number;
  /** Number of restarted nodes that serve an older version than before. */
  readonly regressions: number;
  readonly notReady: number;
}

interface SimulatedNode {
  readonly slot: number;
  readonly incarnation: string;
  readonly startedMs: number;
  readonly propagation: ConfigPropagation<ConfigurationObject>;
  readonly headAtStart: number;
  /** Version of the process that this node replaced. */
  readonly previousVersion: number;
  readonly lowestReadyAtStart: number;
  objects: ReadonlyMap<string, ConfigurationObject>;
  version: number;
  isUp: boolean;
  isReady: boolean;
  /** Lies in the future while the node is partitioned. */
  connectedSinceMs: number;
  /** Time of the latest membership change that the node has applied. */
  viewChangedMs: number;
}

/** Scheduled steps by virtual millisecond. */
class Schedule {
  private readonly steps = new Map<number, Array<() => void>>();

  add(atMs: number, run: () => void): void {
    const key = Math.ceil(atMs);
    const steps = this.steps.get(key);
    if (steps) steps.push(run);
    else this.steps.set(key, [run]);
  }

  /** Removes and returns the next step of a millisecond. */
  take(atMs: number): (() => void) | undefined {
    const step = this.steps.get(atMs)?.shift();
    if (!step) this.steps.delete(atMs);
    return step;
  }
}

class SpreadSimulation {
  private readonly clock = new VirtualClock();
  private readonly random: Random;
  private readonly schedule = new Schedule();
  /** Both share their rows; nodes use `nodeTable`, which counts their reads. */
  private readonly table: MemoryTable;
  private readonly nodeTable: MemoryTable;
  private readonly store = new MemoryStore();
  private readonly nodes: SimulatedNode[] = [];
  private readonly byIncarnation = new Map<string, SimulatedNode>();
  private membershipChangedMs = -DETECTION_MS;
  private hasPendingTasks = false;
  private failure: Error | undefined;
  private published = 0;
  private conflicts = 0;
  private checkedPublishes = 0;
  private readyRestarts = 0;
  private regressions = 0;
  private incarnations = 0;
  private isPublishingStopped = false;
  private readonly inForceMs: number[] = [];

  constructor(private readonly options: RunOptions) {
    this.random = createRandom(options.seed);
    const delay = () => this.wait(1 + takeInteger(this.random, 10));
    const fault = () => this.chooseFault();
    this.table = new MemoryTable(delay, fault);
    this.nodeTable = new MemoryTable(delay, fault, this.table.rows);
  }

  async run(): Promise<RunResult> {
    const {options} = this;
    for (let slot = 0; slot < options.members; slot += 1) this.startNode(slot);
    for (const {atMs, share} of options.restarts ?? []) {
      this.schedule.add(atMs, () => this.replaceNodes(share));
    }
    for (const partition of options.partitions ?? []) {
      this.schedule.add(partition.fromMs, () =>
        this.disconnectNodes(partition.share, partition.untilMs),
      );
    }
    for (let id = 0; id < options.operators; id += 1) {
      this.watch(this.publishRepeatedly(`o${id}`));
    }
    await this.advance(START_MS);
    const startReads = this.nodeTable.reads;
    await this.advance(options.durationMs);
    const reads = this.nodeTable.reads - startReads;
    this.isPublishingStopped = true;
    await this.advance(options.durationMs + 3 * IN_FORCE_MS);
    const head = await this.checkEnd();
    return {
      published: this.published,
      conflicts: this.conflicts,
      inForceMs: this.inForceMs,
      tableReadsPerSecond: (reads * 1_000) / (options.durationMs - START_MS),
      checkedPublishes: this.checkedPublishes,
      versions: this.nodes.map(({version}) => version),
      head,
      readyRestarts: this.readyRestarts,
      regressions: this.regressions,
      notReady: this.nodes.filter(({isReady}) => !isReady).length,
    };
  }

  private async advance(untilMs: number): Promise<void> {
    while (this.clock.readMs() < untilMs) {
      const step = this.schedule.take(this.clock.readMs());
      if (!step) this.clock.advance(1);
      step?.();
      if (this.hasPendingTasks) {
        this.hasPendingTasks = false;
        await new Promise(setImmediate);
      }
      if (this.failure) throw this.failure;
    }
  }

  /** Ends the simulation if a background task fails. */
  private watch(task: Promise<void>): void {
    this.hasPendingTasks = true;
    task.catch((error: Error) => {
      this.failure ??= error;
    });
  }

  private wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.schedule.add(this.clock.readMs() + milliseconds, () => {
        this.hasPendingTasks = true;
        resolve();
      });
    });
  }

  private chooseFault(): TableFault {
    if (this.isDown(this.clock.readMs())) return TableFault.DOWN;
    if (this.random() >= this.options.faultShare) return TableFault.NONE;
    return takeInteger(this.random, 3) + TableFault.DOWN;
  }

  private isDown(fromMs: number, untilMs = fromMs): boolean {
    return (this.options.outages ?? []).some(
      ([start, end]) => start <= untilMs && fromMs <= end,
    );
  }

  private startNode(slot: number): void {
    const incarnation = `n${slot}-${this.incarnations++}`;
    const nowMs = this.clock.readMs();
    const propagation = new ConfigPropagation<ConfigurationObject>({
      clock: this.clock,
      random: this.random,
      report: reportByThrowing,
      service: 'tracking',
      self: incarnation,
    });
    const replacedNode = this.nodes[slot];
    const readyNodes = this.nodes.filter(({isReady, isUp}) => isReady && isUp);
    const node: SimulatedNode = {
      slot,
      incarnation,
      startedMs: nowMs,
      propagation,
      headAtStart: this.readHeadNow(),
      previousVersion: replacedNode?.version ?? 0,
      lowestReadyAtStart: Math.min(...readyNodes.map(({version}) => version)),
      objects: new Map(),
      version: 0,
      isUp: true,
      isReady: false,
      connectedSinceMs: nowMs,
      viewChangedMs: -1,
    };
    const upNodes = this.nodes.filter(({isUp}) => isUp);
    propagation.setPeers(upNodes.map((upNode) => upNode.incarnation));
    if (replacedNode) this.byIncarnation.delete(replacedNode.incarnation);
    this.nodes[slot] = node;
    this.byIncarnation.set(incarnation, node);
    this.membershipChangedMs = nowMs;
    const phaseMs = takeInteger(this.random, PROBE_MS);
    this.runEvery(node, phaseMs % TICK_MS, TICK_MS, () => propagation.tick());
    this.runEvery(node, phaseMs, PROBE_MS, () => this.probe(node));
  }

  private readHeadNow(): number {
    const row = this.table.rows.get('configuration/head');
    return row ? (JSON.parse(row.value) as {version: number}).version : 0;
  }

  private runEvery(
    node: SimulatedNode,
    delayMs: number,
    everyMs: number,
    step: () => Array<PropagationAction<ConfigurationObject>>,
  ): void {
    this.schedule.add(this.clock.readMs() + delayMs, () => {
      if (!node.isUp) return;
      if (this.isConnected(node)) this.apply(node, step());
      this.runEvery(node, everyMs, everyMs, step);
    });
  }

  private probe(node: SimulatedNode): [] {
    const nowMs = this.clock.readMs();
    if (this.membershipChangedMs > node.viewChangedMs) {
      if (nowMs - this.membershipChangedMs >= DETECTION_MS) {
        const members = this.nodes.filter((member) => this.isConnected(member));
        node.propagation.setPeers(members.map(({incarnation}) => incarnation));
        node.viewChangedMs = this.membershipChangedMs;
      }
    }
    const peer = this.nodes[takeInteger(this.random, this.nodes.length)];
    if (!peer || peer === node) return [];
    const version = node.propagation.readVersion();
    this.send(node, peer, () => {
      const peerVersion = peer.propagation.readVersion();
      this.apply(
        peer,
        peer.propagation.observeVersion(node.incarnation, version),
      );
      this.send(peer, node, () =>
        this.apply(
          node,
          node.propagation.observeVersion(peer.incarnation, peerVersion),
        ),
      );
    });
    return [];
  }

  private send(from: SimulatedNode, to: SimulatedNode, run: () => void): void {
    if (this.random() < this.options.lossShare) return;
    if (!this.isConnected(from)) return;
    const atMs = this.clock.readMs() + 1 + takeInteger(this.random, 8);
    this.schedule.add(atMs, () => {
      if (to.isUp && this.isConnected(to)) run();
    });
  }

  private isConnected(node: SimulatedNode): boolean {
    return node.connectedSinceMs <= this.clock.readMs();
  }

  private apply(
    node: SimulatedNode,
    actions: ReadonlyArray<PropagationAction<ConfigurationObject>>,
  ): void {
    for (const action of actions) this.applyOne(node, action);
    if (node.isReady || !node.propagation.isReady()) return;
    node.isReady = true;
    if (node.startedMs === 0) return;
    this.readyRestarts += 1;
    const isTableUp = !this.isDown(node.startedMs, this.clock.readMs());
    const lowestAllowed = isTableUp
      ? node.headAtStart
      : node.lowestReadyAtStart;
    expect(node.version, 'new node').to.be.at.least(lowestAllowed);
    if (node.version < node.previousVersion) this.regressions += 1;
  }

  private applyOne(
    node: SimulatedNode,
    action: PropagationAction<ConfigurationObject>,
  ): void {
    const {propagation, incarnation} = node;
    switch (action.kind) {
      case PropagationActionKind.ADOPT:
        expect(action.version, 'adopted').to.be.above(node.version);
        node.version = action.version;
        node.objects = action.objects;
        return;
      case PropagationActionKind.PULL_PEER: {
        const peer = this.byIncarnation.get(action.peer);
        if (!peer) return;
        this.send(node, peer, () => {
          const response = peer.propagation.serve(action.since);
          this.send(peer, node, () =>
            this.apply(
              node,
              propagation.handlePeerResponse(action.peer, response),
            ),
          );
        });
        return;
      }
      case PropagationActionKind.ANNOUNCE:
        for (const peerIncarnation of action.peers) {
          const peer = this.byIncarnation.get(peerIncarnation);
          if (!peer) continue;
          this.send(node, peer, () =>
            this.apply(
              peer,
              peer.propagation.observeVersion(incarnation, action.version),
            ),
          );
        }
        return;
      case PropagationActionKind.READ_HEAD:
        this.watch(
          readHead(this.nodeTable).then(
            ({version}) => this.apply(node, propagation.handleHead(version)),
            () => this.apply(node, propagation.handleHead(undefined)),
          ),
        );
        return;
      case PropagationActionKind.READ_TABLE:
        this.watch(
          readUpdate(this.nodeTable, this.store, action.since).then(
            (update) => this.apply(node, propagation.handleTable(update)),
            () => this.apply(node, propagation.handleTable(undefined)),
          ),
        );
        return;
      case PropagationActionKind.REFUSE_STALE:
        return;
    }
  }

  private replaceNodes(share: number): void {
    for (const node of [...this.nodes]) {
      if (this.random() >= share) continue;
      node.isUp = false;
      this.startNode(node.slot);
    }
  }

  private disconnectNodes(share: number, untilMs: number): void {
    for (const node of this.nodes) {
      if (this.random() < share) node.connectedSinceMs = untilMs;
    }
    this.membershipChangedMs = this.clock.readMs();
    this.schedule.add(untilMs, () => {
      this.membershipChangedMs = untilMs;
    });
  }

  private async publishRepeatedly(who: string): Promise<void> {
    const {publishEveryMs} = this.options;
    const wait = (milliseconds: number) => this.wait(milliseconds);
    const dependencies = {
      table: this.table,
      clock: this.clock,
      random: this.random,
      wait,
    };
    for (let index = 0; ; index += 1) {
      await wait(publishEveryMs * (0.5 + this.random()));
      if (this.isPublishingStopped) return;
      const name = `l${takeInteger(this.random, 5)}`;
      const object: ConfigurationObject = {
        kind: ObjectKind.RETRY_LIMIT,
        name,
        perRequest: index % 100,
        shareOfTraffic: 0.1,
        backoffBaseMs: 10,
        backoffMaxMs: 100,
      };
      const base = await readHead(this.table).catch(() => undefined);
      if (!base) continue;
      const edits = [{kind: object.kind, name, object}];
      const nonce = `${who}-${index}`;
      const request = {base: base.version, edits, who, nonce};
      try {
        const result = await publishEdits(dependencies, request);
        this.verifyPublish(result.version);
        await writeSnapshotIfDue(this.store, result);
      } catch (error) {
        if (!(error instanceof SycamoreyokeError)) throw error;
        this.conflicts += 1;
      }
    }
  }

  /** Announces a publish and checks that all nodes adopt it in time. */
  private verifyPublish(version: number): void {
    this.published += 1;
    const acceptedMs = this.clock.readMs();
    const seed = this.nodes[takeInteger(this.random, this.nodes.length)];
    if (seed && this.options.isUnannounced !== true) {
      this.send(seed, seed, () =>
        this.apply(seed, seed.propagation.observeAnnouncement(version)),
      );
    }
    const endMs = acceptedMs + IN_FORCE_MS;
    const pending = new Set(this.nodes.filter(({isUp}) => isUp));
    const check = () => {
      for (const node of pending) {
        const isUnreachable = !node.isUp || node.connectedSinceMs > acceptedMs;
        if (!isUnreachable && node.version < version) continue;
        pending.delete(node);
        if (!isUnreachable)
          this.inForceMs.push(this.clock.readMs() - acceptedMs);
      }
      if (this.isDown(acceptedMs - IN_FORCE_MS, endMs)) return;
      if (pending.size === 0) {
        this.checkedPublishes += 1;
        return;
      }
      const message = `version ${version} on ${pending.size} nodes`;
      expect(this.clock.readMs(), message).to.be.below(endMs);
      this.schedule.add(this.clock.readMs() + 100, check);
    };
    check();
  }

  private async checkEnd(): Promise<number> {
    const head = this.readHeadNow();
    let expected: ReadonlyMap<string, ConfigurationObject> | undefined;
    const faultlessTable = new MemoryTable();
    for (const [key, row] of this.table.rows) faultlessTable.rows.set(key, row);
    const update = await readUpdate(faultlessTable, this.store, 0);
    if ('objects' in update) expected = update.objects;
    for (const {version, objects, incarnation} of this.nodes) {
      expect(version, incarnation).to.equal(head);
      expect(Object.fromEntries(objects)).to.deep.equal(
        Object.fromEntries(expected ?? []),
      );
    }
    return head;
  }
}

/** Runs a simulation; rejects if an invariant is violated. */
export function runPropagation(options: RunOptions): Promise<RunResult> {
  return new SpreadSimulation(options).run();
}
