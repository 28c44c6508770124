import {expect} from 'chai';
import {VirtualClock} from 'sycamoreyoke/clock';
import {reportByThrowing} from 'sycamoreyoke/invariants';
import {PropagationResponseKind} from 'sycamoreyoke/process/configPropagationTypes';
import {createRandom} from 'sycamoreyoke/random';
import {MemoryStore, MemoryTable} from 'sycamoreyoke/version/memoryTable.test';
import {publishEdits} from 'sycamoreyoke/version/publish';
import {Lean, ObjectKind} from 'sycamoreyoke/version/types';
import type {ConfigurationPeers} from './configurationTask.js';
import {ConfigurationTask, NO_PEERS} from './configurationTask.js';

const clock = new VirtualClock();
const random = createRandom(1);

function createTask(table: MemoryTable, self: string, peers = NO_PEERS) {
  return new ConfigurationTask({
    table,
    objectStore: new MemoryStore(),
    clock,
    random,
    report: reportByThrowing,
    record: () => undefined,
    peers,
    service: 'tracking',
    self,
  });
}

async function publishPolicy(table: MemoryTable, base: number) {
  const object = {
    kind: ObjectKind.POLICY as const,
    name: 'p',
    lean: Lean.GOODPUT,
    queueLimit: base + 1,
  };
  const edits = [{kind: object.kind, name: 'p', object}];
  const parts = {table, clock, random, wait: () => Promise.resolve()};
  await publishEdits(parts, {base, edits, who: 'o', nonce: `n${base}`});
}

// Guards against nodes that keep serving an old configuration because the
// announcement of a published version is ignored.
it('configuration task: adopts an announced version', async () => {
  const table = new MemoryTable();
  await publishPolicy(table, 0);
  const task = createTask(table, 'a');
  const adopted: number[] = [];
  task.addListener(({version}) => adopted.push(version));
  await task.start();
  expect(task.get().version).to.equal(1);
  await publishPolicy(table, 1);
  task.observeAnnouncement(2);
  task.stop();
  clock.advance(10_000);
  task.observeAnnouncement(2);
  await new Promise(setImmediate);
  expect(adopted).to.deep.equal([1, 2]);
});

// Guards against load on the table: a node must pull a version from a peer that
// has it instead of reading the table.
it('configuration task: pulls a version from a peer that has it', async () => {
  const table = new MemoryTable();
  await publishPolicy(table, 0);
  const first = createTask(table, 'a');
  await first.start();
  first.stop();
  const peers: ConfigurationPeers = {
    list: () => ['a'],
    pull: (_peer, since) => Promise.resolve(first.serve(since)),
    announce: () => undefined,
  };
  const second = createTask(new MemoryTable(), 'b', peers);
  second.observeVersion('a', 1);
  await new Promise(setImmediate);
  second.stop();
  expect(second.get().version).to.equal(1);
  expect(second.serve(0).kind).to.equal(PropagationResponseKind.NOT_READY);
});
