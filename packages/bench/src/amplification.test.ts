import {expect} from 'chai';
import {RetryDesign, measureAmplification} from './amplification.js';

// Guards against retries that multiply over the hops although the allowance is
// split: a failing service must get at most the first call and 3 retries.
it('amplification: only the split allowance is bounded at every depth', () => {
  const rows = measureAmplification();
  const listDeepCalls = (design: RetryDesign) =>
    rows.filter((row) => row.design === design).map((row) => row.deepCalls);
  expect(listDeepCalls(RetryDesign.EACH_HOP)).to.deep.equal([
    4, 16, 64, 256, 1_024, 4_096,
  ]);
  expect(Math.max(...listDeepCalls(RetryDesign.SPLIT))).to.be.at.most(4);
  expect(Math.max(...listDeepCalls(RetryDesign.COPIED))).to.be.above(4);
});
