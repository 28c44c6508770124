import {expect} from 'chai';
import {ServiceTimes} from './serviceTimes.js';
import {Completion} from './types.js';

const DEVIATIONS = 2;

function computeNeedAfter(latenciesMs: readonly number[]): number {
  const times = new ServiceTimes();
  for (const latencyMs of latenciesMs) {
    times.observe('book', latencyMs, Completion.SUCCEEDED, 0);
  }
  return times.computeNeedMs('book', DEVIATIONS, 0);
}

describe('service times', () => {
  // Guards against a deviation of zero that is taken for none: the second
  // request of a kind alone decides then how much time is reserved.
  it('one slow request counts by its weight, also as the second', () => {
    const needMs = computeNeedAfter([2_000, 4_000]);
    expect(needMs).to.be.closeTo(2_100 + DEVIATIONS * 100, 1);
  });

  it('requests that stay slow raise the reserved time', () => {
    const slow = Array.from({length: 100}, () => 4_000);
    expect(computeNeedAfter([2_000, ...slow])).to.be.greaterThan(3_900);
  });

  it('requests that vary have time reserved for their deviation', () => {
    const varying = Array.from({length: 200}, (_, index) =>
      index % 2 === 0 ? 1_000 : 3_000,
    );
    const needMs = computeNeedAfter(varying);
    expect(needMs).to.be.closeTo(2_000 + DEVIATIONS * 1_000, 150);
  });
});
