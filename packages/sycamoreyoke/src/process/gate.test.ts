import {expect} from 'chai';
import fc from 'fast-check';
import {VirtualClock} from '../clock.js';
import {reportByThrowing} from '../invariants.js';
import {createRandom, takeInteger} from '../random.js';
import {Importance, RefusalReason} from '../types.js';
import {AdaptiveGate} from './gate.js';
import type {GateParameters} from './gateParameters.js';
import {GOODPUT_PARAMETERS, RECOVERY_PARAMETERS} from './gateParameters.js';
import {FixedLimiter, TrialLimiter} from './limiter.js';
import type {Arrival, GateAction} from './types.js';
import {Completion, GateActionKind} from './types.js';

function createGate(
  limit: number,
  clock = new VirtualClock(),
  change: Partial<GateParameters> = {},
): AdaptiveGate {
  return new AdaptiveGate({
    clock,
    limiter: new FixedLimiter(limit),
    parameters: {...GOODPUT_PARAMETERS, ...change},
    report: reportByThrowing,
  });
}

/** Reference model: a sorted array; starts the first, evicts the last. */
class NaiveGate {
  private waiting: Array<{arrival: Arrival; sequence: number}> = [];
  private readonly running = new Set<string>();
  private sequence = 0;

  constructor(
    private readonly limit: number,
    private readonly queueLimit: number,
  ) {}

  offer(arrival: Arrival): string[] {
    this.sequence += 1;
    this.waiting.push({arrival, sequence: this.sequence});
    this.waiting.sort(
      (a, b) =>
        b.arrival.importance - a.arrival.importance ||
        a.arrival.deadline - b.arrival.deadline ||
        a.sequence - b.sequence,
    );
    const verdicts = this.start();
    if (this.waiting.length > this.queueLimit) {
      verdicts.push(`refuse ${this.waiting.pop()?.arrival.ticket}`);
    }
    return verdicts;
  }

  finish(ticket: string): string[] {
    return this.running.delete(ticket) ? this.start() : [];
  }

  cancel(ticket: string): string[] {
    const before = this.waiting.length;
    this.waiting = this.waiting.filter(
      ({arrival}) => arrival.ticket !== ticket,
    );
    return this.waiting.length < before
      ? [`refuse ${ticket}`]
      : this.finish(ticket);
  }

  private start(): string[] {
    const verdicts: string[] = [];
    while (this.running.size < this.limit && this.waiting.length > 0) {
      const ticket = this.waiting.shift()?.arrival.ticket ?? '';
      this.running.add(ticket);
      verdicts.push(`start ${ticket}`);
    }
    return verdicts;
  }
}

function formatActions(actions: readonly GateAction[]): string[] {
  return actions.map(({kind, ticket}) => `${kind} ${ticket}`);
}

// Guards against starting requests in the wrong order and evicting the wrong
// one from a full queue.
it('gate: order and eviction equal those of a sorted array', () => {
  const step = fc.record({
    kind: fc.constantFrom('offer', 'offer', 'finish', 'cancel'),
    importance: fc.integer({min: 0, max: 3}),
    deadline: fc.integer({min: 1_000, max: 1_020}),
    target: fc.nat(),
  });
  // Without size: 'max', fast-check generates only about ten steps, too few to
  // detect a heap that does not keep its order.
  fc.assert(
    fc.property(
      fc.array(step, {maxLength: 300, size: 'max'}),
      fc.integer({min: 1, max: 4}),
      fc.integer({min: 0, max: 40}),
      (steps, limit, queueLimit) => {
        const gate = createGate(limit, new VirtualClock(), {queueLimit});
        const naive = new NaiveGate(limit, queueLimit);
        steps.forEach(({kind, importance, deadline, target}, index) => {
          const known = `t${target % (index + 1)}`;
          const arrival = {ticket: `t${index}`, importance, deadline};
          const [actual, expected] =
            kind === 'offer'
              ? [gate.offer(arrival), naive.offer(arrival)]
              : kind === 'finish'
                ? [gate.finish(known, Completion.FAILED), naive.finish(known)]
                : [gate.cancel(known), naive.cancel(known)];
          expect(formatActions(actual)).to.deep.equal(expected);
        });
      },
    ),
    {seed: 7, numRuns: 300},
  );
});

interface LongRun {
  readonly seed: number;
  readonly parameters: GateParameters;
  readonly steps: number;
  /** Number of accounts between which requests alternate; 0 for none. */
  readonly accounts?: number;
}

/**
 * Offers, finishes and cancels requests at random, and checks every action of
 * the gate.
 */
function runLong({seed, parameters, steps, accounts = 0}: LongRun): void {
  const random = createRandom(seed);
  const clock = new VirtualClock();
  const limiter = new TrialLimiter(8);
  const gate = new AdaptiveGate({
    clock,
    limiter,
    parameters,
    report: reportByThrowing,
  });
  const open = new Map<string, Arrival>();
  const running: string[] = [];
  const verdicts = new Map<string, number>();
  const apply = (actions: readonly GateAction[]): void => {
    for (const action of actions) {
      const arrival = open.get(action.ticket);
      expect(arrival, `verdict for unknown ${action.ticket}`).to.exist;
      if (!arrival) return;
      verdicts.set(action.ticket, (verdicts.get(action.ticket) ?? 0) + 1);
      open.delete(action.ticket);
      const waiting = [...open.values()];
      const critical = arrival.importance === Importance.CRITICAL;
      if (action.kind === GateActionKind.START) {
        running.push(action.ticket);
        expect(arrival.deadline).to.be.greaterThan(clock.readMs());
        const hasCritical = waiting.some(
          ({importance}) => importance === Importance.CRITICAL,
        );
        expect(!critical && hasCritical, 'lesser before critical').to.be.false;
      } else if (critical && action.reason === RefusalReason.OVERLOADED) {
        const isLesser = ({importance}: Arrival): boolean =>
          importance < Importance.CRITICAL;
        expect(waiting.filter(isLesser), 'critical shed').to.be.empty;
      }
    }
  };
  for (let step = 0; step < steps; step += 1) {
    // Alternates between low load and overload, so that queues fill and drain.
    const offers = Math.floor(step / 2_000) % 2 === 0 ? 0.45 : 0.8;
    const choice = random();
    if (choice < offers) {
      const arrival = {
        ticket: `t${step}`,
        importance: takeInteger(random, 4) as Importance,
        deadline: clock.readMs() + takeInteger(random, 400) - 5,
        account: accounts === 0 ? undefined : `a${step % accounts}`,
      };
      open.set(arrival.ticket, arrival);
      apply(gate.offer(arrival));
    } else if (choice < 0.97 && running.length > 0) {
      const index = takeInteger(random, running.length);
      const ticket = running.splice(index, 1)[0] ?? '';
      const completions = Object.values(Completion);
      const completion = completions[takeInteger(random, completions.length)];
      const before = limiter.readLimit();
      apply(gate.finish(ticket, completion ?? Completion.FAILED));
      expect(gate.countRunning()).to.be.at.most(
        Math.max(before, limiter.readLimit()),
      );
    } else if (random() < 0.5) {
      apply(gate.tick());
    } else {
      apply(gate.cancel([...open.keys()][0] ?? 'none'));
    }
    expect(gate.countWaiting()).to.equal(open.size);
    expect(gate.countWaiting()).to.be.at.most(parameters.queueLimit);
    clock.advance(takeInteger(random, 3));
  }
  clock.advance(1_000);
  apply(gate.tick());
  expect([...verdicts.values()].every((count) => count === 1)).to.be.true;
  expect(open.size, 'tickets without a verdict').to.equal(0);
}

// Guards against a request that gets no verdict or two, a start after the
// deadline, more running requests than the limit, and shedding a CRITICAL
// request while less important ones wait.
for (const seed of [11, 12, 13]) {
  it(`gate: invariants hold over a long run, seed ${seed}`, () => {
    const queueLimit = 20;
    runLong({
      seed,
      parameters: {...GOODPUT_PARAMETERS, queueLimit},
      steps: 20_000,
    });
    runLong({
      seed,
      parameters: {...RECOVERY_PARAMETERS, queueLimit},
      steps: 20_000,
    });
    for (const parameters of [GOODPUT_PARAMETERS, RECOVERY_PARAMETERS]) {
      runLong({
        seed,
        parameters: {...parameters, queueLimit},
        steps: 20_000,
        accounts: 7,
      });
    }
  });
}

// Guards against running a request that cannot meet its deadline, and against
// refusing a request kind forever because its requests were slow once.
it('gate: reserves the observed service time, which decays', () => {
  const clock = new VirtualClock();
  const gate = createGate(1, clock);
  const offer = (ticket: string): GateAction | undefined =>
    gate.offer({
      ticket,
      importance: Importance.CRITICAL,
      deadline: clock.readMs() + 100,
    })[0];
  expect(offer('slow')?.kind).to.equal(GateActionKind.START);
  clock.advance(400);
  gate.finish('slow', Completion.TIMED_OUT);
  expect(offer('next')).to.include({reason: RefusalReason.DEADLINE});
  clock.advance(1_000);
  expect(offer('later')?.kind).to.equal(GateActionKind.START);
});

// Guards against spending slots on requests whose own downstream calls are
// refused, and against throttling CRITICAL requests.
it('gate: throttles a kind whose downstream calls are refused', () => {
  const clock = new VirtualClock();
  const gate = createGate(1, clock);
  const countStarts = (importance: Importance): number => {
    let starts = 0;
    for (let index = 0; index < 200; index += 1) {
      const ticket = `${importance}-${index}`;
      const deadline = clock.readMs() + 1_000;
      const [action] = gate.offer({ticket, importance, deadline});
      clock.advance(1);
      if (action?.kind !== GateActionKind.START) continue;
      starts += 1;
      gate.finish(ticket, Completion.SHED_DOWNSTREAM);
    }
    return starts;
  };
  expect(countStarts(Importance.HIGH)).to.be.below(30);
  expect(countStarts(Importance.CRITICAL)).to.equal(200);
});

// Guards against a retry delay of 50 ms for a throttled kind: the client would
// return while the throttle still applies and waste its last retry.
it('gate: a throttled kind gets a retry delay of at least 1 s', () => {
  const clock = new VirtualClock();
  const gate = createGate(1, clock);
  const advice: number[] = [];
  for (let index = 0; index < 200; index += 1) {
    const ticket = `held-${index}`;
    const deadline = clock.readMs() + 5_000;
    const importance = Importance.HIGH;
    const [action] = gate.offer({ticket, importance, deadline});
    clock.advance(1);
    if (action?.kind === GateActionKind.REFUSE)
      advice.push(action.retryAfterMs);
    else gate.finish(ticket, Completion.SHED_DOWNSTREAM);
  }
  expect(advice.length).to.be.above(100);
  expect(Math.min(...advice)).to.be.at.least(1_000);
});

// Guards against refused clients that all return at the same time, and so are
// refused again.
it('gate: refused clients return one after the other', () => {
  const clock = new VirtualClock();
  const gate = createGate(1, clock, {queueLimit: 0});
  const offer = (ticket: string, importance: Importance) =>
    gate.offer({ticket, importance, deadline: clock.readMs() + 10_000})[0];
  offer('first', Importance.HIGH);
  clock.advance(100);
  gate.finish('first', Completion.SUCCEEDED);
  offer('running', Importance.HIGH);
  const listDelays = (importance: Importance) =>
    [1, 2, 3].map((count) => {
      const action = offer(`${importance}-${count}`, importance);
      return action?.kind === GateActionKind.REFUSE ? action.retryAfterMs : 0;
    });
  const normal = listDelays(Importance.NORMAL);
  const [first = 0] = normal;
  expect(normal).to.eql([first, first + 100, first + 200]);
  expect(listDelays(Importance.HIGH)).to.eql(normal);
  expect(listDelays(Importance.LOW)[0]).to.be.above(first + 200);
});
