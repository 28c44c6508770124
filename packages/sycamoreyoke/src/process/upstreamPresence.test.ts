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

// Guards against a heartbeat held up by a partition that brings a dead
// incarnation back.
it('presence: an older start never replaces a newer one', () => {
  const {presence, changes} = observeAll(
    {instance: 'i-2', bornMs: 2_000, sequence: 1},
    {sequence: 99},
  );
  expect(changes[1]).to.equal(PresenceChange.OUTDATED);
  expect(presence.read()?.instance).to.equal('i-2');
});

// Guards against an upstream that starts again under its id and is refused
// because its count starts anew.
it('presence: the same id with a later start is a new upstream', () => {
  const {presence, changes} = observeAll(
    {isDraining: true},
    {bornMs: 2_000, sequence: 1},
  );
  expect(changes[1]).to.equal(PresenceChange.STARTED);
  expect(presence.read()?.drainingSinceMs).to.equal(undefined);
});

// Guards against a late heartbeat that revokes a drain.
it('presence: a drain stays', () => {
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

// Guards against a leave of an earlier instance that drains the present one.
it('presence: a leave counts only for the present instance', () => {
  const {presence} = observeAll({});
  expect(presence.recordLeave('i-0')).to.equal(PresenceChange.OUTDATED);
  expect(presence.recordLeave('i-1')).to.equal(PresenceChange.DRAINING);
});

// Guards against an upstream that is refused for ever because the clock was set
// back between two starts, or because of one report of a start far ahead.
it('presence: an earlier start counts once the later one keeps silent', () => {
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

// Guards against a report that was held up and that a restart is mistaken for.
it('presence: an earlier start counts at once after an end was seen', () => {
  const {presence} = observeAll({bornMs: 2_000, sequence: 9});
  presence.recordEnd();
  const restarted = {...HEARTBEAT, bornMs: 1_500, sequence: 1};
  expect(presence.observe(restarted)).to.equal(PresenceChange.STARTED);
  expect(presence.observe(HEARTBEAT)).to.equal(PresenceChange.OUTDATED);
});
