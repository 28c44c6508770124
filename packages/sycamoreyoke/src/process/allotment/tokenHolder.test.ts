import {expect} from 'chai';
import {
  COUNTED_ACCOUNTS,
  AccountCounts,
  OTHER_ACCOUNTS,
} from './accountCounts.js';
import {chooseOwnerSet, sortOwners} from './ownerSet.js';
import type {ChargeResult} from './tokenHolder.js';
import {ChargeEnd, TokenHolder} from './tokenHolder.js';
import type {AllotmentTolerance, TokenAsk} from './types.js';

const ALLOTMENT = {ratePerS: 100, burst: 200};
const LIFETIME_MS = 500;
const OWNERS = ['first', 'second'];

/** A holder whose asks the test answers. */
class Subject {
  nowMs = 0;
  readonly ends: ChargeResult[] = [];
  readonly reachable = new Set(OWNERS);
  tolerance: AllotmentTolerance | undefined;
  readonly holder = new TokenHolder({
    random: () => 1,
    isReachable: (owner) => this.reachable.has(owner),
    countNodes: () => 10,
    readTolerance: () => this.tolerance,
  });

  constructor() {
    this.holder.updateOwners(OWNERS);
  }

  take(count = 1): void {
    for (let i = 0; i < count; i += 1) {
      this.holder.take(this.nowMs, 'hotel', ALLOTMENT, Infinity, (end) =>
        this.ends.push(end),
      );
    }
  }

  collect(): Array<[string, readonly TokenAsk[]]> {
    return [...this.holder.collectAsks(this.nowMs, () => true)];
  }

  /** Collects one ask and answers it. */
  answer(granted: number, nextTokenMs = 0): TokenAsk | undefined {
    const [[owner, asks] = ['', []]] = this.collect();
    const grants = asks.map(({account}) => ({
      account,
      granted,
      lifetimeMs: LIFETIME_MS,
      nextTokenMs,
    }));
    const accounts = asks.map(({account}) => account);
    const {holder, nowMs} = this;
    holder.handleAnswer(nowMs, owner, nowMs, accounts, grants);
    return asks[0];
  }

  listEnds(): readonly ChargeEnd[] {
    return this.ends.map(({end}) => end);
  }
}

// Guards against tokens that a node keeps until they expire while requests at
// other nodes are refused.
it('token holder: unused tokens are returned before they expire', () => {
  const subject = new Subject();
  subject.take();
  subject.answer(5);
  subject.nowMs = LIFETIME_MS - 50;
  subject.holder.tick(subject.nowMs);
  const [[, asks] = ['', []]] = subject.collect();
  expect(asks).to.deep.equal([{account: 'hotel', wanted: 0, returned: 4}]);
});

// Guards against a request that was refused without having run and is charged.
it('token holder: returned token serves the next request', () => {
  const subject = new Subject();
  subject.take();
  subject.answer(1);
  const [{batch} = {batch: undefined}] = subject.ends;
  if (batch) subject.holder.release(subject.nowMs, 'hotel', batch);
  subject.take();
  expect(subject.listEnds()).to.deep.equal([
    ChargeEnd.GRANTED,
    ChargeEnd.GRANTED,
  ]);
});

// Guards against requests that wait although no token can arrive in time, and
// against a Retry-After at which there is none.
it('token holder: request beyond the allotment is told when to return', () => {
  const subject = new Subject();
  subject.take(3);
  subject.answer(1, 400);
  expect(subject.listEnds()).to.deep.equal([
    ChargeEnd.GRANTED,
    ChargeEnd.OVER_LIMIT,
    ChargeEnd.OVER_LIMIT,
  ]);
  expect(subject.ends[1]?.retryAfterMs).to.equal(400);
});

// Guards against a refusal that could be avoided by a short wait.
it('token holder: request waits for a token that is due', () => {
  const subject = new Subject();
  subject.take(1);
  subject.answer(0, 40);
  expect(subject.ends).to.have.length(0);
  subject.nowMs = 40;
  subject.answer(1);
  expect(subject.listEnds()).to.deep.equal([ChargeEnd.GRANTED]);
});

// Guards against a request that waits for an owner that does not lend.
it('token holder: next owner is asked if the first does not lend', () => {
  const subject = new Subject();
  const order = sortOwners('hotel', OWNERS);
  subject.take();
  const [[first] = ['']] = subject.collect();
  subject.holder.handleAnswer(0, first, 0, ['hotel'], []);
  const [[second] = ['']] = subject.collect();
  expect([first, second]).to.deep.equal(order);
});

// Guards against requests that run without a token beyond the tolerance, and
// against a tolerance of 0 that is not kept.
it('token holder: without an owner only the tolerance is served', () => {
  const subject = new Subject();
  subject.reachable.clear();
  subject.take();
  subject.collect();
  expect(subject.listEnds()).to.deep.equal([ChargeEnd.NO_OWNER]);
  subject.tolerance = {windowMs: 5_000, overage: 0.1, slack: 20};
  let granted = 0;
  for (; subject.nowMs < 10_000; subject.nowMs += 10) {
    subject.take();
    subject.collect();
  }
  granted = subject.listEnds().filter((e) => e === ChargeEnd.GRANTED).length;
  // (0.1 x 100 + 20 / 5) / 10 nodes for 10 s, and the one at the start.
  expect(granted).to.be.within(7, 8);
});

// Guards against memory that grows with the accounts that were ever seen.
it('token holder: account without requests takes no memory', () => {
  const subject = new Subject();
  subject.take();
  subject.answer(3);
  subject.nowMs = 5_000;
  subject.holder.tick(subject.nowMs);
  expect(subject.holder.countAccounts()).to.equal(0);
});

// Guards against nodes that choose different owners, and against accounts that
// all have the same one.
it('owner set: nodes agree, and accounts are spread over it', () => {
  const nodes = Array.from({length: 60}, (_, index) => `node-${index}`);
  const set = chooseOwnerSet(nodes);
  expect(chooseOwnerSet([...nodes].reverse())).to.deep.equal(set);
  const owners = Array.from(
    {length: 200},
    (_, index) => sortOwners(`account-${index}`, set)[0],
  );
  expect(new Set(owners).size).to.equal(8);
});

// Guards against a series for each of thousands of accounts, and against counts
// that are lost when an account makes room for another.
it('account counts: the largest accounts have series of their own', () => {
  const counts = new AccountCounts();
  for (let round = 0; round < 1_000; round += 1) {
    counts.count('large', 'admitted');
    counts.count(`account-${round}`, 'refused');
  }
  const list = counts.list();
  expect(list).to.have.length(COUNTED_ACCOUNTS + 1);
  const large = list.find(([account]) => account === 'large');
  expect(large?.[1].get('admitted')).to.equal(1_000);
  const refused = list.map(([, results]) => results.get('refused') ?? 0);
  expect(refused.reduce((sum, count) => sum + count)).to.equal(1_000);
  expect(list.at(-1)?.[0]).to.equal(OTHER_ACCOUNTS);
});
