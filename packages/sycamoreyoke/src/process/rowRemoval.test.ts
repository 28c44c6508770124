import {expect} from 'chai';
import {chooseRemovals} from './rowRemoval.js';

const NAMES = ['a', 'b', 'c', 'd', 'e'];

// Guards against rows that are never removed, or removed by several nodes.
it('row removal: one reachable node removes each row', () => {
  const gone = new Set(['b', 'c', 'e']);
  const removals = ['a', 'd'].map((self) => chooseRemovals(self, NAMES, gone));
  expect(removals).to.deep.equal([['b', 'c'], ['e']]);
});

// Guards against a partitioned node that removes the rows of the whole fleet.
it('row removal: a reachable successor protects the rows behind it', () => {
  expect(chooseRemovals('a', NAMES, new Set(['c', 'd']))).to.deep.equal([]);
});
