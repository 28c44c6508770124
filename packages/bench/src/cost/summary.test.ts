import {expect} from 'chai';
import {computeAdded, computeSpread, renderPaths} from './summary.js';

const DIRECT = {name: 'direct', rounds: [{p50Ms: 1, p99Ms: 2}]};

// Guards against a median that leans to one side for an even count.
it('takes the mean of both middle values', () => {
  expect(computeSpread([4, 1, 2, 3])).to.deep.equal({
    median: 2.5,
    least: 1,
    most: 4,
  });
});

// Guards against a figure from only some of the rounds.
it('knows no spread when a round is missing', () => {
  expect(computeSpread([1, undefined])).to.equal(undefined);
});

// Guards against a difference of medians from different times.
it('subtracts round by round', () => {
  const rounds = [10, 30, 20].map((p99Ms) => ({p50Ms: 1, p99Ms}));
  const later = rounds.map(({p99Ms}) => ({p50Ms: 1, p99Ms: p99Ms + 1}));
  const added = computeAdded(
    {name: 'a', rounds: later},
    {name: 'b', rounds},
    ({p99Ms}) => p99Ms,
  );
  expect(added).to.deep.equal({median: 1, least: 1, most: 1});
});

// Guards against a missing figure that is shown as zero.
it('names a cost that is not known', () => {
  const proxied = {name: 'node', rounds: [{p50Ms: 2, p99Ms: 3}]};
  const row = renderPaths([DIRECT, proxied]).split('\n').at(-1);
  expect(row).to.equal(
    '| node | 2.00 (2.00 to 2.00) | 3.00 (3.00 to 3.00) | 1.00 (1.00 to 1.00) | 1.00 (1.00 to 1.00) | not known | – |',
  );
});
