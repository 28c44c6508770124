import {expect} from 'chai';
import {StopSchedule} from './stopSchedule.js';

const GRACE_MS = 6_000;
const schedule = new StopSchedule(1_000, GRACE_MS);

// Guards against accepting requests that cannot be answered within the grace
// time, and against refusing requests before clients know of the stop.
it('stop accepts requests for less than half of the grace time', () => {
  expect(schedule.isAcceptingRequests(1_000 + 2_800)).to.equal(true);
  expect(schedule.isAcceptingRequests(1_000 + 3_000)).to.equal(false);
});

// Guards against a request that is accepted early in a stop although it takes
// longer than the stop, and is answered as unknown while it runs.
it('stop accepts only requests that end before it', () => {
  const nowMs = 1_000 + 2_000;
  const {answerMs} = schedule;
  const usualMs = answerMs - nowMs;
  expect(schedule.hasTimeToAnswer(nowMs, answerMs + 900)).to.equal(false);
  expect(schedule.hasTimeToAnswer(nowMs, answerMs - 200)).to.equal(true);
  const laterMs = answerMs + 9_000;
  expect(schedule.hasTimeToAnswer(nowMs, laterMs, usualMs)).to.equal(false);
  expect(schedule.hasTimeToAnswer(nowMs, laterMs, 500)).to.equal(true);
  expect(schedule.hasTimeToAnswer(1_000 + 3_000, laterMs, 500)).to.equal(false);
});

// Guards against calls from other nodes that are aborted at the end of a stop.
it('stop runs only calls that end before it', () => {
  const nowMs = 1_000 + 1_000;
  const {answerMs} = schedule;
  expect(schedule.hasTimeToFinish(nowMs, answerMs)).to.equal(true);
  expect(schedule.hasTimeToFinish(nowMs, answerMs + 1)).to.equal(false);
  expect(schedule.hasTimeToFinish(1_000 + 3_000, answerMs)).to.equal(false);
});

// Guards against a queued call that starts late in a stop and is aborted.
it('stop starts late only calls that end before it', () => {
  const lateMs = 1_000 + 3_000;
  const {answerMs} = schedule;
  expect(schedule.hasTimeToStart(1_000 + 2_000, answerMs + 1)).to.equal(true);
  expect(schedule.hasTimeToStart(lateMs, answerMs)).to.equal(true);
  expect(schedule.hasTimeToStart(lateMs, answerMs + 1)).to.equal(false);
});

// Guards against a listener that closes before clients know of the stop,
// because the signal was handled late.
it('stop keeps listening after a signal that was handled late', () => {
  const late = new StopSchedule(1_000, GRACE_MS, 1_600);
  expect(late.isListening(1_600 + 2_400, false)).to.equal(true);
  expect(late.isListening(1_600 + 2_600, false)).to.equal(false);
  const never = new StopSchedule(1_000, GRACE_MS, 1_000 + GRACE_MS);
  expect(never.isListening(1_000 + GRACE_MS, true)).to.equal(false);
});

// Guards against refusing connections that calls of running requests need.
it('stop listens while requests run and leaves time to answer', () => {
  const times = [2_400, 2_600, 3_900, 4_100].map((ms) => 1_000 + ms);
  const idle = times.map((ms) => schedule.isListening(ms, false));
  const busy = times.map((ms) => schedule.isListening(ms, true));
  expect(idle).to.deep.equal([true, false, false, false]);
  expect(busy).to.deep.equal([true, true, true, false]);
});

// Guards against answering a request that its upstream would still finish, and
// against a process that is killed before it has answered.
it('stop answers running requests in the last sixth of the grace time', () => {
  const lastSixthMs = 1_000 + (5 / 6) * GRACE_MS;
  expect(schedule.answerMs).to.be.within(lastSixthMs, schedule.exitMs - 1);
  expect(schedule.exitMs).to.be.lessThan(1_000 + GRACE_MS);
});

// Guards against a call that ends only after its request was answered.
it('stop bounds the deadline of calls', () => {
  expect(schedule.clampDeadline(90_000)).to.be.lessThan(schedule.answerMs);
  expect(schedule.clampDeadline(2_000)).to.equal(2_000);
});
