import {expect} from 'chai';
import {VirtualClock} from 'sycamoreyoke/clock';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {RETAINED_RESULT_BYTES, RETAINED_RESULT_MS} from '../constants.js';
import type {CallResult, PendingCall} from '../types.js';
import {createResponse} from './linkHarness.test.js';
import {LinkSession} from './linkSession.js';
import {ResultRetention} from './resultRetention.js';

interface SessionTrial {
  readonly clock: VirtualClock;
  readonly session: LinkSession;
  readonly sent: Array<readonly [number, CallResult]>;
}

function createSession(): SessionTrial {
  const clock = new VirtualClock();
  const session = new LinkSession(1, new ResultRetention(clock));
  const sent: Array<readonly [number, CallResult]> = [];
  session.link = {
    sendResult: (id, result) => void sent.push([id, result]),
    handleCallEnd: () => undefined,
    disconnect: () => undefined,
  };
  return {clock, session, sent};
}

const RUNNING: PendingCall = {cancel: () => undefined};

// Guards against calling a call "not run" whose result the gate has dropped.
it('session: a forgotten result is unknown, not "not run"', () => {
  const {clock, session, sent} = createSession();
  session.settle(1, createResponse('old'));
  clock.advance(RETAINED_RESULT_MS + 1);
  session.settle(2, createResponse('acknowledged'));
  session.removeAcknowledged([2]);
  session.settle(3, createResponse('kept'));
  session.add(4, RUNNING);
  sent.length = 0;
  session.resume([1, 2, 3, 4, 5]);
  const ends = sent.map(([id, {end}]) => [id, end]);
  expect(ends).to.deep.equal([
    [1, SendEnd.LOST],
    [2, SendEnd.LOST],
    [3, SendEnd.RESPONSE],
    [5, SendEnd.REFUSED_BY_GATE],
  ]);
});

// Guards against results of origins that never ask and fill the memory.
it('session: kept results are bounded by their size', () => {
  const {session, sent} = createSession();
  const bytes = RETAINED_RESULT_BYTES / 8;
  const ids = Array.from({length: 40}, (_, index) => index + 1);
  for (const id of ids) session.settle(id, createResponse(`r-${id}`, bytes));
  session.settle(41, createResponse('large', RETAINED_RESULT_BYTES));
  sent.length = 0;
  session.resume([...ids, 41]);
  const kept = sent.filter(([, {end}]) => end === SendEnd.RESPONSE);
  expect(kept.length).to.be.within(1, 8);
  expect(kept.at(-1)?.[0]).to.equal(40);
});
