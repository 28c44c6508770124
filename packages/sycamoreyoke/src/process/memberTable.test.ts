import {expect} from 'chai';
import fc from 'fast-check';
import type {MemberUpdate} from './membershipMessages.js';
import {MemberTable, MergeResult} from './memberTable.js';
import type {Member} from './types.js';
import {MemberState} from './types.js';

const SEED = {seed: 20_261_204, numRuns: 2_000};
const OWN = 'oviedo';

const updateArbitrary = fc
  .record({
    incarnation: fc.constantFrom('a', 'b', 'c'),
    counter: fc.nat(4),
    state: fc.constantFrom(...Object.values(MemberState)),
    observer: fc.constantFrom('', OWN),
    hasRecord: fc.boolean(),
  })
  .map(({hasRecord, ...update}): MemberUpdate => {
    const isOwnStatement = ![MemberState.SUSPECT, MemberState.DEAD].includes(
      update.state,
    );
    const observer = isOwnStatement ? '' : update.observer;
    const statement = {...update, observer};
    return hasRecord
      ? {...statement, record: createMember(update.incarnation)}
      : statement;
  });

function createMember(incarnation: string): Member {
  return {
    service: 'tracking',
    incarnation,
    counter: 0,
    address: `10.0.0.${incarnation}`,
    peerPort: 1,
    controlPort: 2,
    adminPort: 3,
    publicPort: 4,
    dataCentre: OWN,
    region: 'asturias',
    state: MemberState.ACTIVE,
    weight: 1,
    epoch: 0,
  };
}

/** Reference model: sorts all statements and takes the last one. */
function computeExpected(updates: readonly MemberUpdate[]): string[] {
  const order = ['joining', 'active', 'suspect', 'suspect+', 'leaving', 'dead'];
  const rank = ({state, observer}: MemberUpdate) =>
    order.indexOf(
      state + (state === MemberState.SUSPECT && observer ? '+' : ''),
    );
  return ['a', 'b', 'c'].flatMap((incarnation) => {
    const mine = updates.filter((update) => update.incarnation === incarnation);
    if (!mine.some(({record}) => record)) return [];
    const last = [...mine]
      .sort((a, b) => a.counter - b.counter || rank(a) - rank(b))
      .at(-1);
    return last ? [`${incarnation} ${last.counter} ${last.state}`] : [];
  });
}

function computeActual(updates: readonly MemberUpdate[]) {
  const table = new MemberTable((observer) => observer === OWN);
  for (const update of updates) table.apply(update, 0);
  const members = table
    .list()
    .map((m) => `${m.incarnation} ${m.counter} ${m.state}`);
  return {table, members: members.sort()};
}

// Guards against a result that depends on the order in which updates arrive.
it('member table holds the highest statement', () => {
  fc.assert(
    fc.property(fc.array(updateArbitrary, {maxLength: 12}), (updates) => {
      expect(computeActual(updates).members).to.deep.equal(
        computeExpected(updates),
      );
    }),
    SEED,
  );
});

// Guards against tables that stay different after receiving the same updates.
it('member table merge is commutative and idempotent', () => {
  const shuffled = fc.array(updateArbitrary, {maxLength: 12}).chain((updates) =>
    fc.tuple(
      fc.constant(updates),
      fc.shuffledSubarray([...updates, ...updates], {
        minLength: 2 * updates.length,
      }),
    ),
  );
  fc.assert(
    fc.property(shuffled, ([updates, others]) => {
      const first = computeActual(updates);
      const second = computeActual(others);
      expect(second.members).to.deep.equal(first.members);
      expect(second.table.readHash()).to.equal(first.table.readHash());
    }),
    SEED,
  );
});

// Guards against a hash that still includes removed or replaced states.
it('member table hash depends only on the content', () => {
  fc.assert(
    fc.property(fc.array(updateArbitrary, {maxLength: 12}), (updates) => {
      const {table} = computeActual(updates);
      const copy = new MemberTable(() => true);
      for (const update of table.listUpdates()) {
        const record = createMember(update.incarnation);
        copy.apply({...update, record}, 0);
      }
      expect(copy.readHash()).to.equal(table.readHash());
      table.expire(1);
      copy.expire(1);
      expect(copy.readHash()).to.equal(table.readHash());
    }),
    SEED,
  );
});

// Guards against a delta that misses a change after the sequence number.
it('member table delta brings a reader up to date', () => {
  const arrays = fc.array(updateArbitrary, {maxLength: 12});
  fc.assert(
    fc.property(arrays, arrays, (before, after) => {
      const {table} = computeActual(before);
      const reader = new MemberTable((observer) => observer === OWN);
      for (const update of table.listUpdates()) {
        const record = createMember(update.incarnation);
        reader.apply({...update, record}, 0);
      }
      const {sequence} = table;
      for (const update of after) table.apply(update, 0);
      for (const update of table.listSince(sequence) ?? []) {
        const record = createMember(update.incarnation);
        reader.apply({...update, record}, 0);
      }
      expect(reader.readHash()).to.equal(table.readHash());
    }),
    SEED,
  );
});

// Guards against a data centre that, while partitioned, makes others remove
// members that they can reach.
it('member table does not trust reports of other data centres', () => {
  const {table} = computeActual([
    {...createMember('a'), observer: '', record: createMember('a')},
  ]);
  const dead = {incarnation: 'a', counter: 0, state: MemberState.DEAD};
  const result = table.apply({...dead, observer: 'gijon'}, 0);
  expect(result).to.equal(MergeResult.UNVERIFIED);
  expect(table.find('a')?.state).to.equal(MemberState.ACTIVE);
});

// Guards against a member learned from a seed row that can never be pinned,
// because readers of the table are not told its start time.
it('member table: adding a start time counts as a change', () => {
  const table = new MemberTable(() => true);
  const record = createMember('seed');
  const update = {
    incarnation: record.incarnation,
    counter: record.counter,
    state: record.state,
    observer: '',
  };
  table.apply({...update, record}, 0);
  const before = table.sequence;
  table.apply({...update, record: {...record, startedMs: 7}}, 1);
  expect(table.sequence).to.equal(before + 1);
  expect(table.find('seed')?.startedMs).to.equal(7);
});
