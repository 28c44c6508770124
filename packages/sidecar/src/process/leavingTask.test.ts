import {expect} from 'chai';
import {VirtualClock} from 'sycamoreyoke/clock';
import type {UpstreamLeaving} from 'sycamoreyoke/process/upstreamLeavings';
import {waitFor} from '../connection/linkHarness.test.js';
import type {LeavingNotice, StoredRow} from '../types.js';
import {RowRemoval} from '../types.js';
import {FakeStore} from './fakeStore.test.js';
import {LeavingTask} from './leavingTask.js';

const LEAVING = {instance: 'i-1', bornMs: 1_000, announcedMs: 9_000};
const OWN_ROW = 'leaving/self';
/** Longer than a notice is kept, ms. */
const OLD_MS = 300_001;

interface TrialOptions {
  /** Linked nodes that keep notices. */
  readonly holders?: number;
  readonly hasListener?: boolean;
  /** Writes that the store refuses. */
  readonly failures?: number;
}

function createTask({
  holders = 1,
  hasListener = true,
  failures = 0,
}: TrialOptions = {}) {
  const clock = new VirtualClock();
  const own: UpstreamLeaving[] = [];
  const sent: LeavingNotice[] = [];
  let told = 0;
  const store = new FakeStore();
  store.failuresLeft = failures;
  const task = new LeavingTask({
    node: 'self',
    clock,
    random: () => 0,
    record: () => undefined,
    countNodes: () => 1,
    store,
    encodeLeavings: (leavings) => Buffer.from(JSON.stringify(leavings)),
    decodeLeavings: (content) =>
      JSON.parse(Buffer.from(content).toString()) as UpstreamLeaving[],
    listOwn: () => own,
    applyOwn: (leavings) => void own.push(...leavings),
    recordTold: () => void (told += 1),
    hasKnownFormer: ({incarnation}) => incarnation === 'second',
    sendNotice: (notice) => {
      sent.push(notice);
      return holders;
    },
    probeUpstream: (handleNoListener) => {
      if (!hasListener) handleNoListener();
    },
  });
  return {task, clock, own, sent, store, countTold: () => told};
}

function createProcess(node: string, incarnation = 'first') {
  return {node, incarnation};
}

/** Writes a row as another process does; returns it as a change. */
function writeRow(
  store: FakeStore,
  leavings: readonly UpstreamLeaving[],
  key = OWN_ROW,
): StoredRow {
  return store.write(key, Buffer.from(JSON.stringify(leavings)));
}

function readOwnRow(store: FakeStore): string {
  return Buffer.from(store.read(OWN_ROW)?.value ?? []).toString();
}

/** Longer than the task waits for a refused connection. */
function waitForProbe(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 100));
}

// Guards against a call to the store for each leaving.
it('leaving task: linked nodes are told once, and nothing is written', async () => {
  const {task, own, sent, store} = createTask();
  own.push(LEAVING);
  task.handleUpstreamChange();
  task.handleUpstreamChange();
  await waitForProbe();
  expect(sent).to.deep.equal([{node: 'self', leavings: [LEAVING]}]);
  expect(store.list().rows).to.have.lengthOf(0);
});

// Guards against a leaving that nobody knows when the process is killed.
it('leaving task: without a link the store is told, also if it is busy', async () => {
  const {task, own, store} = createTask({holders: 0, failures: 1});
  own.push(LEAVING);
  task.handleUpstreamChange();
  await waitFor(() => store.read(OWN_ROW) !== undefined);
  expect(readOwnRow(store)).to.equal(JSON.stringify([LEAVING]));
});

// Guards against a stop that ends before its leavings are stored, or after all
// of its time if the store does not answer.
it('leaving task: a stop waits for the store', async () => {
  const {task, own, store} = createTask({failures: 2});
  own.push(LEAVING);
  task.startHandover();
  await task.finishHandover(1);
  expect(readOwnRow(store)).to.equal(JSON.stringify([LEAVING]));
});

// Guards against calls to the store when a VM is removed as planned.
it('leaving task: a stop writes nothing if the upstream has ended', async () => {
  const {task, own, store} = createTask({hasListener: false});
  own.push(LEAVING);
  task.startHandover();
  await waitForProbe();
  await task.finishHandover(1);
  expect(store.list().rows).to.have.lengthOf(0);
});

// Guards against a leaving that is announced while the node stops.
it('leaving task: a leaving during the stop is stored', async () => {
  const {task, own, store} = createTask();
  task.startHandover();
  own.push(LEAVING);
  task.handleUpstreamChange();
  await task.finishHandover(1);
  expect(readOwnRow(store)).to.equal(JSON.stringify([LEAVING]));
});

// Guards against notices that reach other nodes than the one that they are
// about, and that are kept for good.
it('leaving task: a notice goes to its node only, for some minutes', () => {
  const {task, clock} = createTask();
  const notice = {node: 'a', leavings: [LEAVING]};
  task.handleNotice(notice);
  expect(task.listNotices(createProcess('b'))).to.deep.equal([]);
  expect(task.listNotices(createProcess('a'))).to.deep.equal([notice]);
  clock.advance(OLD_MS);
  expect(task.listNotices(createProcess('a'))).to.deep.equal([]);
});

// Guards against a restarted node that does not use what others and the store
// know about its upstream, and against a row that nobody removes.
it('leaving task: own notices and rows are applied', async () => {
  const {task, own, store} = createTask();
  task.handleNotice({node: 'self', leavings: [LEAVING]});
  expect(own).to.deep.equal([LEAVING]);
  task.handleRows([writeRow(store, [{...LEAVING, instance: 'i-0'}])]);
  expect(own.map(({instance}) => instance)).to.deep.equal(['i-1', 'i-0']);
  expect(task.listNotices(createProcess('b'))).to.have.lengthOf(1);
  own.splice(0);
  task.handleUpstreamChange();
  await waitFor(() => store.read(OWN_ROW) === undefined);
});

// Guards against a leaving whose row the store loses right after its
// acknowledgement, and that nobody knows once the process is killed.
it('leaving task: the own row is written again after a restore', async () => {
  const {task, own, store} = createTask({holders: 0});
  const copy = store.createCopy();
  own.push(LEAVING);
  task.handleUpstreamChange();
  await waitFor(() => readOwnRow(store) !== '');
  store.applyCopy(copy);
  task.handleRows([], store.list());
  await waitFor(() => readOwnRow(store) === JSON.stringify([LEAVING]));
});

// Guards against a leaving that is lost because its node was stopped, although
// others have read the row.
it('leaving task: a reader writes the lost row of another node', async () => {
  const {task, store} = createTask();
  const key = 'leaving/other';
  const copy = store.createCopy();
  task.handleRows([writeRow(store, [LEAVING], key)]);
  store.applyCopy(copy);
  task.handleRows([], store.list());
  await waitFor(() => store.read(key) !== undefined);
});

// Guards against the rows of upstreams that are long replaced: a copy from
// before the removal has them again.
it('leaving task: a row that comes back is removed again', async () => {
  const {task, store} = createTask();
  const key = 'leaving/other';
  task.handleRows([writeRow(store, [LEAVING], key)]);
  const copy = store.createCopy();
  await task.removeRow('other');
  expect(store.read(key)).to.equal(undefined);
  store.applyCopy(copy);
  task.handleRows(store.list().rows, store.list());
  await waitFor(() => store.read(key) === undefined);
});

// Guards against the removal of a newer leaving whose version in the new era
// is, by chance, the one of the former leaving.
it('leaving task: no row is removed by a version of another era', async () => {
  const {task, own, store} = createTask();
  const copy = store.createCopy();
  task.handleRows([writeRow(store, [LEAVING])]);
  store.applyCopy(copy);
  writeRow(store, [{...LEAVING, instance: 'i-2'}]);
  own.splice(0);
  task.handleUpstreamChange();
  await waitFor(() => store.removals.length > 0);
  expect(store.removals).to.deep.equal([RowRemoval.NOT_SENT]);
  expect(readOwnRow(store)).to.contain('i-2');
});

// Guards against a leaving whose row another node has removed by chance.
it('leaving task: the own row is written again after its removal', async () => {
  const {task, own, store} = createTask({holders: 0});
  own.push(LEAVING);
  task.handleUpstreamChange();
  await waitFor(() => readOwnRow(store) !== '');
  task.handleRows([store.remove(OWN_ROW)]);
  await waitFor(() => readOwnRow(store) !== '');
});

// Guards against a status check of an upstream although a peer knows that the
// former process of its node has announced no leaving.
it('leaving task: tells a successor that nothing was announced', () => {
  const {task} = createTask();
  expect(task.listNotices(createProcess('a', 'second'))).to.deep.equal([
    {node: 'a', leavings: []},
  ]);
  expect(task.listNotices(createProcess('a', 'first'))).to.deep.equal([]);
  const other = createTask();
  other.task.handleNotice({node: 'self', leavings: []});
  expect([other.own, other.countTold()]).to.deep.equal([[], 1]);
});
