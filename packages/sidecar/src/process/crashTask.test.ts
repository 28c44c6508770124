import {expect} from 'chai';
import {VirtualClock} from 'sycamoreyoke/clock';
import {CRASH_REFUSAL_MS} from 'sycamoreyoke/process/crashRegister';
import type {CrashSuspect} from 'sycamoreyoke/process/crashRegister';
import {OWNER_LEAD_MS} from 'sycamoreyoke/process/rowRewrite';
import {createCall, waitFor} from '../connection/linkHarness.test.js';
import type {OutgoingCall, StoredRow} from '../types.js';
import type {CrashMark} from './crashTask.js';
import {CrashTask} from './crashTask.js';
import {FakeStore} from './fakeStore.test.js';

interface TestNode {
  readonly clock: VirtualClock;
  readonly task: CrashTask;
  readonly store: FakeStore;
  readonly spread: CrashSuspect[];
}

let nodes = 0;

function createNode(clock = new VirtualClock()): TestNode {
  const store = new FakeStore();
  const spread: CrashSuspect[] = [];
  const task = new CrashTask({
    node: 'self',
    incarnation: `node-${(nodes += 1)}`,
    service: 'booking',
    clock,
    random: () => 0,
    record: () => undefined,
    countNodes: () => 1,
    store,
    encodeMark: (mark) => Buffer.from(JSON.stringify(mark)),
    decodeMark: (content) =>
      JSON.parse(Buffer.from(content).toString()) as CrashMark,
    broadcastSuspects: (suspects) => spread.push(...suspects),
  });
  task.stop();
  return {clock, task, store, spread};
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

function listRows({store}: TestNode): readonly StoredRow[] {
  return store.list().rows;
}

/** Longer than the only reader of a row waits before it writes the row. */
function waitForHolders(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, OWNER_LEAD_MS + 200));
}

// Guards against refusals that do not reach nodes without a link, and against
// gates that identify a request by the id of a single attempt.
it('crash task: learns a refused request from its row', async () => {
  const first = createNode();
  recordTwice(first, '/book/x');
  await Promise.resolve();
  const other = createNode();
  other.task.handleRows(listRows(first));
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
  const rows = listRows(first);
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

// Guards against a crash mark that the store loses right after its
// acknowledgement, so that a node without a link runs the request.
it('crash task: a lost mark is written again by its writer', async () => {
  const node = createNode();
  const copy = node.store.createCopy();
  recordTwice(node, '/book/x');
  await Promise.resolve();
  const [mark] = listRows(node);
  node.store.applyCopy(copy);
  node.task.handleRows([], node.store.list());
  await waitFor(() => listRows(node).length === 1);
  expect(listRows(node)[0]?.key).to.equal(mark?.key);
});

// Guards against the same if the writer is gone, and against marks of requests
// that an upstream has answered meanwhile.
for (const isAnswered of [false, true]) {
  const effect = isAnswered ? 'not written' : 'written again';
  it(`crash task: a lost mark is ${effect} by a reader`, async () => {
    const first = createNode();
    recordTwice(first, '/book/x');
    await Promise.resolve();
    const reader = createNode();
    reader.task.handleRows(listRows(first));
    const attempt = createAttempt('/book/x', 9);
    if (isAnswered) reader.task.observeAnswer(attempt, 0);
    reader.store.era = 2;
    reader.task.handleRows([], reader.store.list());
    if (isAnswered) await waitForHolders();
    else await waitFor(() => listRows(reader).length === 1);
    expect(listRows(reader)).to.have.lengthOf(isAnswered ? 0 : 1);
  });
}

// Guards against a refusal that is extended, or that returns after an upstream
// has answered the request, because the copy has its row.
it('crash task: a row of the copy does not extend the refusal', async () => {
  const first = createNode();
  recordTwice(first, '/book/x');
  await Promise.resolve();
  const other = createNode();
  const copy = first.store.createCopy();
  other.task.handleRows(listRows(first), first.store.list());
  const attempt = createAttempt('/book/x', 9);
  other.clock.advance(CRASH_REFUSAL_MS - 1);
  first.store.applyCopy(copy);
  other.task.handleRows(listRows(first), first.store.list());
  expect(other.task.check(attempt).retryAfterMs).to.equal(1);
  other.task.observeAnswer(attempt, 0);
  first.store.applyCopy(copy);
  other.task.handleRows(listRows(first), first.store.list());
  expect(other.task.check(attempt).isRefused).to.equal(false);
});
