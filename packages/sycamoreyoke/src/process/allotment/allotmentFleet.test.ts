/** Nodes with allotments on a seeded network that delays, loses and cuts. */
import {VirtualClock} from '../../clock.js';
import type {Random} from '../../random.js';
import {createRandom, takeInteger} from '../../random.js';
import {AllotmentNode} from './allotmentNode.js';
import {chooseOwnerSet, sortOwners} from './ownerSet.js';
import type {ChargeEnd} from './tokenHolder.js';
import type {Allotment, AllotmentTolerance} from './types.js';

const STEP_MS = 2;
const TICK_MS = 50;
/** Time until a node notices that it gets no answers from another. */
const NOTICE_MS = 3_000;
/** Interval at which a lost connection is dialled again. */
const REDIAL_MS = 400;

/** The end of a request. */
export interface Outcome {
  readonly atMs: number;
  readonly end: ChargeEnd;
}

interface Delivery {
  readonly dueMs: number;
  readonly run: () => void;
}

/** Options of a fleet. */
export interface FleetOptions {
  readonly nodes: number;
  readonly maxDelayMs: number;
  readonly loss?: number;
  readonly tolerance?: AllotmentTolerance;
}

/** Runs nodes on a virtual clock; all requests are of one account. */
export class AllotmentFleet {
  readonly clock = new VirtualClock();
  readonly random: Random;
  readonly names: readonly string[];
  readonly outcomes: Outcome[] = [];
  private readonly running = new Map<string, AllotmentNode>();
  private readonly cutSinceMs = new Map<string, number>();
  private deliveries: Delivery[] = [];

  constructor(
    seed: number,
    public allotment: Allotment,
    private readonly options: FleetOptions,
  ) {
    this.random = createRandom(seed);
    this.names = Array.from({length: options.nodes}, (_, i) => `node-${i}`);
    for (const name of this.names) this.start(name);
  }

  /** The owners of the account in their order. */
  listOwners(): readonly string[] {
    return sortOwners('hotel', chooseOwnerSet(this.names));
  }

  start(name: string): void {
    const node = new AllotmentNode({
      self: name,
      clock: this.clock,
      random: this.random,
      readAllotment: () => this.allotment,
      readTolerance: () => this.options.tolerance,
      countNodes: () => this.names.length,
      isTooOld: () => false,
      isReachable: (other) => this.hasLink(name, other),
      sendAsk: (other, message) =>
        this.deliver(name, other, () => {
          const answer = this.running.get(other)?.receiveAsk(name, message);
          if (!answer) return;
          this.deliver(other, name, () =>
            this.running.get(name)?.receiveGrant(other, answer),
          );
        }),
    });
    node.updateNodes(this.names);
    this.running.set(name, node);
  }

  /** Kills a process; connections to it are refused from now on. */
  kill(name: string): void {
    this.running.delete(name);
    for (const node of this.running.values()) node.handleLost(name);
  }

  /** Starts a process later, unless it runs. */
  startLater(name: string, delayMs: number): void {
    const run = () => {
      if (!this.running.has(name)) this.start(name);
    };
    this.deliveries.push({dueMs: this.clock.readMs() + delayMs, run});
  }

  /** Lets all nodes that can reach them find dead processes. */
  private refuseDials(): void {
    const dead = this.names.filter((name) => !this.running.has(name));
    for (const [name, node] of this.running) {
      for (const other of dead) {
        if (!this.cutSinceMs.has(`${name} ${other}`)) node.handleGone(other);
      }
    }
  }

  /** Cuts or restores the connection of two nodes. */
  setCut(first: string, second: string, isCut: boolean): void {
    for (const pair of [`${first} ${second}`, `${second} ${first}`]) {
      if (!isCut) this.cutSinceMs.delete(pair);
      else if (!this.cutSinceMs.has(pair))
        this.cutSinceMs.set(pair, this.clock.readMs());
    }
  }

  update(allotment: Allotment): void {
    this.allotment = allotment;
    for (const node of this.running.values()) node.updateAllotments();
  }

  /** Sends a request through a node. */
  send(name: string): void {
    const node = this.running.get(name);
    const untilMs = this.clock.readMs() + 1_000;
    node?.take('hotel', this.allotment, untilMs, ({end}) =>
      this.outcomes.push({atMs: this.clock.readMs(), end}),
    );
  }

  /** Lets time pass; calls back in each step. */
  run(forMs: number, step: () => void = () => undefined): void {
    const endMs = this.clock.readMs() + forMs;
    while (this.clock.readMs() < endMs) {
      this.clock.advance(STEP_MS);
      const nowMs = this.clock.readMs();
      const due = this.deliveries.filter(({dueMs}) => dueMs <= nowMs);
      this.deliveries = this.deliveries.filter(({dueMs}) => dueMs > nowMs);
      for (const {run} of due) run();
      if (nowMs % REDIAL_MS === 0) this.refuseDials();
      for (const node of this.running.values()) {
        if (nowMs % TICK_MS === 0) node.tick();
        else if (node.hasPending()) node.flush();
      }
      step();
    }
  }

  /** Chooses a node at random. */
  chooseNode(): string {
    return this.names[takeInteger(this.random, this.names.length)] ?? '';
  }

  /** Requests that ran in a span, or ended otherwise. */
  count(end: ChargeEnd, fromMs = 0, untilMs = Infinity): number {
    return this.outcomes.filter(
      (each) => each.end === end && each.atMs >= fromMs && each.atMs < untilMs,
    ).length;
  }

  private hasLink(from: string, to: string): boolean {
    if (!this.running.has(to)) return false;
    const cutMs = this.cutSinceMs.get(`${from} ${to}`) ?? Infinity;
    return this.clock.readMs() - cutMs < NOTICE_MS;
  }

  private deliver(from: string, to: string, run: () => void): void {
    const {maxDelayMs, loss = 0} = this.options;
    const isLost = this.cutSinceMs.has(`${from} ${to}`) || this.random() < loss;
    if (isLost) return;
    const dueMs = this.clock.readMs() + this.random() * maxDelayMs;
    this.deliveries.push({dueMs, run});
  }
}
