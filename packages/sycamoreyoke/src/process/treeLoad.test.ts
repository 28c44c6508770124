/** Simulated load of call trees for the tests of contended capacity. */
import {VirtualClock} from '../clock.js';
import type {Random} from '../random.js';
import {createRandom, takeInteger} from '../random.js';
import {Importance} from '../types.js';
import {AdaptiveGate} from './gate.js';
import {GOODPUT_PARAMETERS} from './gateParameters.js';
import {Heap} from './heap.js';
import {FixedLimiter} from './limiter.js';
import {OriginAdmission} from './originAdmission.js';
import type {RetryAllowance} from './retryAllowance.js';
import {createRetryAllowance} from './retryAllowance.js';
import {Completion, GateActionKind} from './types.js';

export const FAULT_START_MS = 4_000;
export const FAULT_END_MS = 12_500;
export const LOAD_END_MS = 19_000;
/** Calls that a request makes to the deep service, one after the other. */
export const CALLS_PER_TREE = 4;
const GATES = 6;
const ORIGINS = 24;
const NODES = 62;
export const BOUNDS = {share: 0.2, slack: 94};

/** A kind of request; its rate is that of one gate. */
export interface TreeKind {
  readonly name: string;
  readonly importance: Importance;
  readonly perSecond: number;
  /** Time of one call to the deep service. */
  readonly callMs: number;
}

/** Requests of 0.1, 0.4 and 1 s, 10 to 30 per second at each gate. */
export const KINDS: readonly TreeKind[] = [
  {name: 'quick', importance: Importance.HIGH, perSecond: 30, callMs: 25},
  {name: 'page', importance: Importance.NORMAL, perSecond: 20, callMs: 100},
  {name: 'slow', importance: Importance.LOW, perSecond: 10, callMs: 250},
];

/** The same kinds, with the quick one as a booking. */
export const BOOKING_KINDS: readonly TreeKind[] = KINDS.map((kind) => ({
  ...kind,
  importance: kind.name === 'quick' ? Importance.CRITICAL : kind.importance,
}));

/** A request and what became of it. */
export interface Tree {
  readonly kind: TreeKind;
  readonly arrivedMs: number;
  startedMs: number;
  answeredCalls: number;
  isServed: boolean;
  /** Refused by the origin before it was begun. */
  isRefusedAtOrigin: boolean;
}

/** The service that all trees call; decides whether it rejects a call. */
export interface DeepService {
  /** Time for which a rejected call takes a slot, ms. */
  readonly rejectionMs: number;
  rejects(nowMs: number, running: number, random: Random): boolean;
}

export function isFaulty(nowMs: number): boolean {
  return nowMs >= FAULT_START_MS && nowMs < FAULT_END_MS;
}

/** Rejects 55% of all calls during the fault, whatever its load. */
export const REJECTING_SERVICE: DeepService = {
  rejectionMs: 0,
  rejects: (nowMs, _running, random) => isFaulty(nowMs) && random() < 0.55,
};

/**
 * Has slots for a third of the load during the fault, for 1.3 times after.
 * Rejections take up slots too, so that it does little under overload.
 */
export const SHORT_SERVICE: DeepService = {
  rejectionMs: 60,
  rejects: (nowMs, running) => running >= (isFaulty(nowMs) ? 42 : 165),
};

/** Policies of the nodes that the load runs against. */
export interface LoadPolicy {
  readonly deep: DeepService;
  readonly downstreamHeadroom?: number;
  readonly seed?: number;
  /** Whether origins refuse requests whose calls will probably fail. */
  readonly refusesAtOrigin?: boolean;
  readonly kinds?: readonly TreeKind[];
  readonly createAllowance?: typeof createRetryAllowance;
}

/** Result of a run. */
export interface LoadResult {
  readonly trees: readonly Tree[];
  /** Time at which each call and retry was sent. */
  readonly callsMs: readonly number[];
  readonly retriesMs: readonly number[];
}

interface TimedAction {
  readonly dueMs: number;
  readonly sequence: number;
  readonly apply: () => void;
}

class LoadRun {
  private readonly clock = new VirtualClock();
  private readonly random: Random;
  private readonly actions = new Heap<TimedAction>(
    (a, b) => a.dueMs - b.dueMs || a.sequence - b.sequence,
  );
  private sequence = 0;
  private running = 0;
  private readonly callsMs: number[] = [];
  private readonly retriesMs: number[] = [];
  private readonly trees: Tree[] = [];
  private readonly origins: OriginAdmission[] = [];

  constructor(private readonly policy: LoadPolicy) {
    this.random = createRandom(policy.seed ?? 7);
  }

  run(): LoadResult {
    for (let gate = 0; gate < GATES; gate += 1) this.addGate();
    for (;;) {
      const action = this.actions.takeFirst();
      if (!action) break;
      this.clock.advance(action.dueMs - this.clock.readMs());
      action.apply();
    }
    const {trees, callsMs, retriesMs} = this;
    return {trees, callsMs, retriesMs};
  }

  private addGate(): void {
    const {downstreamHeadroom = GOODPUT_PARAMETERS.downstreamHeadroom} =
      this.policy;
    const gate = new AdaptiveGate({
      clock: this.clock,
      limiter: new FixedLimiter(100),
      parameters: {
        ...GOODPUT_PARAMETERS,
        downstreamHeadroom,
      },
      report: () => undefined,
    });
    const {createAllowance = createRetryAllowance} = this.policy;
    const allowance = createAllowance(this.clock, BOUNDS, () => NODES);
    for (const kind of this.policy.kinds ?? KINDS) {
      const intervalMs = 1_000 / kind.perSecond;
      let dueMs = this.random() * intervalMs;
      for (; dueMs < LOAD_END_MS; dueMs += intervalMs * 2 * this.random()) {
        this.schedule(dueMs, () => this.offer(gate, allowance, kind));
      }
    }
  }

  private offer(
    gate: AdaptiveGate,
    allowance: RetryAllowance,
    kind: TreeKind,
  ): void {
    const nowMs = this.clock.readMs();
    const tree: Tree = {
      kind,
      arrivedMs: nowMs,
      startedMs: nowMs,
      answeredCalls: 0,
      isServed: false,
      isRefusedAtOrigin: false,
    };
    const origin = this.chooseOrigin();
    const ticket = String(this.trees.push(tree));
    const {importance, name: route} = kind;
    if (origin && !origin.admit({route, importance}, nowMs)) {
      tree.isRefusedAtOrigin = true;
      return;
    }
    const actions = gate.offer({
      ticket,
      importance,
      deadline: nowMs + 10_000,
      requestClass: kind.name,
    });
    if (actions[0]?.kind !== GateActionKind.START) return;
    this.call(allowance, tree, 1, (completion) => {
      const succeeded = completion === Completion.SUCCEEDED;
      tree.isServed = succeeded;
      const finishedMs = this.clock.readMs();
      origin?.observe({
        route,
        importance,
        succeeded,
        startedMs: nowMs,
        nowMs: finishedMs,
      });
      gate.finish(ticket, completion);
    });
  }

  private chooseOrigin(): OriginAdmission | undefined {
    if (!this.policy.refusesAtOrigin) return undefined;
    const index = takeInteger(this.random, ORIGINS);
    this.origins[index] ??= new OriginAdmission();
    return this.origins[index];
  }

  private call(
    allowance: RetryAllowance,
    tree: Tree,
    attempt: number,
    finish: (completion: Completion) => void,
  ): void {
    const nowMs = this.clock.readMs();
    const {deep} = this.policy;
    this.callsMs.push(nowMs);
    if (attempt === 1) allowance.recordFirstAttempt();
    if (deep.rejects(nowMs, this.running, this.random)) {
      this.holdSlot(deep.rejectionMs);
      this.schedule(nowMs + 5, () => {
        if (attempt < 2 && takeRetry(allowance, tree)) {
          this.retriesMs.push(this.clock.readMs());
          this.call(allowance, tree, attempt + 1, finish);
        } else finish(Completion.SHED_DOWNSTREAM);
      });
      return;
    }
    const callMs = tree.kind.callMs * (0.7 + 0.6 * this.random());
    this.holdSlot(callMs);
    this.schedule(nowMs + callMs, () => {
      tree.answeredCalls += 1;
      if (tree.answeredCalls === CALLS_PER_TREE) finish(Completion.SUCCEEDED);
      else this.call(allowance, tree, 1, finish);
    });
  }

  private holdSlot(forMs: number): void {
    this.running += 1;
    this.schedule(this.clock.readMs() + forMs, () => (this.running -= 1));
  }

  private schedule(dueMs: number, apply: () => void): void {
    this.sequence += 1;
    this.actions.add({dueMs, sequence: this.sequence, apply});
  }
}

function takeRetry(allowance: RetryAllowance, tree: Tree): boolean {
  const {kind, answeredCalls} = tree;
  const work = {answeredCalls, spentShare: 0};
  return allowance.takeRetry(kind.importance, false, work);
}

/** Runs the load on a virtual clock. */
export function runLoad(policy: LoadPolicy): LoadResult {
  return new LoadRun(policy).run();
}

/** Share of the requests that arrived in the period and were served. */
export function computeServedShare(
  {trees}: LoadResult,
  fromMs: number,
  toMs: number,
  kind?: TreeKind,
): number {
  const arrived = trees.filter(
    (tree) =>
      tree.arrivedMs >= fromMs &&
      tree.arrivedMs < toMs &&
      (kind === undefined || tree.kind === kind),
  );
  return arrived.filter(({isServed}) => isServed).length / arrived.length;
}

/** Counts the times within the fault. */
export function countInFault(timesMs: readonly number[]): number {
  return timesMs.filter(isFaulty).length;
}
