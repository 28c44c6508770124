import {expect} from 'chai';
import {computeAddedCost, computeSpread, renderPaths} from './summary.js';

const DIRECT_PATH = {name: 'direct', rounds: [{p50Ms: 1, p99Ms: 2}]};

// Guards against a median that takes one of the two middle values when the
// number of values is even.
it('uses the mean of the two middle values', () => {
  expect(computeSpread([4, 1, 2, 3])).to.deep.equal({
    median: 2.5,
    least: 1,
    most: 4,
  });
});

// Guards against a spread computed from only some of the rounds.
it('returns no spread if a round has no value', () => {
  expect(computeSpread([1, undefined])).to.equal(undefined);
});

// Guards against subtracting medians of different rounds: the load of the
// machine changes between rounds.
it('subtracts round by round', () => {
  const rounds = [10, 30, 20].map((p99Ms) => ({p50Ms: 1, p99Ms}));
  const slowerRounds = rounds.map(({p99Ms}) => ({p50Ms: 1, p99Ms: p99Ms + 1}));
  const added = computeAddedCost(
    {name: 'a', rounds: slowerRounds},
    {name: 'b', rounds},
    ({p99Ms}) => p99Ms,
  );
  expect(added).to.deep.equal({median: 1, least: 1, most: 1});
});

// Guards against showing a missing value as zero.
it('shows a missing cost as not known', () => {
  const nodePath = {name: 'node', rounds: [{p50Ms: 2, p99Ms: 3}]};
  const row = renderPaths([DIRECT_PATH, nodePath]).split('\n').at(-1);
  expect(row).to.equal(
    '| node | 2.00 (2.00 to 2.00) | 3.00 (3.00 to 3.00) | 1.00 (1.00 to 1.00) | 1.00 (1.00 to 1.00) | not known | – |',
  );
});
