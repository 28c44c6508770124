import {expect} from 'chai';
import {HOST, createNode} from '../connection/linkHarness.test.js';
import type {NodeRecord, StoredRow} from '../types.js';
import {FleetTask} from './fleetTask.js';

const SELF = createNode('self', {host: HOST, port: 1});

function createTask() {
  let writes = 0;
  const task = new FleetTask({
    self: SELF,
    store: {
      list: () => Promise.reject(new Error('not called')),
      watch: () => Promise.reject(new Error('not called')),
      writeRow: () => Promise.resolve(void (writes += 1)),
      removeRow: () => Promise.resolve(),
    },
    record: () => undefined,
    encodeNode: encode,
    decodeNode: (content) =>
      JSON.parse(Buffer.from(content).toString()) as NodeRecord,
    handleChange: () => undefined,
    handleRemoval: () => undefined,
  });
  return {task, countWrites: () => writes};
}

function encode(node: NodeRecord): Uint8Array {
  return Buffer.from(JSON.stringify(node));
}

function createRow(name: string, version: number, port = 1): StoredRow {
  const node = createNode(name, {host: HOST, port});
  return {key: name, value: encode(node), version};
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
    [createRow('self', 1), createRow('a', 2), createRow('c', 3)],
    3,
  );
  task.handleChangedRows([createRow('b', 5), createRow('a', 6, 2)]);
  task.handleAllRows([createRow('self', 1), createRow('a', 2)], 4);
  expect(listPorts(task)).to.deep.equal({self: 1, a: 2, b: 1});
  task.handleAllRows([createRow('self', 1)], 7);
  expect(listPorts(task)).to.deep.equal({self: 1});
  task.stop();
});
