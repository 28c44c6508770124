import {expect} from 'chai';
import {VirtualClock} from 'sycamoreyoke/clock';
import {CRASH_REFUSAL_MS} from 'sycamoreyoke/process/crashRegister';
import type {CrashSuspect} from 'sycamoreyoke/process/crashRegister';
import {createCall} from '../connection/linkHarness.test.js';
import type {OutgoingCall, StoredRow} from '../types.js';
import type {CrashMark} from './crashTask.js';
import {CrashTask} from './crashTask.js';

interface TestNode {
  readonly clock: VirtualClock;
  readonly task: CrashTask;
  readonly rows: Map<string, Uint8Array>;
  readonly spread: CrashSuspect[];
}

let nodes = 0;

function createNode(clock = new VirtualClock()): TestNode {
  const rows = new Map<string, Uint8Array>();
  const spread: CrashSuspect[] = [];
  const task = new CrashTask({
    incarnation: `node-${(nodes += 1)}`,
    service: 'booking',
    clock,
    record: () => undefined,
    store: {
      writeRow: (key, value) => Promise.resolve(void rows.set(key, value)),
      removeRow: () => Promise.resolve(),
    },
    encodeMark: (mark) => Buffer.from(JSON.stringify(mark)),
    decodeMark: (content) =>
      JSON.parse(Buffer.from(content).toString()) as CrashMark,
    broadcastSuspects: (suspects) => spread.push(...suspects),
  });
  task.stop();
  return {clock, task, rows, spread};
}

/** Creates an attempt of a request; each attempt has its own request id. */
function createAttempt(path: string, attempt: number): OutgoingCall {
  return {...createCall(`${path}-${attempt}`), path};
}

/** Records two crashes of a node's upstream, one for each of two attempts. */
function recordTwice({clock, task}: TestNode, path: string): void {
  for (const attempt of [1, 2]) {
    clock.advance(1_000);
    task.recordCrash([createAttempt(path, attempt)]);
  }
}

function listRows({rows}: TestNode, version: number): StoredRow[] {
  return [...rows].map(([key, value]) => ({key, value, version}));
}

// Guards against refusals that do not reach nodes without a link, and against
// gates that identify a request by the id of a single attempt.
it('crash task: learns a refused request from its row', async () => {
  const first = createNode();
  recordTwice(first, '/book/x');
  await Promise.resolve();
  const other = createNode();
  other.task.handleRows(listRows(first, 1));
  const check = (path: string) =>
    other.task.check(createAttempt(path, 9)).isRefused;
  expect([check('/book/x'), check('/book/y')]).to.deep.equal([true, false]);
});

// Guards against a refusal that never ends because its row is listed again, or
// that returns after an upstream has answered the request.
it('crash task: a relisted row does not extend the refusal', async () => {
  const first = createNode();
  recordTwice(first, '/book/x');
  await Promise.resolve();
  const other = createNode();
  const rows = listRows(first, 1);
  other.task.handleRows(rows);
  const attempt = createAttempt('/book/x', 9);
  other.clock.advance(CRASH_REFUSAL_MS - 1);
  other.task.handleRows(rows);
  expect(other.task.check(attempt).retryAfterMs).to.equal(1);
  other.task.observeAnswer(attempt, 0);
  other.task.handleRows(rows);
  expect(other.task.check(attempt).isRefused).to.equal(false);
});

// Guards against suspects that circulate between nodes forever.
it('crash task: known suspects are not broadcast again', () => {
  const first = createNode();
  const second = createNode();
  recordTwice(first, '/book/x');
  second.task.merge(first.spread);
  second.task.merge(first.spread);
  expect(second.spread).to.deep.equal(first.spread);
  expect(second.task.check(createAttempt('/book/x', 9)).isRefused).to.equal(
    true,
  );
});
