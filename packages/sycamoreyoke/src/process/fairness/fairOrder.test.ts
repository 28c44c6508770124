import {expect} from 'chai';
import fc from 'fast-check';
import {VirtualClock} from '../../clock.js';
import {reportByThrowing} from '../../invariants.js';
import {AdaptiveGate} from '../gate.js';
import {GOODPUT_PARAMETERS, RECOVERY_PARAMETERS} from '../gateParameters.js';
import {FixedLimiter} from '../limiter.js';
import type {GateAction} from '../types.js';
import {Completion} from '../types.js';
import type {AccountLoad, AccountResult} from './accountLoad.test.js';
import {Order, runLoad} from './accountLoad.test.js';

const SERVICE_MS = 20;
const SMALL_ACCOUNTS = 20;
const SMALL_RATE = 20;
const LEFT = {minLeftMs: 300, maxLeftMs: 1_000};

function createSurge(surgeRate: number): AccountLoad[] {
  const small = Array.from({length: SMALL_ACCOUNTS}, (_, index) => ({
    account: `small-${index}`,
    ratePerS: SMALL_RATE,
    ...LEFT,
  }));
  return [{account: 'surge', ratePerS: surgeRate, ...LEFT}, ...small];
}

function runSurge(order: Order, surgeRate: number, slots: number) {
  const loads = createSurge(surgeRate);
  const run = {order, loads, slots, serviceMs: SERVICE_MS, seed: 5};
  const results = runLoad({...run, durationMs: 20_000});
  const surge = results.get('surge') as AccountResult;
  results.delete('surge');
  const small = [...results.values()].map(computeServedShare);
  const served = [...results.values()].reduce((sum, r) => sum + r.served, 0);
  const starts = (slots * 20_000) / SERVICE_MS;
  return {
    surge: computeServedShare(surge),
    surgeExpired: surge.expired / surge.offered,
    worstSmall: Math.min(...small),
    meanSmall: small.reduce((sum, share) => sum + share, 0) / SMALL_ACCOUNTS,
    /** Share of the capacity that went to requests served in time. */
    utilization: (surge.served + served) / starts,
  };
}

function computeServedShare({served, offered}: AccountResult): number {
  return served / offered;
}

// Guards against small accounts that pay for the surge of another one. An
// account sends 1,000 requests a second, ten times its usual, and twenty send
// 20 each; the upstream serves 700 of the 1,400.
it('fair order: the account that surges bears the cost', () => {
  const fair = runSurge(Order.FAIR, 1_000, 14);
  const deadline = runSurge(Order.DEADLINE, 1_000, 14);
  const arrival = runSurge(Order.ARRIVAL, 1_000, 14);
  expect(fair.worstSmall).to.be.above(0.98);
  expect(fair.surge).to.be.within(0.25, 0.35);
  expect(fair.utilization).to.be.above(0.98);
  expect(deadline.worstSmall).to.be.below(0.6);
  expect(arrival.worstSmall).to.be.below(0.6);
});

// Guards against requests that wait in vain: the small accounts are served at
// once, so nothing of theirs waits when a request of the surge arrives, but they
// overtake it until its account's turn comes.
it('fair order: a surging account is refused on arrival', () => {
  const fair = runSurge(Order.FAIR, 1_000, 14);
  expect(fair.surgeExpired).to.be.below(0.05);
});

// Guards against an account that gets almost nothing although it asks for more
// than the others. All want more than an equal share of 300 a second, and an
// equal share would serve 0.07 of the surge, against 0.5 of all.
it('fair order: no account is served less than a quarter as often', () => {
  const fair = runSurge(Order.FAIR, 200, 6);
  const deadline = runSurge(Order.DEADLINE, 200, 6);
  expect(fair.surge).to.be.above(0.125);
  expect(fair.worstSmall).to.be.above(0.6);
  expect(fair.meanSmall).to.be.above(deadline.meanSmall + 0.1);
  expect(fair.utilization).to.be.above(0.98);
});

// Guards against shutting out a few accounts that are large as usual, while all
// are served badly: three send half of the requests, and the upstream serves
// three in ten.
it('fair order: large accounts keep a quarter of the share of all', () => {
  const rates = Array.from({length: 73}, (_, index) => (index < 3 ? 233 : 10));
  const loads = rates.map((ratePerS, index) => {
    return {account: `a-${index}`, ratePerS, ...LEFT};
  });
  const run = {order: Order.FAIR, loads, slots: 10, serviceMs: 24, seed: 2};
  const results = [...runLoad({...run, durationMs: 20_000}).values()];
  const offered = results.reduce((sum, result) => sum + result.offered, 0);
  const served = results.reduce((sum, result) => sum + result.served, 0);
  for (const result of results) {
    const share = computeServedShare(result) / (served / offered);
    expect(share).to.be.above(0.25);
  }
});

/** Computes the largest demand that an equal share of the capacity covers. */
function computeFairShare(demands: readonly number[], capacity: number) {
  let left = capacity;
  const sorted = [...demands].sort((first, second) => first - second);
  for (const [index, demand] of sorted.entries()) {
    const share = left / (sorted.length - index);
    if (demand > share) return share;
    left -= demand;
  }
  return Infinity;
}

/** Part of the capacity that the guarantee of a quarter leaves to shares. */
const SHARED_PART = 0.75;
/** Room for the random intervals of an account's arrivals. */
const SHARE_MARGIN = 0.9;

// Guards against overload refusals, on arrival or by eviction, of an account
// that asks for less than its share, however much the others send.
it('fair order: an account below its share is not refused', () => {
  let checked = 0;
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 5, max: 300}), {minLength: 2, maxLength: 30}),
      fc.integer({min: 1, max: 20}),
      fc.nat(),
      (rates, slots, seed) => {
        const loads = rates.map((ratePerS, index) => {
          return {account: `a-${index}`, ratePerS, ...LEFT};
        });
        const capacity = (slots * 1_000) / SERVICE_MS;
        const share = computeFairShare(rates, SHARED_PART * capacity);
        const results = runLoad({
          order: Order.FAIR,
          loads,
          slots,
          serviceMs: SERVICE_MS,
          durationMs: 3_000,
          seed,
        });
        for (const {account, ratePerS} of loads) {
          if (ratePerS > SHARE_MARGIN * share) continue;
          checked += 1;
          const {shed} = results.get(account) as AccountResult;
          expect(shed, `${account}, ${ratePerS} of ${share} a second`).to.equal(
            0,
          );
        }
      },
    ),
    {seed: 3, numRuns: 100},
  );
  expect(checked).to.be.above(100);
});

const STEPS = fc.array(
  fc.record({
    kind: fc.constantFrom('offer', 'offer', 'finish', 'cancel', 'tick'),
    importance: fc.integer({min: 0, max: 3}),
    leftMs: fc.integer({min: 1, max: 300}),
    account: fc.constantFrom('a', 'a', 'a', 'b', 'c', undefined),
    target: fc.nat(),
  }),
  {maxLength: 300, size: 'max'},
);
type Step = typeof STEPS extends fc.Arbitrary<Array<infer T>> ? T : never;

function createGate(clock: VirtualClock, isRecovery: boolean): AdaptiveGate {
  const parameters = isRecovery ? RECOVERY_PARAMETERS : GOODPUT_PARAMETERS;
  return new AdaptiveGate({
    clock,
    limiter: new FixedLimiter(2),
    parameters: {...parameters, queueLimit: 20},
    report: reportByThrowing,
  });
}

/** Applies a step to a gate; requests are named by the number of their step. */
function applyStep(
  gate: AdaptiveGate,
  nowMs: number,
  {kind, importance, leftMs, target}: Step,
  index: number,
  account: string | undefined,
): GateAction[] {
  const known = `t${target % (index + 1)}`;
  if (kind === 'finish') return gate.finish(known, Completion.SUCCEEDED);
  if (kind === 'cancel') return gate.cancel(known);
  if (kind === 'tick') return gate.tick();
  const deadline = nowMs + leftMs;
  return gate.offer({ticket: `t${index}`, importance, deadline, account});
}

// Guards against another order, eviction or refusal where all requests belong
// to one account: it has to be the order without accounts.
it('fair order: the order of a single account is unchanged', () => {
  fc.assert(
    fc.property(STEPS, fc.boolean(), (steps, isRecovery) => {
      const clock = new VirtualClock();
      const named = createGate(clock, isRecovery);
      const unnamed = createGate(clock, isRecovery);
      steps.forEach((step, index) => {
        const nowMs = clock.readMs();
        const actual = applyStep(named, nowMs, step, index, 'a');
        const expected = applyStep(unnamed, nowMs, step, index, undefined);
        expect(actual).to.deep.equal(expected);
        clock.advance(step.target % 7);
      });
    }),
    {seed: 11, numRuns: 300},
  );
});

// Guards against a slot that stays free while a request of any account waits,
// and against a request of which several verdicts or none are given.
it('fair order: no slot is free while a request waits', () => {
  fc.assert(
    fc.property(STEPS, fc.boolean(), (steps, isRecovery) => {
      const clock = new VirtualClock();
      const gate = createGate(clock, isRecovery);
      const verdicts = new Map<string, number>();
      let offers = 0;
      const apply = (actions: readonly GateAction[]): void => {
        for (const {ticket} of actions) {
          verdicts.set(ticket, (verdicts.get(ticket) ?? 0) + 1);
        }
      };
      steps.forEach((step, index) => {
        if (step.kind === 'offer') offers += 1;
        apply(applyStep(gate, clock.readMs(), step, index, step.account));
        const isIdle = gate.countRunning() < gate.readLimit();
        expect(isIdle && gate.countWaiting() > 0).to.equal(false);
        clock.advance(step.target % 7);
      });
      clock.advance(1_000);
      apply(gate.tick());
      expect(gate.countWaiting()).to.equal(0);
      expect([...verdicts.values()].every((count) => count === 1)).to.be.true;
      expect(verdicts.size).to.equal(offers);
    }),
    {seed: 13, numRuns: 300},
  );
});
