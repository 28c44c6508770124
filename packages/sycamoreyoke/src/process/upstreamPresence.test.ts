import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import type {UpstreamHeartbeat} from './upstreamPresence.js';
import {PresenceChange, UpstreamPresence} from './upstreamPresence.js';

const HEARTBEAT: UpstreamHeartbeat = {
  instance: 'i-1',
  slots: 10,
  isDraining: false,
  coldMs: 0,
  sequence: 5,
  bornMs: 1_000,
};

function observeAll(...heartbeats: Array<Partial<UpstreamHeartbeat>>) {
  const presence = new UpstreamPresence(new VirtualClock());
  const changes = heartbeats.map((heartbeat) =>
    presence.observe({...HEARTBEAT, ...heartbeat}),
  );
  return {presence, changes};
}

// Guards against a heartbeat, delayed by a network partition, that restores a
// dead incarnation.
it('presence: an earlier start does not replace a later one', () => {
  const {presence, changes} = observeAll(
    {instance: 'i-2', bornMs: 2_000, sequence: 1},
    {sequence: 99},
  );
  expect(changes[1]).to.equal(PresenceChange.OUTDATED);
  expect(presence.read()?.instance).to.equal('i-2');
});

// Guards against refusing an upstream that restarts under the same id, because
// its sequence numbers start again.
it('presence: treats the same id with a later start as new', () => {
  const {presence, changes} = observeAll(
    {isDraining: true},
    {bornMs: 2_000, sequence: 1},
  );
  expect(changes[1]).to.equal(PresenceChange.STARTED);
  expect(presence.read()?.drainingSinceMs).to.equal(undefined);
});

// Guards against a delayed heartbeat that cancels draining.
it('presence: draining is not cancelled', () => {
  const {presence, changes} = observeAll(
    {},
    {isDraining: true, sequence: 7},
    {sequence: 6},
    {sequence: 8},
  );
  expect(changes.slice(1)).to.deep.equal([
    PresenceChange.DRAINING,
    PresenceChange.OUTDATED,
    PresenceChange.NONE,
  ]);
  expect(presence.read()?.drainingSinceMs).to.equal(0);
});

// Guards against a leave message of an earlier instance that drains the current
// one.
it('presence: accepts a leave only from the current instance', () => {
  const {presence} = observeAll({});
  expect(presence.recordLeaving('i-0')).to.equal(PresenceChange.OUTDATED);
  expect(presence.recordLeaving('i-1')).to.equal(PresenceChange.DRAINING);
});

// Guards against refusing an upstream forever because the clock was set back
// between two starts, or because one heartbeat had a start far in the future.
it('presence: accepts an earlier start once the later one is silent', () => {
  const clock = new VirtualClock();
  const presence = new UpstreamPresence(clock);
  const later = {...HEARTBEAT, bornMs: Number.MAX_SAFE_INTEGER, sequence: 9};
  presence.observe(later);
  const observe = (sequence: number) =>
    presence.observe({...HEARTBEAT, sequence});
  clock.advance(2_000);
  expect(observe(1)).to.equal(PresenceChange.OUTDATED);
  expect(observe(2)).to.equal(PresenceChange.OUTDATED);
  clock.advance(3_000);
  expect(observe(2)).to.equal(PresenceChange.OUTDATED);
  expect(observe(3)).to.equal(PresenceChange.STARTED);
  expect(presence.read()?.bornMs).to.equal(HEARTBEAT.bornMs);
});

// Guards against mistaking the first heartbeat after a restart for a delayed one
// of an earlier incarnation.
it('presence: accepts an earlier start after the upstream ended', () => {
  const {presence} = observeAll({bornMs: 2_000, sequence: 9});
  presence.recordEnd();
  const restarted = {...HEARTBEAT, bornMs: 1_500, sequence: 1};
  expect(presence.observe(restarted)).to.equal(PresenceChange.STARTED);
  expect(presence.observe(HEARTBEAT)).to.equal(PresenceChange.OUTDATED);
});

/** A presence of which no heartbeat was seen before an instance has left. */
function createLeft(announcedMs = 10_000) {
  const clock = new VirtualClock(new Date(announcedMs));
  const presence = new UpstreamPresence(clock);
  presence.recordLeaving(HEARTBEAT.instance);
  const observe = (changes: Partial<UpstreamHeartbeat> = {}) => {
    presence.observe({...HEARTBEAT, ...changes});
    return presence.read()?.drainingSinceMs;
  };
  return {clock, presence, observe};
}

// Guards against work for an upstream whose leaving was acknowledged before its
// first heartbeat, which is late.
it('presence: a leaving before the first heartbeat is remembered', () => {
  const {clock, observe} = createLeft();
  expect(observe()).to.equal(-Infinity);
  expect(observe({sequence: 6})).to.equal(-Infinity);
  clock.advance(60_000);
  expect(observe({sequence: 7})).to.equal(-Infinity);
});

// Guards against the same while heartbeats of an earlier upstream are known.
it('presence: a leaving of a later instance is remembered', () => {
  const {presence} = observeAll({instance: 'i-0', bornMs: -500});
  presence.recordLeaving('i-1');
  presence.observe({...HEARTBEAT, bornMs: 0});
  expect(presence.read()?.instance).to.equal('i-1');
  expect(presence.read()?.drainingSinceMs).to.equal(-Infinity);
});

// Guards against late heartbeats that bring back an upstream that has left,
// after its successor was found at the address.
it('presence: a leaving is remembered when its instance is cleared', () => {
  const {presence} = observeAll({});
  presence.recordLeaving('i-1');
  presence.clearInstance('i-1');
  presence.observe({...HEARTBEAT, sequence: 6});
  expect(presence.read()?.drainingSinceMs).to.equal(-Infinity);
});

// Guards against a leaving that keeps work from the next upstream.
it('presence: a successor gets work at once, also under the same id', () => {
  const {presence, observe} = createLeft();
  expect(observe({instance: 'i-2', bornMs: 10_001})).to.equal(undefined);
  expect(observe({bornMs: 10_002, sequence: 1})).to.equal(undefined);
  expect(presence.recordLeaving('i-1')).to.equal(PresenceChange.DRAINING);
  expect(observe({instance: 'i-3', bornMs: 10_003})).to.equal(undefined);
});

// Guards against keeping work for good from a successor with the same id, after
// the clock was set back.
it('presence: a successor with an earlier start gets work in the end', () => {
  const {clock, observe, presence} = createLeft();
  const start = {bornMs: 9_000};
  const drains = [1, 2, 3, 4, 5].map((sequence) => {
    const drainingSinceMs = observe({...start, sequence});
    clock.advance(1_500);
    return drainingSinceMs;
  });
  expect(drains.slice(0, 4)).to.deep.equal(Array(4).fill(-Infinity));
  expect(drains[4]).to.equal(undefined);
  presence.recordLeaving('i-1');
  presence.recordEnd();
  expect(observe({bornMs: 9_500, sequence: 1})).to.equal(undefined);
});

// Guards against taking delayed heartbeats, which arrive together, for those of
// a successor.
it('presence: late heartbeats that arrive together revive nothing', () => {
  const {clock, observe} = createLeft();
  for (const delayMs of [6_000, 6_000, 6_000]) {
    clock.advance(delayMs);
    for (let sequence = 1; sequence <= 9; sequence += 1) {
      const sent = sequence + clock.readMs();
      expect(observe({sequence: sent})).to.equal(-Infinity);
    }
  }
});

const LEAVING = {instance: 'i-1', bornMs: 1_000, announcedMs: undefined};

// Guards against a restarted node that hears of a leaving only after a late
// heartbeat, or that mistakes a successor for the upstream that left.
it('presence: a leaving learned later ends the work', () => {
  const {presence} = observeAll({});
  expect(presence.mergeLeavings([LEAVING])).to.equal(PresenceChange.DRAINING);
  expect(presence.read()?.drainingSinceMs).to.equal(-Infinity);
  expect(presence.mergeLeavings([LEAVING])).to.equal(PresenceChange.NONE);
  const {presence: later} = observeAll({bornMs: 2_000});
  expect(later.mergeLeavings([LEAVING])).to.equal(PresenceChange.UPDATED);
  expect(later.read()?.drainingSinceMs).to.equal(undefined);
});

// Guards against telling other nodes of leavings that are over.
it('presence: a leaving is listed until a later incarnation reports', () => {
  const {presence} = observeAll({});
  expect(presence.listLeavings()).to.deep.equal([]);
  presence.observe({...HEARTBEAT, sequence: 6, isDraining: true});
  expect(presence.listLeavings()).to.deep.equal([LEAVING]);
  presence.observe({...HEARTBEAT, instance: 'i-2', bornMs: 2_000});
  expect(presence.listLeavings()).to.deep.equal([]);
});
