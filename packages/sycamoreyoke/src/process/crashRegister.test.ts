import {expect} from 'chai';
import fc from 'fast-check';
import {VirtualClock} from '../clock.js';
import {createRandom, takeInteger} from '../random.js';
import {formatIdentity} from '../types.js';
import {
  CRASH_MEMORY_MS,
  CRASH_REFUSAL_MS,
  CrashRegister,
  MAX_CRASHES,
} from './crashRegister.js';

const createIdentity = (requestId: string, caller = 'site') =>
  formatIdentity({caller, requestClass: 'track', requestId});
const createIdentities = (ids: readonly (string | number)[]) =>
  ids.map((id) => createIdentity(String(id)));

// Guards against admitting the request that causes crashes, refusing one that
// was merely in flight, and a refusal that never ends. The reference model
// keeps every crash.
it('crashes: verdicts equal those of a model that keeps every crash', () => {
  const crash = fc.record({
    waitMs: fc.integer({min: 0, max: CRASH_REFUSAL_MS / 2}),
    ids: fc.uniqueArray(fc.integer({min: 0, max: 4}), {minLength: 1}),
  });
  fc.assert(
    fc.property(fc.array(crash, {maxLength: 12}), (list) => {
      const clock = new VirtualClock();
      const register = new CrashRegister(clock);
      const model: Array<{atMs: number; ids: number[]}> = [];
      for (const {waitMs, ids} of list) {
        clock.advance(waitMs);
        const nowMs = clock.readMs();
        register.recordCrash(`c${model.length}`, createIdentities(ids), 1);
        model.push({atMs: nowMs, ids});
        const retained = model.filter(
          ({atMs}) => nowMs - atMs < CRASH_MEMORY_MS,
        );
        const find = (id: number) =>
          retained.filter((each) => each.ids.includes(id));
        const score = (id: number) =>
          find(id).reduce((sum, each) => sum + 1 / each.ids.length, 0);
        for (let id = 0; id <= 4; id += 1) {
          const blamed = find(id).filter((each) =>
            each.ids.every(
              (other) =>
                other === id ||
                find(other).length < 2 ||
                score(other) < score(id) - 1e-9 ||
                (find(id).length >= 3 && score(other) <= score(id) + 1e-9),
            ),
          );
          const lastMs = Math.max(...blamed.map(({atMs}) => atMs));
          const isRefused =
            blamed.length >= 2 && nowMs - lastMs < CRASH_REFUSAL_MS;
          const verdict = register.check(createIdentity(String(id)));
          expect(verdict.isRefused, `request ${id}`).to.equal(isRefused);
        }
      }
    }),
    {seed: 41, numRuns: 2_000},
  );
});

// Guards against suspects that do not reach every node of the service, are
// counted more than once, or are sent forever.
it('crashes: suspects reach all nodes and the spreading ends', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const random = createRandom(seed);
    const clock = new VirtualClock();
    const nodes = Array.from({length: 16}, () => new CrashRegister(clock));
    const sends = Math.ceil(3 * Math.log2(nodes.length + 1));
    const take = () => nodes[takeInteger(random, nodes.length)];
    take()?.recordCrash('c1', createIdentities(['x', 'a', 'b']), sends);
    take()?.recordCrash('c2', createIdentities(['x', 'd']), sends);
    for (let round = 0; round < 60; round += 1) {
      for (const node of nodes) take()?.merge(node.takeSuspects(4), sends);
      clock.advance(1_000);
    }
    for (const node of nodes) {
      expect(node.countOutgoing()).to.equal(0);
      expect(node.countCrashes()).to.equal(2);
      expect(node.check(createIdentity('x')).isRefused).to.equal(true);
      expect(node.check(createIdentity('a')).isRefused).to.equal(false);
    }
    clock.advance(CRASH_REFUSAL_MS);
    for (const node of nodes) {
      expect(node.check(createIdentity('x')).isRefused).to.equal(false);
    }
  }
});

// Guards against one caller blocking the requests of another by using the same
// request ID.
it('crashes: the same ID of another caller is not refused', () => {
  const register = new CrashRegister(new VirtualClock());
  register.recordCrash('c1', createIdentities(['x']), 1);
  register.recordCrash('c2', createIdentities(['x']), 1);
  expect(register.check(createIdentity('x')).isRefused).to.equal(true);
  expect(register.check(createIdentity('x', 'app')).isRefused).to.equal(false);
});

// Guards against counting a crash twice that two nodes report.
it('crashes: a crash reported by several nodes counts once', () => {
  const register = new CrashRegister(new VirtualClock());
  const suspect = {identity: 'site/track/x', crashId: 'c1', inFlight: 1};
  register.merge([suspect, suspect], 1);
  register.merge([suspect], 1);
  expect(register.check(createIdentity('x')).isRefused).to.equal(false);
});

// Guards against refusing a request that was in flight at two crashes, although
// another one that was in flight at three is the more likely cause.
it('crashes: a more suspect request exonerates a bystander', () => {
  const register = new CrashRegister(new VirtualClock());
  register.recordCrash('c1', createIdentities(['x', 'y', 'z']), 1);
  register.recordCrash('c2', createIdentities(['x', 'y', 'w']), 1);
  expect(register.check(createIdentity('x')).isRefused).to.equal(false);
  expect(register.check(createIdentity('y')).isRefused).to.equal(false);
  register.recordCrash('c3', createIdentities(['x']), 1);
  expect(register.check(createIdentity('x')).isRefused).to.equal(true);
  expect(register.check(createIdentity('y')).isRefused).to.equal(false);
});

// Guards against memory growing with crashes or with malformed messages.
it('crashes: memory is bounded and malformed suspects are dropped', () => {
  const register = new CrashRegister(new VirtualClock());
  for (let index = 0; index < 3 * MAX_CRASHES; index += 1) {
    register.recordCrash(`c${index}`, createIdentities([index, 'x']), 1);
  }
  expect(register.countCrashes()).to.equal(MAX_CRASHES);
  expect(register.countIdentities()).to.equal(MAX_CRASHES + 1);
  const validEntry = {identity: 'site/track/q', crashId: 'm', inFlight: 1};
  register.merge(
    [
      {...validEntry, inFlight: 0},
      {...validEntry, inFlight: NaN},
      {...validEntry, identity: 'q'.repeat(1_000)},
      {...validEntry, crashId: ''},
    ],
    1,
  );
  expect(register.countIdentities()).to.equal(MAX_CRASHES + 1);
});

// Guards against a request that is refused although upstreams have answered it.
it('crashes: an answered request is cleared and not suspected again', () => {
  const register = new CrashRegister(new VirtualClock());
  const known = register.recordCrash('c1', createIdentities(['x', 'y']), 0);
  register.clear(createIdentity('y'));
  expect(register.merge(known, 0)).to.deep.equal([]);
  register.recordCrash('c2', createIdentities(['x', 'y']), 0);
  expect(register.check(createIdentity('x')).isRefused).to.equal(true);
  expect(register.check(createIdentity('y')).isRefused).to.equal(false);
});

// Guards against ignoring a refusal by another node, and keeping it forever.
it('crashes: a marked request is refused for a time', () => {
  const clock = new VirtualClock();
  const register = new CrashRegister(clock);
  register.refuse('x');
  expect(register.check('x').retryAfterMs).to.equal(CRASH_REFUSAL_MS);
  expect(register.check('y').isRefused).to.equal(false);
  clock.advance(CRASH_REFUSAL_MS);
  expect(register.check('x').isRefused).to.equal(false);
  expect(register.hasSuspects()).to.equal(false);
});

// Guards against a new node running requests that the other nodes refuse,
// because it does not know of the crashes before it joined.
it('crashes: a register that joins refuses what the others refuse', () => {
  const clock = new VirtualClock();
  const register = new CrashRegister(clock);
  register.recordCrash('c1', createIdentities(['x', 'y']), 0);
  register.recordCrash('c2', createIdentities(['x', 'z']), 0);
  const joined = new CrashRegister(clock);
  joined.merge(register.listSuspects(MAX_CRASHES), 0);
  expect(joined.check(createIdentity('x')).isRefused).to.equal(true);
  expect(joined.check(createIdentity('y')).isRefused).to.equal(false);
  expect(register.listSuspects(1)).to.have.length(1);
});

// Guards against requests that keep crashing upstreams because they were in
// flight at the same crashes and none has the highest score.
it('crashes: requests in the same three crashes are all refused', () => {
  const register = new CrashRegister(new VirtualClock());
  for (const crash of ['c1', 'c2', 'c3']) {
    expect(register.check(createIdentity('x')).isRefused).to.equal(false);
    register.recordCrash(crash, createIdentities(['x', 'y']), 1);
  }
  expect(register.check(createIdentity('x')).isRefused).to.equal(true);
  expect(register.check(createIdentity('y')).isRefused).to.equal(true);
  register.clear(createIdentity('y'));
  expect(register.check(createIdentity('x')).isRefused).to.equal(true);
  expect(register.check(createIdentity('y')).isRefused).to.equal(false);
});
