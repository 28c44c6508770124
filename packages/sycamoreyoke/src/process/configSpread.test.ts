import {expect} from 'chai';
import fc from 'fast-check';
import {VirtualClock} from '../clock.js';
import {reportByThrowing} from '../invariants.js';
import {createRandom} from '../random.js';
import {ConfigSpread} from './configSpread.js';
import type {SpreadDelta, SpreadResponse} from './configSpreadTypes.js';
import {SpreadActionKind, SpreadResponseKind} from './configSpreadTypes.js';
import {DELTA_HISTORY_VERSIONS, STARTING_FAILED_READS} from './constants.js';

const SEED = 31;
const KEYS = ['a', 'b', 'c', 'd'];

function createSpread(self = 'self', peers: readonly string[] = []) {
  const clock = new VirtualClock();
  const spread = new ConfigSpread<number>({
    clock,
    random: createRandom(1),
    report: reportByThrowing,
    service: 'tracking',
    self,
  });
  spread.setPeers(peers);
  return {spread, clock};
}

/** Version v sets one key to v, or removes it in every third version. */
function buildDelta(version: number): SpreadDelta<number> {
  const key = KEYS[version % KEYS.length] ?? '';
  const value = version % 3 === 0 ? null : version;
  return {version, edits: [{key, value}]};
}

function buildDeltas(since: number, version: number): SpreadResponse<number> {
  const count = Math.max(0, version - since);
  const deltas = Array.from({length: count}, (_, index) =>
    buildDelta(since + 1 + index),
  );
  return {kind: SpreadResponseKind.DELTA, since, deltas};
}

/** Reference model: applies all versions one after another. */
function buildSet(version: number): Map<string, number> {
  const set = new Map<string, number>();
  for (let one = 1; one <= version; one += 1) {
    for (const {key, value} of buildDelta(one).edits) {
      if (value === null) set.delete(key);
      else set.set(key, value);
    }
  }
  return set;
}

function buildSnapshot(version: number): SpreadResponse<number> {
  const objects = buildSet(version);
  return {kind: SpreadResponseKind.SNAPSHOT, version, objects};
}

function readKinds(actions: ReadonlyArray<{kind: SpreadActionKind}>) {
  return actions.map(({kind}) => kind);
}

// Guards against a set of objects that mixes versions, when responses arrive
// late, repeatedly or out of order.
it('config spread: responses in any order keep the set consistent', () => {
  const version = fc.integer({min: 0, max: 12});
  const answer = fc.oneof(
    fc.tuple(version, version).map(([a, b]) => buildDeltas(a, b)),
    version.map(buildSnapshot),
  );
  const isFromTable = fc.boolean();
  fc.assert(
    fc.property(
      fc.array(fc.tuple(answer, isFromTable), {maxLength: 20}),
      (answers) => {
        const {spread} = createSpread('self', ['p']);
        let version = 0;
        for (const [response, fromTable] of answers) {
          const actions = fromTable
            ? spread.handleTable(response)
            : spread.handlePeerResponse('p', response);
          for (const action of actions) {
            if (action.kind !== SpreadActionKind.ADOPT) continue;
            expect(action.version).to.be.above(version);
            version = action.version;
            expect(new Map(action.objects)).to.deep.equal(buildSet(version));
          }
          expect(spread.readVersion()).to.equal(version);
        }
      },
    ),
    {seed: SEED, numRuns: 2_000},
  );
});

// Guards against every node of a service reading the head, and against none
// doing so.
it('config spread: one member of a service reads the head', () => {
  const members = Array.from({length: 24}, (_, id) => `n${id}`);
  const readers = members.filter((self) =>
    createSpread(self, members).spread.isHeadReader(),
  );
  expect(readers).to.have.length(1);
});

// Guards against a new node that serves an old configuration, since the table
// is down and the one peer that answered is behind.
it('config spread: with the table down two ready peers must answer', () => {
  const {spread} = createSpread('self', ['p', 'q', 'r']);
  const notReady = {kind: SpreadResponseKind.NOT_READY} as const;
  spread.handlePeerResponse('p', buildSnapshot(3));
  spread.handlePeerResponse('q', notReady);
  for (let read = 0; read < STARTING_FAILED_READS; read += 1) {
    expect(spread.isReady()).to.equal(false);
    spread.handleHead(undefined);
  }
  expect(spread.isReady()).to.equal(false);
  expect(spread.serve(0)).to.deep.equal(notReady);
  spread.handlePeerResponse('r', buildDeltas(3, 5));
  expect(spread.isReady()).to.equal(true);
  expect(spread.readVersion()).to.equal(5);
});

// Guards against a node that trusts outdated peers after a single lost response
// of the table.
it('config spread: one failed read of the head is not an outage', () => {
  const {spread} = createSpread('self', ['p', 'q']);
  spread.handlePeerResponse('p', buildSnapshot(3));
  spread.handlePeerResponse('q', buildSnapshot(3));
  spread.handleHead(undefined);
  expect(spread.isReady()).to.equal(false);
});

// Guards against the second node of a service that cannot start while the table
// is down, because it waits for two peers.
it('config spread: one answer is enough where one peer is known', () => {
  const {spread} = createSpread('self', ['p']);
  for (let read = 0; read < STARTING_FAILED_READS; read += 1) {
    spread.handleHead(undefined);
  }
  expect(spread.isReady()).to.equal(false);
  spread.handlePeerResponse('p', buildSnapshot(3));
  expect(spread.isReady()).to.equal(true);
});

// Guards against a new node that serves the version of outdated peers, although
// the head names a newer one.
it('config spread: a new node waits for the version of the head', () => {
  const {spread, clock} = createSpread('self', ['p', 'q']);
  spread.handlePeerResponse('p', buildSnapshot(3));
  spread.handlePeerResponse('q', buildSnapshot(3));
  expect(spread.isReady()).to.equal(false);
  const actions = spread.handleHead(4);
  expect(readKinds(actions)).to.include(SpreadActionKind.READ_TABLE);
  expect(spread.isReady()).to.equal(false);
  clock.advance(1);
  spread.handleTable(buildDeltas(3, 4));
  expect(spread.isReady()).to.equal(true);
});

// Guards against pulling forever from a peer whose responses are lost.
it('config spread: the table is read when the peer does not answer', () => {
  const {spread, clock} = createSpread('self', ['p']);
  spread.handleHead(0);
  const pull = spread.observeVersion('p', 2);
  expect(readKinds(pull)).to.deep.equal([SpreadActionKind.PULL_PEER]);
  clock.advance(1_000);
  expect(readKinds(spread.tick())).to.include(SpreadActionKind.READ_TABLE);
  // The table has no version 2, so it is not read again for it.
  spread.handleTable(buildDeltas(0, 1));
  clock.advance(10_000);
  expect(readKinds(spread.tick())).not.to.include(SpreadActionKind.READ_TABLE);
});

// Guards against an unbounded history, and against sending a delta with a gap
// to a peer that is far behind.
it('config spread: a peer too far behind gets a snapshot', () => {
  const {spread} = createSpread();
  spread.handleHead(0);
  const last = DELTA_HISTORY_VERSIONS + 50;
  for (let version = 1; version <= last; version += 1) {
    spread.handleTable(buildDeltas(version - 1, version));
  }
  expect(spread.serve(10)).to.deep.equal(buildSnapshot(last));
  expect(spread.serve(60)).to.deep.equal(buildDeltas(60, last));
});
