import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {reportByThrowing} from '../invariants.js';
import {createRandom} from '../random.js';
import {
  FIRST_FAILURE_EXCLUSION_MS,
  SEED_REFRESH_MS,
  SEED_SLOTS,
} from './constants.js';
import {ServiceView} from './serviceView.js';
import {Membership} from './membership.js';
import {MembershipActionKind, MessageKind} from './membershipMessages.js';
import {
  EMPTY_SEED_STATE,
  computeSeedOwners,
  decideSeedSlots,
  parseSeedRows,
  recordSeedSlots,
} from './seeds.js';
import {createUpdate} from './tableSync.js';
import type {Member} from './types.js';
import {MemberState} from './types.js';

function createMembers(count: number): Member[] {
  return Array.from({length: count}, (_, index) => ({
    service: 'albums',
    incarnation: `${index}`.padStart(32, 'a'),
    counter: 1,
    address: `10.0.0.${index}`,
    peerPort: 1,
    controlPort: 2,
    adminPort: 3,
    publicPort: 4,
    dataCentre: 'kochi-a',
    region: 'kerala',
    state: MemberState.ACTIVE,
    weight: 90,
    epoch: 0,
  }));
}

function createView(clock: VirtualClock, members: readonly Member[]) {
  const view = new ServiceView({
    service: 'albums',
    sender: {service: 'fitting', incarnation: 'caller'},
    dataCentre: 'kochi-a',
    clock,
    random: createRandom(3),
  });
  view.addContacts(members.map(createUpdate));
  return view;
}

// Guards against calls to a failed member before the next poll, and against
// excluding it forever.
it('caller view excludes a failed member for a limited time', () => {
  const clock = new VirtualClock();
  const [first, second] = createMembers(2);
  const view = createView(clock, [first, second] as Member[]);
  view.observeFailure(first?.incarnation ?? '', false);
  expect(view.listUsable()).to.deep.equal([second]);
  clock.advance(FIRST_FAILURE_EXCLUSION_MS);
  expect(view.listUsable()).to.deep.equal([first, second]);
});

// Guards against more calls to a member that has announced its leave.
it('caller view excludes a member that is leaving', () => {
  const clock = new VirtualClock();
  const [first, second] = createMembers(2);
  const view = createView(clock, [first, second] as Member[]);
  view.observeLeaving(first?.incarnation ?? '');
  clock.advance(60_000);
  expect(view.listUsable()).to.deep.equal([second]);
});

// Guards against polling a member again that does not answer.
it('caller view replaces a polled member that fails', () => {
  const clock = new VirtualClock();
  const view = createView(clock, createMembers(3));
  const [poll] = view.observeCall();
  if (poll?.kind !== MembershipActionKind.SEND) throw new Error('no poll');
  const [nextPoll] = view.handleFailure(poll.requestId, true);
  if (nextPoll?.kind !== MembershipActionKind.SEND) throw new Error('no poll');
  expect(nextPoll.to).not.to.deep.equal(poll.to);
});

// Guards against a resumed process that marks others as dead because they were
// silent during its own pause, or that serves before a peer has answered.
it('membership is stale after a pause until a peer answers', () => {
  const clock = new VirtualClock();
  const [self, ...peers] = createMembers(4);
  if (!self) throw new Error('no member');
  const random = createRandom(4);
  const report = reportByThrowing;
  const membership = new Membership({self, clock, random, report});
  membership.start(peers.map(createUpdate));
  for (let elapsed = 0; elapsed < 2_100; elapsed += 100) {
    clock.advance(100);
    membership.tick();
    if (elapsed > 500) break;
  }
  const {counter} = membership.readSelf();
  clock.advance(9_000);
  const actions = membership.tick();
  expect(membership.isStale()).to.equal(true);
  expect(membership.readSelf().counter).to.be.greaterThan(counter);
  const states = new Set(membership.list().map(({state}) => state));
  expect([...states]).to.deep.equal([MemberState.ACTIVE]);
  const list = actions.find(
    (action) =>
      action.kind === MembershipActionKind.SEND &&
      action.request.kind === MessageKind.LIST_MEMBERS,
  );
  if (list?.kind !== MembershipActionKind.SEND) throw new Error('no list');
  membership.handleResponse(list.requestId, {
    kind: MessageKind.LIST_MEMBERS,
    sender: {service: 'albums', incarnation: peers[0]?.incarnation ?? ''},
    sequence: 1,
    isDelta: true,
    members: [],
  });
  expect(membership.isStale()).to.equal(false);
});

// Guards against too many rows for the table, and against rewriting all rows of
// a service whenever a member changes.
it('seeds have four owners, and few move on a change', () => {
  const members = createMembers(50);
  const owners = computeSeedOwners(members);
  expect(new Set(owners).size).to.equal(SEED_SLOTS);
  const fewer = computeSeedOwners(members.filter((m) => m !== owners[1]));
  const moved = owners.filter((owner, slot) => owner !== fewer[slot]);
  expect(moved.length).to.be.lessThan(3);
  expect(computeSeedOwners(createMembers(1))).to.have.length(1);
});

// Guards against rows that are written at each tick, or only once.
it('seeds are refreshed every 120 s by their owner', () => {
  const owners = computeSeedOwners(createMembers(5));
  const self = owners[2]?.incarnation ?? '';
  const slots = decideSeedSlots(owners, self, EMPTY_SEED_STATE, 0);
  expect(slots).to.deep.equal([2]);
  const state = recordSeedSlots(owners, self, EMPTY_SEED_STATE, slots, 0);
  expect(decideSeedSlots(owners, self, state, 1)).to.deep.equal([]);
  expect(decideSeedSlots(owners, self, state, SEED_REFRESH_MS)).to.deep.equal([
    2,
  ]);
});

// Guards against a failed start because of one malformed row.
it('seeds ignore malformed rows', () => {
  const [member] = createMembers(1);
  const values = ['{', 'null', '{"service":1}', JSON.stringify(member)];
  const rows = values.map((value) => ({key: 'seeds/a/0', value, version: 1}));
  expect(parseSeedRows(rows)).to.have.length(1);
});
