import {expect} from 'chai';
import {RetryDesign, measureAmplification} from './amplification.js';

// Guards against a split allowance that lets a failing service get more than
// the first call and the granted retries.
it('amplification: only the split allowance is bounded at every depth', () => {
  const rows = measureAmplification();
  const collect = (design: RetryDesign) =>
    rows.filter((row) => row.design === design).map((row) => row.deepCalls);
  expect(collect(RetryDesign.EACH_HOP)).to.deep.equal([
    4, 16, 64, 256, 1_024, 4_096,
  ]);
  expect(Math.max(...collect(RetryDesign.SPLIT))).to.be.at.most(4);
  expect(Math.max(...collect(RetryDesign.COPIED))).to.be.above(4);
});
