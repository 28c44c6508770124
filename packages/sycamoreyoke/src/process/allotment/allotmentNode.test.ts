import {expect} from 'chai';
import {takeInteger} from '../../random.js';
import {AllotmentFleet} from './allotmentFleet.test.js';
import {TokenBucket} from './tokenBucket.js';
import {ChargeEnd} from './tokenHolder.js';
import type {Allotment} from './types.js';

const ALLOTMENT: Allotment = {ratePerS: 100, burst: 120};
const STEP_S = 0.002;
const START_MS = 3_000;
const SEEDS = 12;
const TOLERANCE = {windowMs: 5_000, overage: 0.1, slack: 20};

/** Sends requests at a rate, through nodes that are chosen for each. */
function createLoad(
  fleet: AllotmentFleet,
  ratePerS: number,
  choose: () => string,
): () => void {
  let due = 0;
  return () => {
    due += ratePerS * STEP_S;
    for (; due >= 1; due -= 1) fleet.send(choose());
  };
}

/** Lets each connection fail and each process restart now and then. */
function createFaults(fleet: AllotmentFleet): () => void {
  const {random, names} = fleet;
  let nextMs = 0;
  return () => {
    const nowMs = fleet.clock.readMs();
    if (nowMs < nextMs) return;
    nextMs = nowMs + random() * 4_000;
    const isWhole = random() < 0.25;
    const sides = names.map(() => random() < 0.5);
    const cutShare = random() < 0.5 ? 0 : 0.3 * random();
    for (const [i, first] of names.entries()) {
      for (const [j, second] of names.entries()) {
        if (j <= i) continue;
        const isCut = sides[i] !== sides[j] || random() < cutShare;
        fleet.setCut(first, second, !isWhole && isCut);
      }
    }
    const restarted = names[takeInteger(random, 2 * names.length)];
    if (restarted === undefined) return;
    fleet.kill(restarted);
    fleet.startLater(restarted, random() * 3_000);
  };
}

/** Returns how many requests ran that an exact bucket would have refused. */
function countExcess(fleet: AllotmentFleet, {ratePerS, burst}: Allotment) {
  const exact = new TokenBucket({ratePerS, capacity: burst}, 0, burst);
  let excess = 0;
  for (const {atMs, end} of fleet.outcomes) {
    if (end !== ChargeEnd.GRANTED) continue;
    exact.advance(atMs);
    if (exact.take(1) === 0) excess += 1;
  }
  return excess;
}

// Guards against two owners that lend at a time, and against tokens that are
// lent twice, when messages are lost and nodes are cut off or restarted.
it('allotments: no more run than one exact bucket admits', () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const options = {nodes: 10, maxDelayMs: 16, loss: 0.02};
    const fleet = new AllotmentFleet(seed, ALLOTMENT, options);
    const load = createLoad(fleet, 400, () => fleet.chooseNode());
    const fault = createFaults(fleet);
    fleet.run(START_MS, load);
    fleet.run(25_000, () => {
      load();
      fault();
    });
    expect(countExcess(fleet, ALLOTMENT), `seed ${seed}`).to.equal(0);
    expect(fleet.count(ChargeEnd.GRANTED), `seed ${seed}`).to.be.above(300);
  }
});

// Guards against an origin that spends the tolerance in addition to what owners
// lend, and against origins that spend it together.
it('allotments: in each window the excess is within the tolerance', () => {
  for (let seed = 1; seed <= 4; seed += 1) {
    const options = {nodes: 10, maxDelayMs: 16, tolerance: TOLERANCE};
    const fleet = new AllotmentFleet(seed, ALLOTMENT, options);
    const load = createLoad(fleet, 400, () => fleet.chooseNode());
    const fault = createFaults(fleet);
    fleet.run(20_000, () => {
      load();
      fault();
    });
    const {windowMs, overage, slack} = TOLERANCE;
    const most =
      ((ALLOTMENT.ratePerS * windowMs) / 1000 + ALLOTMENT.burst) *
        (1 + overage) +
      slack;
    for (let fromMs = 0; fromMs < 15_000; fromMs += 500) {
      const runs = fleet.count(ChargeEnd.GRANTED, fromMs, fromMs + windowMs);
      expect(runs, `seed ${seed}, window at ${fromMs}`).to.be.most(most);
    }
  }
});

// Guards against tokens that are held at one node while requests at another are
// refused.
it('allotments: account below its limit is served through any node', () => {
  for (const ratePerS of [5, 20, 90]) {
    const allotment = {ratePerS: 1.1 * ratePerS, burst: 1.5 * ratePerS};
    for (let seed = 1; seed <= 4; seed += 1) {
      const options = {nodes: 10, maxDelayMs: 8};
      const fleet = new AllotmentFleet(seed, allotment, options);
      fleet.run(START_MS);
      fleet.run(
        6_000,
        createLoad(fleet, ratePerS, () => fleet.chooseNode()),
      );
      for (const name of fleet.names.slice(0, 4)) {
        fleet.run(
          2_000,
          createLoad(fleet, ratePerS, () => name),
        );
      }
      fleet.run(500);
      const served = fleet.count(ChargeEnd.GRANTED);
      const label = `rate ${ratePerS}, seed ${seed}`;
      expect(fleet.outcomes.length - served, label).to.equal(0);
      expect(served, label).to.be.above(13 * ratePerS);
    }
  }
});

// Guards against an account that is refused for longer than the takeover when
// its owner is killed, and again when the owner is back.
it('allotments: next owner takes over when the process is gone', () => {
  const options = {nodes: 10, maxDelayMs: 8};
  const fleet = new AllotmentFleet(7, ALLOTMENT, options);
  const [owner = ''] = fleet.listOwners();
  const others = fleet.names.filter((name) => name !== owner);
  const load = createLoad(
    fleet,
    80,
    () => others[takeInteger(fleet.random, others.length)] ?? '',
  );
  fleet.run(START_MS);
  fleet.run(2_000, load);
  fleet.kill(owner);
  fleet.run(2_000, load);
  expect(fleet.count(ChargeEnd.GRANTED)).to.be.within(310, 320);
  fleet.start(owner);
  const backMs = fleet.clock.readMs();
  fleet.run(2_000, load);
  const refused = fleet.outcomes.filter(
    ({atMs, end}) => atMs >= backMs && end !== ChargeEnd.GRANTED,
  );
  expect(refused.length).to.be.below(5);
  fleet.run(2_000, load);
  const served = fleet.count(ChargeEnd.GRANTED, backMs + 2_000);
  expect(served).to.be.within(155, 165);
});

// Guards against a lowered limit that is not applied to a full bucket.
it('allotments: lowered limit holds one window later', () => {
  const options = {nodes: 10, maxDelayMs: 8};
  const fleet = new AllotmentFleet(3, {ratePerS: 100, burst: 500}, options);
  fleet.run(START_MS + 6_000);
  const load = createLoad(fleet, 400, () => fleet.chooseNode());
  fleet.update({ratePerS: 10, burst: 10});
  const fromMs = fleet.clock.readMs() + TOLERANCE.windowMs;
  fleet.run(15_000, load);
  const runs = fleet.count(ChargeEnd.GRANTED, fromMs, fromMs + 5_000);
  expect(runs).to.be.within(45, 60);
});
