import {expect} from 'chai';
import fc from 'fast-check';
import {VirtualClock} from '../clock.js';
import {createRandom, takeInteger} from '../random.js';
import {TwoChoiceRouter} from './router.js';
import type {Member} from './types.js';
import {MemberState} from './types.js';

function createMember(index: number, change: Partial<Member> = {}): Member {
  return {
    service: 'tracking',
    incarnation: `m${index}`,
    counter: 0,
    address: '127.0.0.1',
    peerPort: 0,
    controlPort: 0,
    adminPort: 0,
    publicPort: 0,
    dataCentre: 'near',
    region: 'region',
    state: MemberState.ACTIVE,
    weight: 10,
    epoch: 0,
    startedMs: -60_000,
    ...change,
  };
}

function createRouter(seed: number, clock = new VirtualClock()) {
  const random = createRandom(seed);
  return new TwoChoiceRouter({clock, random, dataCentre: 'near'});
}

const memberChange = fc.record({
  state: fc.constantFrom(...Object.values(MemberState)),
  dataCentre: fc.constantFrom('near', 'far'),
  weight: fc.integer({min: 1, max: 50}),
});

// Guards against choosing a member that is excluded or not ACTIVE, and against
// choosing none although a linear scan finds one.
it('router: chooses only allowed members', () => {
  fc.assert(
    fc.property(
      fc.array(memberChange, {maxLength: 40, size: 'max'}),
      fc.array(fc.nat(39), {maxLength: 40}),
      fc.integer(),
      (changes, excludedIndexes, seed) => {
        const members = changes.map((change, index) =>
          createMember(index, change),
        );
        const excluded = new Set(excludedIndexes.map((index) => `m${index}`));
        const allowed = members.filter(
          ({state, incarnation}) =>
            state === MemberState.ACTIVE && !excluded.has(incarnation),
        );
        const router = createRouter(seed);
        router.update('tracking', members);
        const chosen = router.choose('tracking', excluded);
        if (allowed.length === 0) expect(chosen).to.be.undefined;
        else expect(allowed).to.include(chosen);
      },
    ),
    {seed: 21, numRuns: 500},
  );
});

// Guards against giving up after a few random draws when only one member is
// allowed. The property above does not detect a missing scan.
it('router: finds the only allowed member', () => {
  const members = Array.from({length: 60}, (_, index) => createMember(index));
  const router = createRouter(8);
  router.update('tracking', members);
  for (const {incarnation} of members) {
    const others = members.filter((other) => other.incarnation !== incarnation);
    const excluded = new Set(others.map((other) => other.incarnation));
    const chosen = router.choose('tracking', excluded);
    expect(chosen?.incarnation).to.equal(incarnation);
  }
});

// Guards against a choice that ignores observed latencies and calls in flight:
// of two members, the one with the lower expected wait must be chosen more
// often.
it('router: prefers the lower expected wait of two members', () => {
  const call = fc.record({
    member: fc.nat(1),
    latencyMs: fc.integer({min: 1, max: 500}),
    isOpen: fc.boolean(),
  });
  fc.assert(
    fc.property(
      fc.array(call, {maxLength: 40, size: 'max'}),
      fc.tuple(fc.integer({min: 1, max: 50}), fc.integer({min: 1, max: 50})),
      (calls, weights) => {
        const members = weights.map((weight, index) =>
          createMember(index, {weight}),
        );
        const router = createRouter(3);
        router.update('tracking', members);
        const inFlight = [0, 0];
        const average = [0, 0];
        for (const {member, latencyMs, isOpen} of calls) {
          router.start(`m${member}`);
          if (isOpen) {
            inFlight[member] = (inFlight[member] ?? 0) + 1;
            continue;
          }
          router.finish(`m${member}`, latencyMs, false);
          const before = average[member] ?? 0;
          average[member] =
            before === 0 ? latencyMs : before + 0.1 * (latencyMs - before);
        }
        const [first = 0, second = 0] = weights.map(
          (weight, index) =>
            ((average[index] || 1) * ((inFlight[index] ?? 0) + 1)) / weight,
        );
        // Both draws may hit the same member, so compare counts of 64 choices.
        const counts = [0, 0];
        for (let index = 0; index < 64; index += 1) {
          const chosen = router.choose('tracking', new Set());
          const position = chosen?.incarnation === 'm0' ? 0 : 1;
          counts[position] = (counts[position] ?? 0) + 1;
        }
        const [firstCount = 0, secondCount = 0] = counts;
        if (first < second) expect(firstCount).to.be.greaterThan(secondCount);
        if (second < first) expect(secondCount).to.be.greaterThan(firstCount);
      },
    ),
    {seed: 22, numRuns: 200},
  );
});

// Guards against choosing members that have left, over many state changes.
for (const seed of [31, 32, 33]) {
  it(`router: chooses only ACTIVE members, seed ${seed}`, () => {
    const random = createRandom(seed);
    const clock = new VirtualClock();
    const router = createRouter(seed, clock);
    const states = Object.values(MemberState);
    let members = Array.from({length: 30}, (_, index) => createMember(index));
    for (let step = 0; step < 20_000; step += 1) {
      if (step % 50 === 0) {
        members = members.map((member) => ({
          ...member,
          state: states[takeInteger(random, states.length)] ?? member.state,
        }));
        router.update('tracking', members);
      }
      const chosen = router.choose('tracking', new Set());
      if (chosen) {
        expect(chosen.state).to.equal(MemberState.ACTIVE);
        router.start(chosen.incarnation);
        router.finish(chosen.incarnation, random() * 100, random() < 0.1);
      }
      clock.advance(random() * 5);
    }
  });
}

// Guards against sending the full load to a member that has just started.
it('router: ramps up a new member over ten seconds', () => {
  const clock = new VirtualClock();
  const router = createRouter(5, clock);
  const members = Array.from({length: 10}, (_, index) =>
    createMember(index, index === 0 ? {startedMs: 0} : {}),
  );
  router.update('tracking', members);
  const countCold = (): number =>
    Array.from({length: 4_000}, () =>
      router.choose('tracking', new Set()),
    ).filter((member) => member?.incarnation === 'm0').length;
  expect(countCold()).to.be.below(120);
  clock.advance(10_000);
  expect(countCold()).to.be.within(300, 900);
});

// Guards against a member that attracts all calls because it refuses them
// quickly, and against leaving the local data centre while it has capacity.
it('router: avoids fast refusals and prefers local members', () => {
  const router = createRouter(6);
  router.update('tracking', [
    createMember(0),
    createMember(1),
    createMember(2, {dataCentre: 'far'}),
  ]);
  for (let index = 0; index < 50; index += 1) {
    router.start('m0');
    router.finish('m0', 1, true);
    router.start('m1');
    router.finish('m1', 5, false);
    router.start('m2');
    router.finish('m2', 5, false);
  }
  const chosen = Array.from({length: 100}, () =>
    router.choose('tracking', new Set()),
  );
  const count = (incarnation: string): number =>
    chosen.filter((member) => member?.incarnation === incarnation).length;
  expect(count('m1')).to.be.greaterThan(count('m0'));
  expect(count('m2')).to.be.below(50);
});

// Guards against counting a refusal as a fast response: once the failure rate
// has decayed, the member must not look faster than before.
it('router: a refusal does not change the latency', () => {
  const clock = new VirtualClock();
  const router = createRouter(9, clock);
  const member = createMember(0);
  router.update('tracking', [member]);
  router.start('m0');
  router.finish('m0', 20, false);
  const before = router.computeWaitMs(member);
  for (let index = 0; index < 20; index += 1) {
    router.start('m0');
    router.finish('m0', 0.1, true);
  }
  expect(router.computeWaitMs(member)).to.be.greaterThan(before);
  clock.advance(60_000);
  expect(router.computeWaitMs(member)).to.be.closeTo(before, 0.001);
});
