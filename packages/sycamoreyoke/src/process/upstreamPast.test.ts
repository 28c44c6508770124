import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {StatusVerdict, UpstreamPast} from './upstreamPast.js';
import type {UpstreamHeartbeat} from './upstreamPresence.js';
import {PresenceChange} from './upstreamPresence.js';

const NODE_STARTED_AT_MS = 10_000;
const OLDER: UpstreamHeartbeat = {
  instance: 'i-1',
  slots: 1,
  isDraining: false,
  coldMs: 0,
  sequence: 1,
  bornMs: 9_000,
};
const HEARTBEAT_MS = 1_500;

function createPast() {
  const clock = new VirtualClock();
  return {clock, past: new UpstreamPast(clock, NODE_STARTED_AT_MS)};
}

// Guards against a check, which users pay for, of an upstream whose past is
// known, and against a first request before the check of any other.
it('upstream past: only an older upstream of an untold node is checked', () => {
  const states = [
    {heartbeat: OLDER, isTold: false},
    {heartbeat: OLDER, isTold: true},
    {heartbeat: {...OLDER, bornMs: 10_000}, isTold: false},
    {heartbeat: {...OLDER, isDraining: true}, isTold: false},
  ].map(({heartbeat, isTold}) => {
    const {past} = createPast();
    if (isTold) past.recordTold();
    past.observeHeartbeat(heartbeat, PresenceChange.STARTED);
    return [past.hasKnownPast(), past.startCheck()];
  });
  expect(states).to.deep.equal([
    [false, true],
    [true, false],
    [true, false],
    [true, false],
  ]);
});

// Guards against several checks of one upstream, and against a check before its
// first heartbeat.
it('upstream past: one check is enough', () => {
  const {past} = createPast();
  expect(past.startCheck()).to.equal(false);
  past.observeHeartbeat(OLDER, PresenceChange.STARTED);
  expect([past.startCheck(), past.startCheck()]).to.deep.equal([true, false]);
  past.finishCheck(StatusVerdict.SERVING);
  expect([past.hasKnownPast(), past.startCheck()]).to.deep.equal([true, false]);
});

// Guards against work for an upstream that leaves, against checks in quick
// succession, and against delayed heartbeats that count as a running upstream.
it('upstream past: a bad verdict holds, and checks become rare', () => {
  const {clock, past} = createPast();
  past.observeHeartbeat(OLDER, PresenceChange.STARTED);
  let checks = 0;
  for (let elapsedMs = 0; elapsedMs < 16_000; elapsedMs += 100) {
    if (past.startCheck()) {
      checks += 1;
      past.finishCheck(StatusVerdict.NOT_SERVING);
    }
    clock.advance(100);
  }
  expect(checks).to.equal(6);
  for (let count = 0; count < 10; count += 1) {
    past.observeHeartbeat(OLDER, PresenceChange.NONE);
  }
  expect(past.hasKnownPast()).to.equal(false);
});

// Guards against a service that gets no work because its check path is wrong.
it('upstream past: an upstream that goes on reporting gets work', () => {
  const {clock, past} = createPast();
  past.observeHeartbeat(OLDER, PresenceChange.STARTED);
  const served: boolean[] = [];
  for (let count = 0; count < 4; count += 1) {
    if (past.startCheck()) past.finishCheck(StatusVerdict.UNKNOWN);
    clock.advance(HEARTBEAT_MS);
    past.observeHeartbeat(OLDER, PresenceChange.NONE);
    served.push(past.hasKnownPast());
  }
  expect(served).to.deep.equal([false, false, false, true]);
});
