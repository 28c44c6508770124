import {expect} from 'chai';
import {HOST, createNode, waitFor} from '../connection/linkHarness.test.js';
import type {NodeRecord, RowBatch, StoredRow} from '../types.js';
import {RowRemoval} from '../types.js';
import {FakeStore} from './fakeStore.test.js';
import {FleetTask} from './fleetTask.js';

const SELF = createNode('self', {host: HOST, port: 1});
/** Time in which a node writes its own record again, ms. */
const REWRITE_MS = 1_000;

function createTask(self = SELF) {
  const store = new FakeStore();
  const removedNodes: string[] = [];
  const task = new FleetTask({
    self,
    store,
    random: () => 0.9,
    record: () => undefined,
    encodeNode: encode,
    decodeNode: (content) =>
      JSON.parse(Buffer.from(content).toString()) as NodeRecord,
    handleChange: () => undefined,
    isLinked: () => false,
    handleRemoval: (node) => removedNodes.push(node),
  });
  return {task, store, removedNodes};
}

function createBatch(rows: readonly StoredRow[], version: number): RowBatch {
  return {rows, era: 1, version};
}

function encode(node: NodeRecord): Buffer {
  return Buffer.from(JSON.stringify(node));
}

function createRow(name: string, version: number, port = 1): StoredRow {
  const node = createNode(name, {host: HOST, port});
  return {key: name, value: encode(node), era: 1, version};
}

function listPorts(task: FleetTask): Record<string, number> {
  const entries = task.list().map(({node, address}) => [node, address.port]);
  return Object.fromEntries(entries) as Record<string, number>;
}

// Guards against a stale list that drops nodes or restores their previous
// addresses.
it('fleet task: a stale list does not override newer rows', () => {
  const {task} = createTask();
  task.handleAllRows(
    createBatch(
      [createRow('self', 1), createRow('a', 2), createRow('c', 3)],
      3,
    ),
  );
  task.handleChangedRows([createRow('b', 5), createRow('a', 6, 2)]);
  task.handleAllRows(createBatch([createRow('self', 1), createRow('a', 2)], 4));
  expect(listPorts(task)).to.deep.equal({self: 1, a: 2, b: 1});
  task.handleAllRows(createBatch([createRow('self', 1)], 7));
  expect(listPorts(task)).to.deep.equal({self: 1});
  task.stop();
});

// Guards against a record that the store loses right after its acknowledgement,
// or that it replaces by the record of an earlier process.
for (const hasOlder of [false, true]) {
  const name = hasOlder ? 'an older record' : 'no record';
  it(`fleet task: a copy with ${name} gets the own one in 1 s`, async () => {
    const {task, store} = createTask();
    const older = {...SELF, incarnation: 'earlier'};
    if (hasOlder) store.write('self', encode(older));
    const copy = store.createCopy();
    await task.announce();
    task.handleAllRows(store.list());
    store.applyCopy(copy);
    const startedMs = performance.now();
    task.handleAllRows(store.list());
    await waitFor(() => store.writtenKeys.length === 2);
    expect(performance.now() - startedMs).to.be.below(REWRITE_MS);
    const value = Buffer.from(store.read('self')?.value ?? []).toString();
    expect(value).to.equal(encode(SELF).toString());
    task.stop();
  });
}

// Guards against nodes that vanish, or get their previous addresses, because
// the copy is from before their records.
it('fleet task: the copy does not override what was known before', async () => {
  const {task, store} = createTask();
  await task.announce();
  const write = (name: string, port: number, incarnation = 'first') => {
    const node = {...createNode(name, {host: HOST, port}), incarnation};
    return store.write(name, encode(node));
  };
  write('a', 1);
  const copy = store.createCopy();
  write('a', 2, 'second');
  write('b', 3);
  task.handleAllRows(store.list());
  store.applyCopy(copy);
  task.handleAllRows(store.list());
  expect(listPorts(task)).to.deep.equal({self: 1, a: 2, b: 3});
  // The owner writes in the new era, at a version below the one before.
  task.handleChangedRows([write('a', 4, 'third')]);
  expect(listPorts(task)).to.deep.equal({self: 1, a: 4, b: 3});
  task.stop();
});

// Guards against the removal of a record whose version in the new era is, by
// chance, the one that was read before.
it('fleet task: no row is removed by a version of another era', async () => {
  const {task, store, removedNodes} = createTask();
  const copy = store.createCopy();
  store.write('other', encode(createNode('other', {host: HOST, port: 2})));
  task.handleAllRows(store.list());
  store.applyCopy(copy);
  store.write('other', encode(createNode('other', {host: HOST, port: 3})));
  await task.removeUnreachable(new Set(['other']));
  expect(store.removals).to.deep.equal([RowRemoval.NOT_SENT]);
  expect(store.read('other')).not.to.equal(undefined);
  expect(removedNodes).to.deep.equal([]);
  task.stop();
});
