import {expect} from 'chai';
import type {Clock} from '../clock.js';
import {VirtualClock} from '../clock.js';
import {PlatformUnavailableError} from '../errors.js';
import {reportByThrowing} from '../invariants.js';
import type {
  TableRow,
  TableTransaction,
  TransactionResult,
} from '../platform.js';
import type {ClaimWrite, ClaimWriteResult} from '../process/claimBatcher.js';
import {ClaimBatcher, ClaimWriteState} from '../process/claimBatcher.js';
import {createRandom, takeInteger} from '../random.js';
import {Outcome, RefusalReason, formatIdentity} from '../types.js';
import type {ClaimOwner, ClaimDependencies, HeldClaim} from './claim.js';
import {
  CLAIM_RETENTION_MS,
  ClaimDecisionKind,
  ClaimProcedure,
  parseClaimRow,
} from './claim.js';
import type {SendAnswer} from './outcome.js';
import {mergeOutcomes} from './outcome.js';
import {RecordTable} from './recordTable.js';
import {RecordDecisionKind} from './record.js';

const START = new Date('2026-01-01T00:00:00Z');
const MINUTE_MS = 60_000;
const runPending = () => new Promise((resolve) => setImmediate(resolve));

/** Creates a version 7 UUID for a time of the virtual clock. */
function createKey(atMs: number, number: number): string {
  const time = (START.getTime() + Math.floor(atMs)).toString(16);
  const timeDigits = time.padStart(12, '0');
  const suffix = number.toString(16).padStart(12, '0');
  return `${timeDigits.slice(0, 8)}-${timeDigits.slice(8)}-7000-8000-${suffix}`;
}

function createSkewedClock(clock: VirtualClock, skewMs: number): Clock {
  return {
    readMs: () => clock.readMs(),
    readDate: () => new Date(clock.readDate().getTime() + skewMs),
  };
}

/** Table whose rows are purged at the end of their retention. */
class FakeTable {
  private readonly rows = new Map<string, TableRow & {purgeMs: number}>();
  private version = 0;

  constructor(private readonly clock: Clock) {}

  read(key: string): TableRow | undefined {
    const row = this.rows.get(key);
    return row && row.purgeMs > this.clock.readMs() ? row : undefined;
  }

  run({checks, writes}: TableTransaction): TransactionResult {
    const conflicts = checks
      .map(({key, version}) => ({
        row: this.read(key) ?? {key, value: '', version: 0},
        version,
      }))
      .filter(({row, version}) => row.version !== version)
      .map(({row}) => row);
    if (conflicts.length > 0) return {committed: false, conflicts};
    for (const {key, value = '', retentionMs = Infinity} of writes) {
      this.version += 1;
      const purgeMs = this.clock.readMs() + retentionMs;
      this.rows.set(key, {key, value, version: this.version, purgeMs});
    }
    return {committed: true, conflicts: []};
  }
}

interface Request {
  readonly name: string;
  readonly identity: {caller: string; requestClass: string; requestId: string};
  readonly sends: Array<{attempt: number; answer?: SendAnswer}>;
  /** Attempts that wait for the execution; absent until the request runs. */
  executed?: readonly number[];
  /** Highest attempt number that was released in the table; -1 if none. */
  released: number;
}

interface Node {
  readonly owner: ClaimOwner;
  readonly records: RecordTable;
  readonly procedure: ClaimProcedure;
  pausedUntilMs: number;
}

/** Simulates one service with faults; throws on the first violation. */
async function runClaims(seed: number) {
  const random = createRandom(seed);
  const clock = new VirtualClock(START);
  const table = new FakeTable(clock);
  const events: Array<{atMs: number; action: () => void}> = [];
  const schedule = (maxMs: number, action: () => void) =>
    events.push({atMs: clock.readMs() + random() * maxMs, action});
  const counts = {
    done: 0,
    notRun: 0,
    recognisedRows: 0,
    takenOver: 0,
    expired: 0,
  };
  const waiting = new Map<string, (answer: SendAnswer) => void>();
  const attemptsByKey = new Map<string, number[]>();
  let outageUntilMs = 0;

  /** The effect and the response of a call are delayed and lost separately. */
  const callTable = <T>(effect: () => T) =>
    new Promise<T>((resolve, reject) => {
      const isDown = clock.readMs() < outageUntilMs;
      const isLost = isDown || random() < 0.15;
      const fail = () => reject(new PlatformUnavailableError('no response'));
      if (isLost) schedule(200, fail);
      if (isLost && random() < 0.4) return;
      schedule(isLost && random() < 0.3 ? 20_000 : 100, () => {
        const result = effect();
        if (!isLost) schedule(100, () => resolve(result));
      });
    });
  const batchers = [0, 1].map(
    () =>
      new ClaimBatcher(clock, {
        run: (transaction) => callTable(() => table.run(transaction)),
      }),
  );
  const scheduleTick = (batcher: ClaimBatcher) => {
    const dueMs = batcher.readDueMs();
    if (dueMs === undefined) return;
    const pauseMs = random() < 0.02 ? 15_000 : 0;
    const atMs = Math.max(dueMs, clock.readMs() + pauseMs);
    const action = () => void batcher.tick().then(() => scheduleTick(batcher));
    events.push({atMs, action});
  };
  const submit = async (write: ClaimWrite) => {
    const batcher = batchers[takeInteger(random, 2)] as ClaimBatcher;
    const end = batcher.submit(write);
    scheduleTick(batcher);
    if (random() < 0.05) throw new Error('batcher unreachable');
    const result = await end;
    if (result.state === ClaimWriteState.CONFLICT) {
      const nonce = parseClaimRow(write.value)?.nonce;
      const isOwn = parseClaimRow(result.row.value)?.nonce === nonce;
      if (isOwn) counts.recognisedRows += 1;
    }
    return result;
  };
  const askOwner: ClaimDependencies['askOwner'] = (owner, identity, nonce) =>
    new Promise((resolve) => {
      schedule(3_000, () => resolve(undefined));
      schedule(50, () => {
        const node = nodes.find(
          (each) => each.owner.incarnation === owner.incarnation,
        );
        if (!node || node.pausedUntilMs > clock.readMs()) return;
        const ticket = `ask-${clock.readMs()}-${random()}`;
        const decision = node.records.answerOwnerQuery(identity, nonce, ticket);
        if (decision.kind === RecordDecisionKind.ANSWER) {
          resolve(decision.answer);
        } else waiting.set(ticket, resolve);
      });
    });
  const createNode = (incarnation: string): Node => {
    const nodeClock = createSkewedClock(
      clock,
      (random() * 2 - 1) * 1.5 * MINUTE_MS,
    );
    const owner = {incarnation, address: '127.0.0.1', controlPort: 1};
    const report = reportByThrowing;
    const options = {clock: nodeClock, incarnation, limitBytes: 1e9, report};
    const records = new RecordTable(options);
    let nonceCount = 0;
    const procedure = new ClaimProcedure({
      clock: nodeClock,
      owner,
      records,
      submit,
      read: (key) => callTable(() => table.read(key)),
      askOwner,
      createNonce: () => `${incarnation}-${(nonceCount += 1)}`,
    });
    return {owner, records, procedure, pausedUntilMs: 0};
  };
  const nodes = ['0', '1', '2', '3'].map(createNode);

  /** Schedules an action on a node; skipped if dead, delayed while paused. */
  const scheduleOn = (node: Node, maxMs: number, action: () => void) => {
    schedule(maxMs, () => {
      if (!nodes.includes(node)) return;
      if (node.pausedUntilMs > clock.readMs()) scheduleOn(node, 20_000, action);
      else action();
    });
  };
  const settle = ({
    tickets,
    answer,
  }: {
    tickets: readonly string[];
    answer: SendAnswer;
  }) => {
    for (const ticket of tickets) waiting.get(ticket)?.(answer);
  };
  const runClaimed = (
    node: Node,
    request: Request,
    attempt: number,
    claim: HeldClaim,
  ) => {
    if (random() < 0.4) {
      const {settlement, released} = node.procedure.refuse(
        claim,
        RefusalReason.OVERLOADED,
      );
      settle(settlement);
      const refused = node.records.readHighestRefusedAttempt(claim.key);
      void released.then((isReleased) => {
        if (!isReleased) return;
        request.released = Math.max(request.released, refused);
      });
      return;
    }
    expect(node.records.start(claim.key)).to.equal(true);
    const detail = `${request.name} by attempt ${attempt}`;
    expect(request.executed, `second run of ${detail}`).to.equal(undefined);
    expect(attempt, `released: ${detail}`).above(request.released);
    request.executed = attemptsByKey.get(claim.key) ?? [];
    for (const send of request.sends) {
      if (!request.executed.includes(send.attempt)) continue;
      expect(send.answer?.outcome, detail).not.to.equal(Outcome.NOT_RUN);
    }
    if (attempt > 0) counts.takenOver += 1;
    scheduleOn(node, 2_000, () => {
      const body = new TextEncoder().encode(request.name);
      const response = {status: 200, headers: {}, body};
      settle(
        random() < 0.15
          ? node.records.markUnknown(claim.key, RefusalReason.CONNECTION_LOST)
          : node.records.finish(claim.key, response),
      );
    });
  };
  const takeAnswer = (request: Request, index: number, answer: SendAnswer) => {
    const send = request.sends[index];
    if (!send) return;
    const {executed, name} = request;
    if (answer.outcome === Outcome.DONE) {
      counts.done += 1;
      const text = new TextDecoder().decode(answer.response?.body);
      expect(text, 'response of another request').to.equal(name);
      expect(executed, `DONE without a run of ${name}`).not.equal(undefined);
    }
    if (answer.outcome === Outcome.NOT_RUN) {
      counts.notRun += 1;
      const detail = `NOT_RUN was not true for ${name}`;
      expect(executed ?? [], detail).not.to.include(send.attempt);
    }
    if (answer.reason === RefusalReason.EXPIRED_KEY) counts.expired += 1;
    send.answer = answer;
  };
  const deliver = (node: Node, request: Request, index: number) => {
    const {identity} = request;
    const ticket = `${request.name}-${index}`;
    const deadlineMs = clock.readMs() + 10_000;
    const addAttempt = (key: string) =>
      attemptsByKey.set(key, [...(attemptsByKey.get(key) ?? []), index]);
    waiting.set(ticket, (answer) => takeAnswer(request, index, answer));
    const send = {identity, attempt: index, ticket, deadlineMs};
    void node.procedure.offer(send).then((decision) => {
      if (decision.kind === ClaimDecisionKind.ANSWER) {
        scheduleOn(node, 1, () => settle(decision));
      } else if (decision.kind === ClaimDecisionKind.JOIN)
        addAttempt(decision.key);
      else {
        addAttempt(decision.claim.key);
        scheduleOn(node, 500, () =>
          runClaimed(node, request, index, decision.claim),
        );
      }
    });
  };

  const requests: Request[] = [];
  for (let count = 0; count < 100; count += 1) {
    const createdMs = random() * 10 * MINUTE_MS;
    // Callers have skewed clocks; two requests of different callers share a
    // key.
    const skewMs = (random() < 0.2 ? 10 : 1) * MINUTE_MS;
    const keyMs = createdMs + (random() * 2 - 1) * skewMs;
    const requestId = createKey(keyMs, count);
    for (const caller of ['site', 'app']) {
      const identity = {caller, requestClass: 'book', requestId};
      const name = formatIdentity(identity);
      const request: Request = {name, identity, sends: [], released: -1};
      requests.push(request);
      for (let index = 0; index < 6; index += 1) {
        request.sends.push({attempt: index});
        const isNearRetentionEnd = index === 5;
        const spreadMs = random() * (index === 4 ? 5 : 0.1) * MINUTE_MS;
        const retentionEndMs =
          CLAIM_RETENTION_MS + (random() * 20 - 10) * MINUTE_MS;
        const atMs =
          createdMs + (isNearRetentionEnd ? retentionEndMs : spreadMs);
        const action = () => {
          const node = nodes[takeInteger(random, nodes.length)];
          if (node) scheduleOn(node, 1, () => deliver(node, request, index));
        };
        events.push({atMs, action});
      }
    }
  }
  for (let count = 0; count < 20; count += 1) {
    schedule(10 * MINUTE_MS, () => {
      const index = takeInteger(random, nodes.length);
      const untilMs = clock.readMs() + random() * MINUTE_MS;
      const node = nodes[index];
      const choice = random();
      if (choice < 0.3) outageUntilMs = clock.readMs() + random() * 20_000;
      else if (choice < 0.6 && node) node.pausedUntilMs = untilMs;
      else nodes[index] = createNode(`${index}-${count}`);
    });
  }
  while (events.length > 0) {
    const next = events.reduce((a, b) => (b.atMs < a.atMs ? b : a));
    events.splice(events.indexOf(next), 1);
    clock.advance(Math.max(0, next.atMs - clock.readMs()));
    next.action();
    await runPending();
  }
  for (const {name, sends, executed} of requests) {
    const isRefused = mergeOutcomes(sends).outcome === Outcome.NOT_RUN;
    if (isRefused) expect(executed, name).to.equal(undefined);
  }
  return counts;
}

// Guards against a second execution, a false NOT_RUN and the response of
// another request when the table fails, its responses are lost, its writes take
// effect late, nodes and batchers pause, and nodes are killed.
it('claim: nothing runs twice and not-run is true, 12 seeds', async () => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const counts = await runClaims(seed);
    const detail = `seed ${seed}: ${JSON.stringify(counts)}`;
    expect(counts.done, detail).above(100);
    expect(counts.notRun, detail).above(50);
    expect(counts.recognisedRows, detail).above(0);
    expect(counts.takenOver, detail).above(10);
    expect(counts.expired, detail).above(10);
  }
});

const identity = {
  caller: 'site',
  requestClass: 'book',
  requestId: createKey(0, 1),
};
const offer = ({procedure}: {procedure: ClaimProcedure}, attempt: number) =>
  procedure.offer({identity, attempt, ticket: 't', deadlineMs: Infinity});

/** Writes one row and returns the actual result. */
function apply(table: FakeTable, write: ClaimWrite): ClaimWriteResult {
  const checks = [{key: write.key, version: write.expectedVersion}];
  const {conflicts} = table.run({checks, writes: [write]});
  return conflicts[0]
    ? {state: ClaimWriteState.CONFLICT, row: conflicts[0]}
    : {state: ClaimWriteState.COMMITTED};
}

/**
 * Creates a single node. If `submit` returns undefined, the response is lost.
 */
function createStandaloneNode(
  incarnation: string,
  clock: VirtualClock,
  submit: (write: ClaimWrite) => ClaimWriteResult | undefined,
  askOwner: ClaimDependencies['askOwner'] = () => Promise.resolve(undefined),
) {
  const owner = {incarnation, address: '127.0.0.1', controlPort: 1};
  const report = reportByThrowing;
  const records = new RecordTable({
    clock,
    incarnation,
    limitBytes: 1e9,
    report,
  });
  const procedure = new ClaimProcedure({
    clock,
    owner,
    records,
    submit: (write) => {
      const unknown = {state: ClaimWriteState.UNKNOWN} as const;
      return Promise.resolve(submit(write) ?? unknown);
    },
    read: () => Promise.resolve(undefined),
    askOwner,
    createNonce: () => incarnation,
  });
  return {records, procedure};
}

// Guards against a second execution by a paused node that inserts its row after
// the row of the first execution was purged.
it('claim: a claim that commits after its key has expired is not run', async () => {
  const clock = new VirtualClock(START);
  const table = new FakeTable(clock);
  const node = createStandaloneNode('a', clock, (write) => {
    clock.advance(10 * MINUTE_MS);
    return apply(table, write);
  });
  clock.advance(CLAIM_RETENTION_MS - 6 * MINUTE_MS);
  const decision = await offer(node, 0);
  expect(decision.kind).to.equal(ClaimDecisionKind.ANSWER);
  // The node must not allow another node to take over the row.
  const answer = {outcome: Outcome.UNKNOWN, reason: RefusalReason.EXPIRED_KEY};
  expect(node.records.answerOwnerQuery(identity, 'a', 'q')).to.deep.include({
    answer,
  });
});

// Guards against a claim that is abandoned although it was written.
it('claim: a claim whose response was lost is recognised', async () => {
  const clock = new VirtualClock(START);
  const table = new FakeTable(clock);
  let count = 0;
  const node = createStandaloneNode('a', clock, (write) => {
    const result = apply(table, write);
    count += 1;
    return count === 1 ? undefined : result;
  });
  expect((await offer(node, 0)).kind).to.equal(ClaimDecisionKind.RUN);
});

// Guards against a caller that uses the key of another caller and thereby
// blocks its request or learns of it, and against classes that share keys.
it('claim: the same key of another caller or class is claimed too', async () => {
  const clock = new VirtualClock(START);
  const table = new FakeTable(clock);
  const others = [{}, {caller: 'app'}, {requestClass: 'charge'}];
  for (const [index, other] of others.entries()) {
    const {procedure} = createStandaloneNode(`n${index}`, clock, (write) =>
      apply(table, write),
    );
    const decision = await procedure.offer({
      identity: {...identity, ...other},
      attempt: 0,
      ticket: 't',
      deadlineMs: Infinity,
    });
    expect(decision.kind).to.equal(ClaimDecisionKind.RUN);
  }
});

// Guards against a row that blocks a request forever because its write took
// effect after the node had abandoned the claim.
it('claim: a row of a node that gave up is taken over', async () => {
  const clock = new VirtualClock(START);
  const table = new FakeTable(clock);
  const lateWrites: ClaimWrite[] = [];
  const node = createStandaloneNode('a', clock, (write) => {
    lateWrites.push(write);
    return undefined;
  });
  const reason = RefusalReason.CLAIM_UNAVAILABLE;
  const answer = {outcome: Outcome.NOT_RUN, reason, nextAttempt: 1};
  expect(await offer(node, 0)).to.deep.include({answer});
  for (const write of lateWrites) apply(table, write);
  const other = createStandaloneNode(
    'b',
    clock,
    (write) => apply(table, write),
    (_owner, requestIdentity, nonce) => {
      const decision = node.records.answerOwnerQuery(
        requestIdentity,
        nonce,
        'q',
      );
      const isAnswer = decision.kind === RecordDecisionKind.ANSWER;
      return Promise.resolve(isAnswer ? decision.answer : undefined);
    },
  );
  expect((await offer(other, 0)).kind).to.equal(ClaimDecisionKind.ANSWER);
  expect((await offer(other, 1)).kind).to.equal(ClaimDecisionKind.RUN);
});
