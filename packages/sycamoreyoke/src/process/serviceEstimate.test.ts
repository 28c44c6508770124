import {expect} from 'chai';
import {computeServiceMs, updateObservation} from './serviceEstimate.js';

const SLOW = updateObservation(undefined, {
  elapsedMs: 900,
  reportedMs: 600,
  sampledMs: 0,
});

// Guards against an upstream that stays without work because it was slow when
// this origin last used it, although it has recovered for the others.
it('service estimate: an old sample follows the mean of all origins', () => {
  expect(computeServiceMs(SLOW, 120, 500)).to.equal(900);
  expect(computeServiceMs(SLOW, 120, 5_000)).to.equal(180);
  expect(computeServiceMs(SLOW, 1_200, 5_000)).to.equal(1_800);
});

// Guards against a correction by a mean that is unknown or of another mix.
it('service estimate: the correction is bounded', () => {
  expect(computeServiceMs(SLOW, 0, 5_000)).to.equal(900);
  expect(computeServiceMs(SLOW, 1, 5_000)).to.equal(180);
  expect(computeServiceMs(SLOW, 60_000, 5_000)).to.equal(4_500);
  expect(computeServiceMs(undefined, 60, 0)).to.equal(undefined);
});
