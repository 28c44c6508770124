/** Plays the load of client accounts on a virtual clock, for tests. */
import {VirtualClock} from '../../clock.js';
import {reportByThrowing} from '../../invariants.js';
import type {Random} from '../../random.js';
import {createRandom} from '../../random.js';
import {Importance, RefusalReason} from '../../types.js';
import {AdaptiveGate} from '../gate.js';
import {GOODPUT_PARAMETERS} from '../gateParameters.js';
import {FixedLimiter} from '../limiter.js';
import type {Arrival, GateAction} from '../types.js';
import {Completion, GateActionKind} from '../types.js';

/** Which order the played gate has. */
export enum Order {
  /** Capacity is shared between accounts. */
  FAIR = 'fair',
  /** Earliest deadline first; the gate learns no account. */
  DEADLINE = 'deadline',
  /** First in, first out, without refusals but at a full queue. */
  ARRIVAL = 'arrival',
}

/** Load of one account. */
export interface AccountLoad {
  readonly account: string;
  readonly ratePerS: number;
  /** Time from arrival to deadline, ms. */
  readonly minLeftMs: number;
  readonly maxLeftMs: number;
}

/** A run of the loads against one upstream. */
export interface LoadRun {
  readonly order: Order;
  readonly loads: readonly AccountLoad[];
  readonly slots: number;
  readonly serviceMs: number;
  readonly durationMs: number;
  readonly seed: number;
}

/** What an account's callers got. */
export interface AccountResult {
  readonly offered: number;
  /** Requests that ended before their deadline. */
  readonly served: number;
  /** Requests that were refused because of overload, at once or by eviction. */
  readonly shed: number;
  /** Requests that waited in vain. */
  readonly expired: number;
}

const TICK_MS = 20;
const QUEUE_LIMIT = 400;

interface TimedEvent {
  readonly atMs: number;
  readonly ticket: string;
}

type PlayedGate = Pick<AdaptiveGate, 'offer' | 'finish' | 'tick'>;

/** Gate that starts in the order of arrival and runs expired requests too. */
class ArrivalGate implements PlayedGate {
  private readonly waiting: string[] = [];
  private running = 0;

  constructor(private readonly slots: number) {}

  offer({ticket}: Arrival): GateAction[] {
    if (this.waiting.length >= QUEUE_LIMIT) {
      const reason = RefusalReason.OVERLOADED;
      return [{kind: GateActionKind.REFUSE, ticket, reason, retryAfterMs: 0}];
    }
    this.waiting.push(ticket);
    return this.start();
  }

  finish(): GateAction[] {
    this.running -= 1;
    return this.start();
  }

  tick(): GateAction[] {
    return [];
  }

  private start(): GateAction[] {
    const actions: GateAction[] = [];
    while (this.running < this.slots && this.waiting.length > 0) {
      const ticket = this.waiting.shift() ?? '';
      this.running += 1;
      actions.push({kind: GateActionKind.START, ticket});
    }
    return actions;
  }
}

/** Plays a load; returns what each account got. */
export function runLoad(run: LoadRun): Map<string, AccountResult> {
  const clock = new VirtualClock();
  const random = createRandom(run.seed);
  const gate = createGate(run, clock);
  const results = new Map<
    string,
    {-readonly [K in keyof AccountResult]: number}
  >();
  const open = new Map<string, {account: string; deadline: number}>();
  const ends: TimedEvent[] = [];
  const arrivals = run.loads
    .flatMap((load) => listArrivals(load, run.durationMs, random))
    .sort((first, second) => first.atMs - second.atMs);
  for (const {account} of run.loads) {
    results.set(account, {offered: 0, served: 0, shed: 0, expired: 0});
  }
  const getResult = (ticket: string) => {
    const account = open.get(ticket)?.account ?? '';
    return results.get(account) as {
      -readonly [K in keyof AccountResult]: number;
    };
  };
  const apply = (actions: readonly GateAction[]): void => {
    for (const action of actions) {
      if (action.kind === GateActionKind.START) {
        const atMs = clock.readMs() + run.serviceMs;
        ends.push({atMs, ticket: action.ticket});
      } else if (action.reason === RefusalReason.OVERLOADED) {
        getResult(action.ticket).shed += 1;
      } else {
        getResult(action.ticket).expired += 1;
      }
    }
  };
  const finishUntil = (untilMs: number): void => {
    for (let end = ends[0]; end && end.atMs <= untilMs; end = ends[0]) {
      ends.shift();
      clock.advance(end.atMs - clock.readMs());
      const isInTime = (open.get(end.ticket)?.deadline ?? 0) >= end.atMs;
      if (isInTime) getResult(end.ticket).served += 1;
      apply(gate.finish(end.ticket, Completion.SUCCEEDED));
    }
    clock.advance(untilMs - clock.readMs());
  };
  let nextTickMs = TICK_MS;
  arrivals.forEach(({atMs, account, leftMs}, index) => {
    for (; nextTickMs <= atMs; nextTickMs += TICK_MS) {
      finishUntil(nextTickMs);
      apply(gate.tick());
    }
    finishUntil(atMs);
    const ticket = `t${index}`;
    const deadline = atMs + leftMs;
    open.set(ticket, {account, deadline});
    getResult(ticket).offered += 1;
    apply(
      gate.offer({
        ticket,
        importance: Importance.NORMAL,
        deadline,
        requestClass: 'route',
        ...(run.order === Order.FAIR ? {account} : {}),
      }),
    );
  });
  return results;
}

function createGate(run: LoadRun, clock: VirtualClock): PlayedGate {
  if (run.order === Order.ARRIVAL) return new ArrivalGate(run.slots);
  return new AdaptiveGate({
    clock,
    limiter: new FixedLimiter(run.slots),
    parameters: {...GOODPUT_PARAMETERS, queueLimit: QUEUE_LIMIT},
    report: reportByThrowing,
  });
}

/** Lists the arrivals of an account, at random intervals. */
function listArrivals(load: AccountLoad, durationMs: number, random: Random) {
  const {account, ratePerS, minLeftMs, maxLeftMs} = load;
  const meanMs = 1_000 / ratePerS;
  const arrivals = [];
  let atMs = meanMs * 2 * random();
  while (atMs < durationMs) {
    const leftMs = minLeftMs + random() * (maxLeftMs - minLeftMs);
    arrivals.push({atMs, account, leftMs});
    atMs += meanMs * (0.5 + random());
  }
  return arrivals;
}
