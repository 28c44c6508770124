import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {reportByThrowing} from '../invariants.js';
import type {Random} from '../random.js';
import {createRandom, takeInteger} from '../random.js';
import {Outcome} from '../types.js';
import {LatencyHistogram} from './latencyHistogram.js';
import {LinkState, computeResponseTimeout} from './linkState.js';
import type {LinkAction} from './types.js';
import {LinkActionKind, ResendRule} from './types.js';

const RULES = Object.values(ResendRule);
const TIMEOUT_MS = 6_000;

interface Arrival {
  readonly atMs: number;
  readonly handle: () => LinkAction[];
}

interface Sent {
  readonly rule: ResendRule;
  readonly deadline: number;
  writes: number;
  /** Executions by the member; a pinned resend joins the running one. */
  runs: number;
  isElsewhere: boolean;
  end?: LinkActionKind.COMPLETE | Outcome;
}

/** Simulates a member whose connections close or drop data in one direction. */
class MemberRun {
  readonly clock = new VirtualClock();
  readonly sent = new Map<string, Sent>();
  private readonly link = new LinkState(
    this.clock,
    new LatencyHistogram(this.clock),
    reportByThrowing,
  );
  private readonly silent = new Set<number>();
  private arrivals: Arrival[] = [];
  private frozenMs = -TIMEOUT_MS;

  constructor(private readonly random: Random) {}

  send(): void {
    const id = `r${this.sent.size}`;
    const rule = RULES[takeInteger(this.random, RULES.length)]!;
    const deadline = this.clock.readMs() + TIMEOUT_MS;
    const sent = {rule, deadline, writes: 0, runs: 0, isElsewhere: false};
    this.sent.set(id, sent);
    this.apply(this.link.send({id, rule, deadline, takeRetry: () => true}));
  }

  advance(milliseconds: number): void {
    if (milliseconds > 20) this.frozenMs = this.clock.readMs() + milliseconds;
    this.clock.advance(milliseconds);
    const now = this.clock.readMs();
    const due = this.arrivals.filter(({atMs}) => atMs <= now);
    this.arrivals = this.arrivals.filter(({atMs}) => atMs > now);
    due.forEach(({handle}) => this.apply(handle()));
    this.apply(this.link.tick());
  }

  countConnections(): number {
    return this.link.countConnections();
  }

  private apply(actions: readonly LinkAction[]): void {
    for (const action of actions) this.applyOne(action);
  }

  private applyOne(action: LinkAction): void {
    if (action.kind === LinkActionKind.OPEN) this.open(action.connection);
    if (action.kind === LinkActionKind.WRITE) {
      this.write(action.connection, this.sent.get(action.requestId)!);
    }
    if (action.kind === LinkActionKind.SEND_ELSEWHERE) {
      this.sent.get(action.requestId)!.isElsewhere = true;
    }
    if (action.kind === LinkActionKind.COMPLETE) {
      this.finish(action.requestId, LinkActionKind.COMPLETE);
    }
    if (action.kind === LinkActionKind.GIVE_UP) {
      this.finish(action.requestId, action.outcome);
    }
  }

  private finish(id: string, end: LinkActionKind.COMPLETE | Outcome): void {
    const sent = this.sent.get(id)!;
    expect(sent.end, `${id} ends twice`).to.equal(undefined);
    sent.end = end;
    const isLate = this.clock.readMs() >= sent.deadline;
    const isFrozen = this.frozenMs >= sent.deadline - TIMEOUT_MS;
    if (sent.rule === ResendRule.IDEMPOTENT && isLate && !isFrozen) {
      expect(sent.isElsewhere, `${id} waits until its deadline`).to.equal(true);
    }
  }

  private open(id: number): void {
    const draw = this.random();
    const atMs = this.clock.readMs() + 1;
    if (draw < 0.8) {
      this.arrivals.push({atMs, handle: () => this.link.handleOpened(id)});
    } else if (draw < 0.9) {
      this.arrivals.push({atMs, handle: () => this.link.handleClosed(id)});
    }
  }

  /** The request, or its response, may be lost; the connection stays silent. */
  private write(id: number, sent: Sent): void {
    sent.writes += 1;
    const draw = this.random();
    if (this.silent.has(id) || draw < 0.1) {
      this.silent.add(id);
      return;
    }
    sent.runs += sent.rule === ResendRule.PINNED && sent.runs > 0 ? 0 : 1;
    if (draw < 0.2) {
      this.silent.add(id);
      return;
    }
    const isClosed = draw < 0.25;
    const isSlow = draw > 0.95;
    const atMs = this.clock.readMs() + (isSlow ? 4_000 : 20) * this.random();
    const handle = isClosed
      ? () => this.link.handleClosed(id)
      : () => this.link.handleResponse(id);
    this.arrivals.push({atMs, handle});
  }
}

// Guards against running a request twice by writing it twice or sending it to
// another member, NOT_RUN for a request that ran, a request that never ends,
// and an idempotent request that waits on a silent connection until its
// deadline.
it('link state: silent connections never make a request run twice', () => {
  const random = createRandom(61);
  const ends = new Map<string, number>();
  for (let run = 0; run < 60; run += 1) {
    const member = new MemberRun(random);
    for (let step = 0; step < 2_000; step += 1) {
      if (step < 1_000 && random() < 0.2) member.send();
      member.advance(random() < 0.001 ? 6_000 : 20);
    }
    for (const [id, sent] of member.sent) {
      expect(sent.end, id).to.not.equal(undefined);
      expect(sent.runs).to.be.at.most(1);
      if (sent.rule !== ResendRule.PINNED) {
        expect(sent.writes).to.be.at.most(1);
      }
      if (sent.isElsewhere) expect(sent.rule).to.equal(ResendRule.IDEMPOTENT);
      if (sent.end === Outcome.NOT_RUN) expect(sent.writes).to.equal(0);
      const key = `${sent.rule} ${sent.end}`;
      ends.set(key, (ends.get(key) ?? 0) + 1);
    }
    expect(member.countConnections()).to.equal(0);
  }
  expect(ends.size).to.equal(9);
});

// Guards against an idempotent request that waits until its deadline although
// another member works, and against using two retries for one silence.
it('link state: an unanswered idempotent request is sent to another member', () => {
  const clock = new VirtualClock();
  const link = new LinkState(
    clock,
    new LatencyHistogram(clock),
    reportByThrowing,
  );
  const kinds: LinkActionKind[] = [];
  let retries = 0;
  const takeRetry = () => {
    retries += 1;
    return true;
  };
  const rule = ResendRule.IDEMPOTENT;
  link.send({id: 'r', rule, deadline: 5_000, takeRetry});
  link.handleOpened(1);
  for (; clock.readMs() < 4_900; clock.advance(20)) {
    kinds.push(...link.tick().map(({kind}) => kind));
  }
  expect(kinds).to.deep.equal([
    LinkActionKind.SUSPECT_MEMBER,
    LinkActionKind.SEND_ELSEWHERE,
  ]);
  expect(retries).to.equal(1);
  const late = link.handleResponse(1).map(({kind}) => kind);
  expect(late).to.deep.equal([LinkActionKind.COMPLETE, LinkActionKind.CLOSE]);
});

// Guards against a timeout below the latency of a member that has slowed down,
// and against a quantile that is off by more than its bucket.
it('latency histogram: agrees with sorted samples and drops old ones', () => {
  const random = createRandom(62);
  const clock = new VirtualClock();
  const histogram = new LatencyHistogram(clock);
  expect(computeResponseTimeout(histogram.readP99Ms())).to.equal(2_000);
  for (let round = 0; round < 50; round += 1) {
    const scale = 2 ** (10 * random());
    const samples = Array.from({length: 320}, () => scale * (1 + random()));
    samples.forEach((sample) => histogram.record(sample));
    samples.sort((a, b) => a - b);
    const exact = samples[Math.ceil(samples.length * 0.99) - 1]!;
    expect(histogram.readP99Ms()).to.be.within(exact, exact * 1.2);
    clock.advance(20_000);
    expect(histogram.readP99Ms()).to.equal(undefined);
  }
  for (let sample = 0; sample < 100; sample += 1) histogram.record(1);
  expect(computeResponseTimeout(histogram.readP99Ms())).to.equal(50);
});
