import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {reportByThrowing} from '../invariants.js';
import type {EntryRequest} from './entryLedger.js';
import {ENTRY_EPOCH_MS, EntryLedger, OWNER_SETTLING_MS} from './entryLedger.js';
import {buildHashedMember, chooseLedgerOwner} from './ledgerOwner.js';

function buildRequest(requestId: string): EntryRequest {
  return {
    identity: {caller: 'site', requestClass: 'track', requestId},
    limit: 3,
    isTrusted: false,
    isOwnService: true,
  };
}

function createSettled(maxRecords?: number) {
  const clock = new VirtualClock();
  const ledger = new EntryLedger(clock, 'a', reportByThrowing, maxRecords);
  ledger.updateMembers(['a']);
  clock.advance(OWNER_SETTLING_MS);
  return {clock, ledger};
}

// Guards against a caller raising its retry limit by a forged header.
it('entry ledger: only a trusted header counts, up to the limit', () => {
  const {ledger} = createSettled();
  const trusted = {...buildRequest('t'), isTrusted: true, allowance: 50};
  expect(ledger.open(trusted).allowance).to.equal(3);
  expect(ledger.open({...trusted, allowance: 1}).allowance).to.equal(1);
  const forged = {...buildRequest('f'), allowance: 50};
  expect(ledger.open(forged).allowance).to.equal(3);
  const elsewhere = {...buildRequest('e'), isOwnService: false};
  expect(ledger.open(elsewhere).allowance).to.equal(0);
});

// Guards against granting a resend the retries that an earlier send has used or
// may still use.
it('entry ledger: a resend gets the returned retries minus one', () => {
  const {ledger} = createSettled();
  const first = ledger.open(buildRequest('r'));
  expect(ledger.open(buildRequest('r')).allowance).to.equal(0);
  ledger.finish(first, 1);
  ledger.finish(first, 0);
  expect(ledger.open(buildRequest('r')).allowance).to.equal(1);
});

// Guards against two nodes granting retries for one request: the former owner
// would still refresh its record while the new owner starts to grant.
it('entry ledger: a former owner grants nothing', () => {
  const {ledger} = createSettled();
  const ids = Array.from({length: 50}, (_, index) => `r${index}`);
  for (const id of ids) ledger.finish(ledger.open(buildRequest(id)), 0);
  ledger.updateMembers(['a', 'b']);
  const members = ['a', 'b'].map(buildHashedMember);
  for (const id of ids) {
    const isLedgerOwner =
      chooseLedgerOwner(members, `site/track/${id}`) === 'a';
    expect(ledger.open(buildRequest(id)).allowance).to.equal(
      isLedgerOwner ? 2 : 0,
    );
  }
});

// Guards against a flood of request IDs exhausting the memory of a node.
it('entry ledger: a full ledger grants nothing and empties itself', () => {
  const {clock, ledger} = createSettled(100);
  for (let id = 0; id < 1_000; id += 1) {
    const grant = ledger.open(buildRequest(`r${id}`));
    expect(grant.allowance).to.equal(id < 100 ? 3 : 0);
    ledger.finish(grant, 0);
  }
  expect(ledger.countRecords()).to.equal(100);
  clock.advance(3 * ENTRY_EPOCH_MS);
  expect(ledger.open(buildRequest('later')).allowance).to.equal(3);
  expect(ledger.countRecords()).to.equal(1);
});

// Guards against dropping the record of a send that runs for several epochs: a
// resend would get the full allowance again.
it('entry ledger: the record of a running send is not forgotten', () => {
  const {clock, ledger} = createSettled();
  ledger.open(buildRequest('r'));
  for (let epoch = 0; epoch < 10; epoch += 1) {
    clock.advance(ENTRY_EPOCH_MS);
    ledger.open(buildRequest('other'));
  }
  expect(ledger.open(buildRequest('r')).allowance).to.equal(0);
});

// Guards against a skewed hash that makes one member the owner of most ledgers.
it('entry ledger: owners are spread over the members', () => {
  const members = Array.from({length: 24}, (_, index) =>
    buildHashedMember(`incarnation-${index}`),
  );
  const counts = new Map<string, number>();
  for (let id = 0; id < 24_000; id += 1) {
    const owner = chooseLedgerOwner(members, `site/track/${id}`) ?? '';
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
  }
  // Expected: 1,000 per member, with a standard deviation of 31.
  expect(Math.min(...counts.values())).to.be.above(800);
  expect(Math.max(...counts.values())).to.be.below(1_200);
});
