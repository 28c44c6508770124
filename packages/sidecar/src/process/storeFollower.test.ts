import {systemClock} from '@sycamoreyoke/node/process/systemClock';
import {expect} from 'chai';
import {EventCode} from 'sycamoreyoke/process/events';
import type {StorePosition} from 'sycamoreyoke/process/storePosition';
import {waitFor} from '../connection/linkHarness.test.js';
import type {FleetStore, RowBatch} from '../types.js';
import {RowRemoval, StoreTable} from '../types.js';
import {StoreFollower} from './storeFollower.js';

const PAUSE_MS = 60_000;

interface Watch {
  readonly after: number;
  readonly answer: (batch: RowBatch) => void;
}

/** Creates a follower of a store whose watches the test answers. */
function createFollower({pauseMs = 0} = {}) {
  const watches: Watch[] = [];
  const lists: RowBatch[] = [];
  const events: EventCode[] = [];
  const position: {-readonly [Key in keyof StorePosition]: number} = {
    era: 1,
    version: 10,
  };
  const store: FleetStore = {
    list: () => Promise.resolve({rows: [], ...position}),
    watch: (_table, after, _waitMs, signal) =>
      new Promise((answer, reject) => {
        signal.addEventListener('abort', () => reject(signal.reason as Error));
        watches.push({after, answer});
      }),
    writeRow: () => Promise.resolve(position.era),
    removeRow: () => Promise.resolve(RowRemoval.DONE),
    subscribeToEras: () => undefined,
  };
  const follower = new StoreFollower({
    clock: systemClock,
    store,
    table: StoreTable.NODES,
    record: (event) => events.push(event),
    handleAllRows: (batch) => lists.push(batch),
    handleChangedRows: () => undefined,
    choosePauseMs: () => pauseMs,
    chooseWaitMs: () => PAUSE_MS,
    handleSilence: () => undefined,
  });
  void follower.run();
  return {follower, watches, lists, events, position};
}

function createChange(position: StorePosition): RowBatch {
  return {rows: [{key: 'a', value: Buffer.from(''), ...position}], ...position};
}

// Guards against changes that are missed because a restored store has assigned
// the versions up to the known one again.
it('store follower: an answer of a later era leads to a list', async () => {
  const {follower, watches, lists, events, position} = createFollower();
  await waitFor(() => watches.length === 1);
  Object.assign(position, {era: 2, version: 4});
  watches[0]?.answer(createChange({era: 2, version: 12}));
  await waitFor(() => watches.length === 2);
  expect(lists.map(({era}) => era)).to.deep.equal([1, 2]);
  expect(watches.map(({after}) => after)).to.deep.equal([10, 4]);
  expect(events).to.include(EventCode.STORE_RESTORED);
  follower.stop();
});

// Guards against a follower that waits on a connection from before the restore,
// or in its pause after changes, while other calls show the later era.
for (const isPausing of [false, true]) {
  const state = isPausing ? 'pause' : 'wait';
  it(`store follower: a later era ends a ${state}`, async () => {
    const {follower, watches, lists, position} = createFollower({
      pauseMs: PAUSE_MS,
    });
    await waitFor(() => watches.length === 1);
    if (isPausing) {
      watches[0]?.answer(createChange({era: 1, version: 11}));
      await new Promise((resolve) => setImmediate(resolve));
    }
    position.era = 2;
    follower.handleEra(2);
    await waitFor(() => lists.length === 2);
    expect(lists[1]?.era).to.equal(2);
    follower.stop();
  });
}

// Guards against a late answer that takes a follower back to an earlier era.
it('store follower: an answer of an earlier era is not used', async () => {
  const {follower, watches, lists, position} = createFollower();
  await waitFor(() => watches.length === 1);
  position.era = 2;
  follower.handleEra(2);
  await waitFor(() => watches.length === 2);
  watches[1]?.answer(createChange({era: 1, version: 99}));
  await waitFor(() => watches.length === 3);
  expect(watches[2]?.after).to.equal(10);
  expect(lists).to.have.lengthOf(2);
  follower.stop();
});
