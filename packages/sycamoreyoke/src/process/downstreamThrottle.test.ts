import {expect} from 'chai';
import {DownstreamThrottle, GATE_THROTTLE} from './downstreamThrottle.js';

const INTERVAL_MS = 33;
const REQUESTS = 300;

/**
 * Simulates 30 requests per second, of which the given share succeeds, and
 * returns the admitted share.
 */
function computeAdmittedShare(successShare: number): number {
  const throttle = new DownstreamThrottle(GATE_THROTTLE);
  let admitted = 0;
  for (let count = 0; count < REQUESTS; count += 1) {
    const nowMs = count * INTERVAL_MS;
    if (!throttle.admit('page', nowMs)) continue;
    admitted += 1;
    const succeeded = admitted % 10 < successShare * 10;
    throttle.observe({kind: 'page', succeeded, startedMs: nowMs, nowMs});
  }
  return admitted / REQUESTS;
}

// Guards against a gate with few requests that never throttles, because its
// counts decay before they reach the minimum. Its requests fail downstream and
// take slots there from requests that could succeed.
it('downstream throttle: 30 requests a second are enough to throttle', () => {
  expect(computeAdmittedShare(0.2)).to.be.within(0.02, 0.6);
});

// Guards against throttling a kind whose calls mostly succeed.
it('downstream throttle: a kind that mostly succeeds is not throttled', () => {
  expect(computeAdmittedShare(0.9)).to.equal(1);
});

/** Runs 20 requests of 0.3 s per second; returns who was admitted when. */
function runPhases(hasFault: (nowMs: number) => boolean, endMs: number) {
  const changes: boolean[] = [];
  const throttle = new DownstreamThrottle(GATE_THROTTLE, (_kind, isThrottled) =>
    changes.push(isThrottled),
  );
  const running: Array<{startedMs: number; finishedMs: number}> = [];
  const admittedMs: number[] = [];
  for (let nowMs = 0; nowMs < endMs; nowMs += 50) {
    while (running[0] && running[0].finishedMs <= nowMs) {
      const {startedMs} = running.shift() as (typeof running)[0];
      const succeeded = !hasFault(startedMs);
      throttle.observe({kind: 'page', succeeded, startedMs, nowMs});
    }
    if (!throttle.admit('page', nowMs)) continue;
    admittedMs.push(nowMs);
    running.push({startedMs: nowMs, finishedMs: nowMs + 300});
  }
  return {throttle, admittedMs, changes};
}

// Guards against a throttle that stays open when the fault returns, because
// the results from before still count.
it('downstream throttle: closes again on a relapse', () => {
  const hasFault = (nowMs: number) =>
    (nowMs >= 2_000 && nowMs < 6_000) || nowMs >= 9_000;
  const {throttle, admittedMs, changes} = runPhases(hasFault, 14_000);
  const count = (fromMs: number, toMs: number) =>
    admittedMs.filter((ms) => ms >= fromMs && ms < toMs).length;
  expect(count(7_500, 9_000)).to.equal(30);
  expect(count(11_000, 14_000)).to.be.at.most(20);
  expect(throttle.listThrottled(14_000).map(({kind}) => kind)).to.eql(['page']);
  expect(changes).to.eql([true, false, true]);
});

// Guards against a kind that is refused long after its last result.
it('downstream throttle: without samples nothing is throttled', () => {
  const {throttle} = runPhases(() => true, 6_000);
  expect(throttle.listThrottled(6_000)).to.have.length(1);
  for (let count = 0; count < 20; count += 1) {
    expect(throttle.admit('page', 9_000)).to.equal(true);
  }
});
