import {expect} from 'chai';
import {DownstreamThrottle, QUIET_DECAY_MS} from './downstreamThrottle.js';

const INTERVAL_MS = 33;
const REQUESTS = 300;

/**
 * Simulates 30 requests per second, of which the given share succeeds, and
 * returns the admitted share.
 */
function computeAdmittedShare(successShare: number): number {
  const throttle = new DownstreamThrottle(1.5, QUIET_DECAY_MS);
  let admitted = 0;
  for (let count = 0; count < REQUESTS; count += 1) {
    const nowMs = count * INTERVAL_MS;
    if (!throttle.admit('page', nowMs)) continue;
    admitted += 1;
    throttle.observe('page', admitted % 10 < successShare * 10, nowMs);
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
