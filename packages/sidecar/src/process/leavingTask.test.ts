import {expect} from 'chai';
import {VirtualClock} from 'sycamoreyoke/clock';
import type {UpstreamLeaving} from 'sycamoreyoke/process/upstreamLeavings';
import {waitFor} from '../connection/linkHarness.test.js';
import type {LeavingNotice, StoredRow} from '../types.js';
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
  const rows = new Map<string, string>();
  let failuresLeft = failures;
  const task = new LeavingTask({
    node: 'self',
    clock,
    record: () => undefined,
    store: {
      writeRow: (key, value) => {
        failuresLeft -= 1;
        if (failuresLeft >= 0) return Promise.reject(new Error('busy'));
        rows.set(key, Buffer.from(value).toString());
        return Promise.resolve();
      },
      removeRow: (key) => Promise.resolve(void rows.delete(key)),
    },
    encodeLeavings: (leavings) => Buffer.from(JSON.stringify(leavings)),
    decodeLeavings: (content) =>
      JSON.parse(Buffer.from(content).toString()) as UpstreamLeaving[],
    listOwn: () => own,
    applyOwn: (leavings) => void own.push(...leavings),
    sendNotice: (notice) => {
      sent.push(notice);
      return holders;
    },
    probeUpstream: (handleNoListener) => {
      if (!hasListener) handleNoListener();
    },
  });
  return {task, clock, own, sent, rows};
}

function createRow(leavings: readonly UpstreamLeaving[]): StoredRow {
  const value = Buffer.from(JSON.stringify(leavings));
  return {key: OWN_ROW, value, version: 3};
}

/** Longer than the task waits for a refused connection. */
function waitForProbe(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 100));
}

// Guards against a call to the store for each leaving.
it('leaving task: linked nodes are told once, and nothing is written', async () => {
  const {task, own, sent, rows} = createTask();
  own.push(LEAVING);
  task.handleUpstreamChange();
  task.handleUpstreamChange();
  await waitForProbe();
  expect(sent).to.deep.equal([{node: 'self', leavings: [LEAVING]}]);
  expect(rows.size).to.equal(0);
});

// Guards against a leaving that nobody knows when the process is killed.
it('leaving task: without a link the store is told, also if it is busy', async () => {
  const {task, own, rows} = createTask({holders: 0, failures: 1});
  own.push(LEAVING);
  task.handleUpstreamChange();
  await waitFor(() => rows.has(OWN_ROW));
  expect(rows.get(OWN_ROW)).to.equal(JSON.stringify([LEAVING]));
});

// Guards against a stop that ends before its leavings are stored, or after all
// of its time if the store does not answer.
it('leaving task: a stop waits for the store', async () => {
  const {task, own, rows} = createTask({failures: 2});
  own.push(LEAVING);
  task.startHandover();
  await task.finishHandover(1);
  expect(rows.has(OWN_ROW)).to.equal(true);
});

// Guards against calls to the store when a VM is removed as planned.
it('leaving task: a stop writes nothing if the upstream has ended', async () => {
  const {task, own, rows} = createTask({hasListener: false});
  own.push(LEAVING);
  task.startHandover();
  await waitForProbe();
  await task.finishHandover(1);
  expect(rows.size).to.equal(0);
});

// Guards against a leaving that is announced while the node stops.
it('leaving task: a leaving during the stop is stored', async () => {
  const {task, own, rows} = createTask();
  task.startHandover();
  own.push(LEAVING);
  task.handleUpstreamChange();
  await task.finishHandover(1);
  expect(rows.has(OWN_ROW)).to.equal(true);
});

// Guards against notices that reach other nodes than the one that they are
// about, and that are kept for good.
it('leaving task: a notice goes to its node only, for some minutes', () => {
  const {task, clock} = createTask();
  const notice = {node: 'a', leavings: [LEAVING]};
  task.handleNotice(notice);
  expect(task.listNotices('b')).to.deep.equal([]);
  expect(task.listNotices('a')).to.deep.equal([notice]);
  clock.advance(OLD_MS);
  expect(task.listNotices('a')).to.deep.equal([]);
});

// Guards against a restarted node that does not use what others and the store
// know about its upstream, and against a row that nobody removes.
it('leaving task: own notices and rows are applied', async () => {
  const {task, own, rows} = createTask();
  rows.set(OWN_ROW, '');
  task.handleNotice({node: 'self', leavings: [LEAVING]});
  expect(own).to.deep.equal([LEAVING]);
  task.handleRows([createRow([{...LEAVING, instance: 'i-0'}])]);
  expect(own.map(({instance}) => instance)).to.deep.equal(['i-1', 'i-0']);
  expect(task.listNotices('b')).to.have.lengthOf(1);
  own.splice(0);
  task.handleUpstreamChange();
  await waitFor(() => !rows.has(OWN_ROW));
});
