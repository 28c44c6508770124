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

/** The naive model: all versions one after another. */
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

// Guards against a set that mixes versions, whatever order answers come in.
it('config spread: any answers in any order keep version and set whole', () => {
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

// Guards against every node of a service reading the head, or none.
it('config spread: one member of a service reads the head', () => {
  const members = Array.from({length: 24}, (_, id) => `n${id}`);
  const readers = members.filter((self) =>
    createSpread(self, members).spread.isHeadReader(),
  );
  expect(readers).to.have.length(1);
});

// Guards against a new node that serves before it knows the newest version.
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

// Guards against one lost response of the table that makes stale peers enough.
it('config spread: one failed read of the head is not an outage', () => {
  const {spread} = createSpread('self', ['p', 'q']);
  spread.handlePeerResponse('p', buildSnapshot(3));
  spread.handlePeerResponse('q', buildSnapshot(3));
  spread.handleHead(undefined);
  expect(spread.isReady()).to.equal(false);
});

// Guards against a second node that can never start while the table is down.
it('config spread: one answer is enough where one peer is known', () => {
  const {spread} = createSpread('self', ['p']);
  for (let read = 0; read < STARTING_FAILED_READS; read += 1) {
    spread.handleHead(undefined);
  }
  expect(spread.isReady()).to.equal(false);
  spread.handlePeerResponse('p', buildSnapshot(3));
  expect(spread.isReady()).to.equal(true);
});

// Guards against a new node that trusts stale peers although the head is known.
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

// Guards against a peer that lost its answer and is asked for ever.
it('config spread: the table is read when the peer does not answer', () => {
  const {spread, clock} = createSpread('self', ['p']);
  spread.handleHead(0);
  const pull = spread.observeVersion('p', 2);
  expect(readKinds(pull)).to.deep.equal([SpreadActionKind.PULL_PEER]);
  clock.advance(1_000);
  expect(readKinds(spread.tick())).to.include(SpreadActionKind.READ_TABLE);
  // The table has no version 2: the peer's word is not followed for ever.
  spread.handleTable(buildDeltas(0, 1));
  clock.advance(10_000);
  expect(readKinds(spread.tick())).not.to.include(SpreadActionKind.READ_TABLE);
});

// Guards against unbounded history, and a delta with a gap for late peers.
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
