import {expect} from 'chai';
import fc from 'fast-check';
import {VirtualClock} from '../clock.js';
import {reportByThrowing} from '../invariants.js';
import {createRandom} from '../random.js';
import {ConfigPropagation} from './configPropagation.js';
import type {
  VersionDelta,
  PropagationResponse,
} from './configPropagationTypes.js';
import {
  PropagationActionKind,
  PropagationResponseKind,
} from './configPropagationTypes.js';
import {DELTA_HISTORY_VERSIONS, STARTING_FAILED_READS} from './constants.js';

const SEED = 31;
const KEYS = ['a', 'b', 'c', 'd'];

function createPropagation(self = 'self', peers: readonly string[] = []) {
  const clock = new VirtualClock();
  const propagation = new ConfigPropagation<number>({
    clock,
    random: createRandom(1),
    report: reportByThrowing,
    service: 'tracking',
    self,
  });
  propagation.setPeers(peers);
  return {propagation, clock};
}

/** Version v sets one key to v, or removes it in every third version. */
function buildDelta(version: number): VersionDelta<number> {
  const key = KEYS[version % KEYS.length] ?? '';
  const value = version % 3 === 0 ? null : version;
  return {version, edits: [{key, value}]};
}

function buildDeltas(
  since: number,
  version: number,
): PropagationResponse<number> {
  const count = Math.max(0, version - since);
  const deltas = Array.from({length: count}, (_, index) =>
    buildDelta(since + 1 + index),
  );
  return {kind: PropagationResponseKind.DELTA, since, deltas};
}

/** Reference model: applies all versions one after another. */
function buildSet(version: number): Map<string, number> {
  const set = new Map<string, number>();
  for (let currentVersion = 1; currentVersion <= version; currentVersion += 1) {
    for (const {key, value} of buildDelta(currentVersion).edits) {
      if (value === null) set.delete(key);
      else set.set(key, value);
    }
  }
  return set;
}

function buildSnapshot(version: number): PropagationResponse<number> {
  const objects = buildSet(version);
  return {kind: PropagationResponseKind.SNAPSHOT, version, objects};
}

function readKinds(actions: ReadonlyArray<{kind: PropagationActionKind}>) {
  return actions.map(({kind}) => kind);
}

// Guards against a set of objects that mixes versions, when responses arrive
// late, repeatedly or out of order.
it('config propagation: responses in any order keep the set consistent', () => {
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
        const {propagation} = createPropagation('self', ['p']);
        let version = 0;
        for (const [response, fromTable] of answers) {
          const actions = fromTable
            ? propagation.handleTable(response)
            : propagation.handlePeerResponse('p', response);
          for (const action of actions) {
            if (action.kind !== PropagationActionKind.ADOPT) continue;
            expect(action.version).to.be.above(version);
            version = action.version;
            expect(new Map(action.objects)).to.deep.equal(buildSet(version));
          }
          expect(propagation.readVersion()).to.equal(version);
        }
      },
    ),
    {seed: SEED, numRuns: 2_000},
  );
});

// Guards against every node of a service reading the head, and against none
// doing so.
it('config propagation: one member of a service reads the head', () => {
  const members = Array.from({length: 24}, (_, id) => `n${id}`);
  const readers = members.filter((self) =>
    createPropagation(self, members).propagation.isHeadReader(),
  );
  expect(readers).to.have.length(1);
});

// Guards against a new node that serves an old configuration, since the table
// is down and the one peer that answered is behind.
it('config propagation: without the table two ready peers must answer', () => {
  const {propagation} = createPropagation('self', ['p', 'q', 'r']);
  const notReady = {kind: PropagationResponseKind.NOT_READY} as const;
  propagation.handlePeerResponse('p', buildSnapshot(3));
  propagation.handlePeerResponse('q', notReady);
  for (let read = 0; read < STARTING_FAILED_READS; read += 1) {
    expect(propagation.isReady()).to.equal(false);
    propagation.handleHead(undefined);
  }
  expect(propagation.isReady()).to.equal(false);
  expect(propagation.serve(0)).to.deep.equal(notReady);
  propagation.handlePeerResponse('r', buildDeltas(3, 5));
  expect(propagation.isReady()).to.equal(true);
  expect(propagation.readVersion()).to.equal(5);
});

// Guards against a node that trusts outdated peers after a single lost response
// of the table.
it('config propagation: one failed read of the head is not an outage', () => {
  const {propagation} = createPropagation('self', ['p', 'q']);
  propagation.handlePeerResponse('p', buildSnapshot(3));
  propagation.handlePeerResponse('q', buildSnapshot(3));
  propagation.handleHead(undefined);
  expect(propagation.isReady()).to.equal(false);
});

// Guards against the second node of a service that cannot start while the table
// is down, because it waits for two peers.
it('config propagation: one answer is enough where one peer is known', () => {
  const {propagation} = createPropagation('self', ['p']);
  for (let read = 0; read < STARTING_FAILED_READS; read += 1) {
    propagation.handleHead(undefined);
  }
  expect(propagation.isReady()).to.equal(false);
  propagation.handlePeerResponse('p', buildSnapshot(3));
  expect(propagation.isReady()).to.equal(true);
});

// Guards against a new node that serves the version of outdated peers, although
// the head names a newer one.
it('config propagation: a new node waits for the version of the head', () => {
  const {propagation, clock} = createPropagation('self', ['p', 'q']);
  propagation.handlePeerResponse('p', buildSnapshot(3));
  propagation.handlePeerResponse('q', buildSnapshot(3));
  expect(propagation.isReady()).to.equal(false);
  const actions = propagation.handleHead(4);
  expect(readKinds(actions)).to.include(PropagationActionKind.READ_TABLE);
  expect(propagation.isReady()).to.equal(false);
  clock.advance(1);
  propagation.handleTable(buildDeltas(3, 4));
  expect(propagation.isReady()).to.equal(true);
});

// Guards against pulling forever from a peer whose responses are lost.
it('config propagation: the table is read if the peer does not answer', () => {
  const {propagation, clock} = createPropagation('self', ['p']);
  propagation.handleHead(0);
  const pull = propagation.observeVersion('p', 2);
  expect(readKinds(pull)).to.deep.equal([PropagationActionKind.PULL_PEER]);
  clock.advance(1_000);
  expect(readKinds(propagation.tick())).to.include(
    PropagationActionKind.READ_TABLE,
  );
  // The table has no version 2, so it is not read again for it.
  propagation.handleTable(buildDeltas(0, 1));
  clock.advance(10_000);
  expect(readKinds(propagation.tick())).not.to.include(
    PropagationActionKind.READ_TABLE,
  );
});

// Guards against an unbounded history, and against sending a delta with a gap
// to a peer that is far behind.
it('config propagation: a peer too far behind gets a snapshot', () => {
  const {propagation} = createPropagation();
  propagation.handleHead(0);
  const last = DELTA_HISTORY_VERSIONS + 50;
  for (let version = 1; version <= last; version += 1) {
    propagation.handleTable(buildDeltas(version - 1, version));
  }
  expect(propagation.serve(10)).to.deep.equal(buildSnapshot(last));
  expect(propagation.serve(60)).to.deep.equal(buildDeltas(60, last));
});
