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
