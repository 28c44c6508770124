import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {
  ConflictError,
  PlatformUnavailableError,
  ValidationError,
} from '../errors.js';
import type {Random} from '../random.js';
import {createRandom, takeInteger} from '../random.js';
import {RepeatGuard} from '../types.js';
import {CHANGE_PREFIX, SNAPSHOT_INTERVAL_VERSIONS} from './constants.js';
import {listHistory} from './history.js';
import {MemoryStore, MemoryTable, TableFault} from './memoryTable.test.js';
import type {PublishDependencies, PublishRequest} from './publish.js';
import {PublishUnknownError, publishEdits} from './publish.js';
import {readCurrentSet, writeSnapshotIfDue} from './snapshot.js';
import {buildPresentObjects, readSetAt, readTableSet} from './tableSet.js';
import type {ObjectEdit, RetryLimitObject} from './types.js';
import {ImportanceName, ObjectKind} from './types.js';

const ROW_LIMIT_BYTES = 64 * 1_024;
const OPERATORS = 6;
const PUBLISHES = 12;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

function buildLimit(name: string, perRequest: number): RetryLimitObject {
  return {
    kind: ObjectKind.RETRY_LIMIT,
    name,
    perRequest,
    shareOfTraffic: 0.1,
    backoffBaseMs: 10,
    backoffMaxMs: 100,
  };
}

function buildEdit(name: string, perRequest: number): ObjectEdit {
  const object = perRequest < 0 ? null : buildLimit(name, perRequest);
  return {kind: ObjectKind.RETRY_LIMIT, name, object};
}

function buildDependencies(
  table: MemoryTable,
  random: Random,
): PublishDependencies {
  const wait = () => waitTurns(takeInteger(random, 20));
  return {table, clock: new VirtualClock(), random, wait};
}

async function waitTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) await Promise.resolve();
}

interface PublishAttempt {
  readonly request: PublishRequest;
  readonly version?: number;
  readonly error?: unknown;
}

/** Operators publish concurrently, each one publish at a time. */
async function runOperators(seed: number, faultShare: number) {
  const random = createRandom(seed);
  const table = new MemoryTable(
    () => waitTurns(takeInteger(random, 12)),
    () => {
      if (random() >= faultShare) return TableFault.NONE;
      return takeInteger(random, 3) + TableFault.DOWN;
    },
  );
  const dependencies = buildDependencies(table, random);
  const attempted: PublishAttempt[] = [];
  const publishRepeatedly = async (who: string) => {
    for (let index = 0; index < PUBLISHES; index += 1) {
      const base = await readVersion(table);
      await waitTurns(takeInteger(random, 200));
      const names = new Set([1, 2].map(() => `l${takeInteger(random, 8)}`));
      const edits = [...names].map((name) =>
        buildEdit(name, takeInteger(random, 100) - 10),
      );
      const request = {base, edits, who, nonce: `${who}-${index}`};
      const result = await publishEdits(dependencies, request).then(
        ({version, changes}) => (changes.length > 0 ? {version} : {}),
        (error: unknown) => ({error}),
      );
      attempted.push({request, ...result});
    }
  };
  const operators = Array.from({length: OPERATORS}, (_, id) => `o${id}`);
  await Promise.all(operators.map(publishRepeatedly));
  await waitTurns(100);
  return {table, attempted};
}

async function readVersion(table: MemoryTable): Promise<number> {
  const set = await readTableSet(table).catch(() => undefined);
  return set ? set.head.version : readVersion(table);
}

async function checkAgainstModel(seed: number, faultShare: number) {
  const {table, attempted} = await runOperators(seed, faultShare);
  const faultlessTable = new MemoryTable();
  for (const [key, row] of table.rows) faultlessTable.rows.set(key, row);
  const log = (await listHistory(faultlessTable, 10_000)).reverse();
  // Model: a map to which the publishes are applied one after another.
  const model = new Map<string, unknown>();
  const changedIn = new Map<string, number>();
  log.forEach((record, index) => {
    expect(record.version).to.equal(index + 1);
    const attempt = attempted.find(
      ({request}) => request.nonce === record.nonce,
    );
    for (const edit of attempt?.request.edits ?? []) {
      const last = changedIn.get(edit.name) ?? 0;
      const base = attempt?.request.base ?? -1;
      expect(last, `${edit.name} in ${record.version}`).to.be.at.most(base);
    }
    for (const {name, after} of record.changes) {
      model.set(name, after);
      changedIn.set(name, record.version);
    }
  });
  const objects = buildPresentObjects(await readTableSet(faultlessTable));
  const expected = [...model.values()].filter((value) => value !== null);
  expect([...objects.values()]).to.have.deep.members(expected);
  const nonces = log.map(({nonce}) => nonce);
  expect(new Set(nonces).size).to.equal(nonces.length);
  for (const {request, version, error} of attempted) {
    const record = log.find(({nonce}) => nonce === request.nonce);
    if (error instanceof PlatformUnavailableError) continue;
    expect(record?.version, request.nonce).to.equal(version);
    if (!error) continue;
    expect(error).to.be.instanceOf(ConflictError);
    for (const conflict of (error as ConflictError).conflicts) {
      const [, name, winnerVersion] =
        /"(\w+)" was changed by version (\d+)/.exec(conflict) as unknown as [
          string,
          string,
          string,
        ];
      const winner = log[Number(winnerVersion) - 1];
      expect(winner?.changes.map((change) => change.name)).to.include(name);
      expect(Number(winnerVersion)).to.be.above(request.base);
    }
  }
  return {log, attempted};
}

// Guards against a publish that is lost, applied twice or overwrites the
// publish of another operator.
it('publish: racing operators agree with a single-threaded map', async () => {
  let conflicts = 0;
  let published = 0;
  for (const seed of SEEDS) {
    const {log, attempted} = await checkAgainstModel(seed, 0);
    published += log.length;
    conflicts += attempted.filter(({error}) => error).length;
  }
  expect(published).to.be.above(100);
  expect(conflicts).to.be.above(20);
});

// Guards against a publish that fails or is applied twice because the response
// of the table was lost.
it('publish: faults of the table lose and double nothing', async () => {
  let unknown = 0;
  for (const seed of SEEDS) {
    const {attempted} = await checkAgainstModel(seed, 0.15);
    unknown += attempted.filter(
      ({error}) => error instanceof PlatformUnavailableError,
    ).length;
  }
  expect(unknown).to.be.below(30);
});

// Guards against a publish that reports its own earlier attempt as a conflict.
it('publish: a lost response is recognised by the nonce', async () => {
  let lost = 0;
  const table = new MemoryTable(
    async () => {},
    () => (lost-- > 0 ? TableFault.LOST : TableFault.NONE),
  );
  const dependencies = buildDependencies(table, createRandom(1));
  const request = {base: 0, edits: [buildEdit('a', 1)], who: 'o', nonce: 'n'};
  const run = table.run.bind(table);
  table.run = (transaction) => {
    lost = 1;
    return run(transaction);
  };
  const result = await publishEdits(dependencies, request);
  expect(result).to.include({version: 1, isRecognised: true});
  const repeated = await publishEdits(dependencies, request);
  expect(repeated).to.include({version: 1, isRecognised: true});
});

function buildClassEdits(guard: RepeatGuard): ObjectEdit[] {
  const objects = [
    buildLimit('a', 1),
    {kind: ObjectKind.POLICY, name: 'p', lean: 'goodput', queueLimit: 9},
    {kind: ObjectKind.SERVICE, name: 's', policy: 'p'},
    {
      kind: ObjectKind.REQUEST_CLASS,
      name: 'c',
      service: 's',
      importance: ImportanceName.LOW,
      idempotent: false,
      guard,
      retryLimit: 'a',
      timeoutMs: 1_000,
    },
  ] as Array<NonNullable<ObjectEdit['object']>>;
  return objects.map((object) => {
    return {kind: object.kind, name: object.name, object};
  });
}

async function publishFailing(
  dependencies: PublishDependencies,
  request: Omit<PublishRequest, 'who'>,
): Promise<Error> {
  return publishEdits(dependencies, {who: 'o', ...request}).then(
    ({version}) => new Error(`published as version ${version}`),
    (error: Error) => error,
  );
}

// Guards against an invalid set that results from two concurrent publishes,
// each of them valid on its own.
it('publish: the whole set is checked again after a rebase', async () => {
  const dependencies = buildDependencies(new MemoryTable(), createRandom(1));
  const edits = [buildEdit('a', 1)];
  await publishEdits(dependencies, {base: 0, edits, who: 'o', nonce: '1'});
  const others = buildClassEdits(RepeatGuard.PIN).slice(1);
  await publishEdits(dependencies, {
    base: 1,
    edits: others,
    who: 'o',
    nonce: '2',
  });
  const removal = {base: 1, edits: [buildEdit('a', -1)], nonce: '3'};
  const error = await publishFailing(dependencies, removal);
  expect(error).to.be.instanceOf(ValidationError);
  expect(error.message).to.match(/retryLimit "a" does not exist/);
});

// Guards against a resend of a request whose class was removed and created
// again with another guard.
it('publish: a removed class comes back only with its guard', async () => {
  const dependencies = buildDependencies(new MemoryTable(), createRandom(1));
  const edits = buildClassEdits(RepeatGuard.PIN);
  await publishEdits(dependencies, {base: 0, edits, who: 'o', nonce: '1'});
  const removal = edits.map((edit) => ({...edit, object: null}));
  await publishEdits(dependencies, {
    base: 1,
    edits: removal,
    who: 'o',
    nonce: '2',
  });
  const changed = buildClassEdits(RepeatGuard.CLAIM);
  const error = await publishFailing(dependencies, {
    base: 2,
    edits: changed,
    nonce: '3',
  });
  expect(error).to.be.instanceOf(ValidationError);
  expect(error.message).to.match(/Class "c" guard: cannot change/);
  await publishEdits(dependencies, {base: 2, edits, who: 'o', nonce: '4'});
});

// Guards against reporting "not published" for a publish that may have taken
// effect.
it('publish: an outage after the send is reported as unknown', async () => {
  let isDown = false;
  const table = new MemoryTable(
    async () => {},
    () => (isDown ? TableFault.DOWN : TableFault.NONE),
  );
  const dependencies = buildDependencies(table, createRandom(1));
  const request = {base: 0, edits: [buildEdit('a', 1)], nonce: 'n'};
  const run = table.run.bind(table);
  table.run = (transaction) => {
    isDown = true;
    return run(transaction);
  };
  expect(await publishFailing(dependencies, request)).to.be.instanceOf(
    PublishUnknownError,
  );
  expect(await publishFailing(dependencies, request)).not.to.be.instanceOf(
    PublishUnknownError,
  );
});

// Guards against rows that exceed the row limit of the table service.
it('publish: 5,000 objects keep each row below the limit', async () => {
  const table = new MemoryTable();
  const edits = Array.from({length: 5_000}, (_, i) => buildEdit(`l${i}`, 1));
  const dependencies = buildDependencies(table, createRandom(1));
  await publishEdits(dependencies, {base: 0, edits, who: 'o', nonce: 'n'});
  const sizes = [...table.rows.values()].map(({value}) => value.length);
  expect(Math.max(...sizes)).to.be.below(ROW_LIMIT_BYTES);
  expect(await listHistory(table, 10)).to.have.length(1);
  const [record] = await listHistory(table, 10);
  expect(record?.changes).to.have.length(5_000);
});

// Guards against a history, snapshots and old sets that differ from what was
// published.
it('publish: old sets and snapshots agree with what was published', async () => {
  const table = new MemoryTable();
  const store = new MemoryStore();
  const random = createRandom(9);
  const dependencies = buildDependencies(table, random);
  const past: Array<Record<string, unknown>> = [{}];
  for (let base = 0; base < SNAPSHOT_INTERVAL_VERSIONS + 30; base += 1) {
    const name = `l${takeInteger(random, 9)}`;
    const edits = [buildEdit(name, base % 7 === 6 ? -1 : base % 90)];
    const nonce = String(base);
    const result = await publishEdits(dependencies, {
      base,
      edits,
      who: 'o',
      nonce,
    });
    if (result.changes.length === 0) base -= 1;
    else past.push(Object.fromEntries(result.objects));
    await writeSnapshotIfDue(store, result);
  }
  for (const version of [0, 1, 50, 99, past.length - 1]) {
    const set = await readSetAt(table, version);
    expect(Object.fromEntries(set ?? [])).to.deep.equal(past[version]);
  }
  const current = await readCurrentSet(table, store);
  expect(current.version).to.equal(past.length - 1);
  expect(Object.fromEntries(current.objects)).to.deep.equal(past.at(-1));
  expect(store.objects.size).to.equal(1);
  for (const key of table.rows.keys()) {
    if (key.startsWith(`${CHANGE_PREFIX}00000000000`)) table.rows.delete(key);
  }
  expect(await readSetAt(table, 3)).to.equal(undefined);
});
