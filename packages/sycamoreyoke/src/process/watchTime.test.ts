import {expect} from 'chai';
import {createRandom} from '../random.js';
import {chooseWatchMs, computeMeanWatchMs, isDoubtful} from './watchTime.js';

/** Reads of the store that a large deployment may make, a second. */
const READS_PER_S = 2_000;
const SAMPLES = 200;

// Guards against silence that nobody notices and against waits that take all
// reads of the store.
it('watch time: follows the number of nodes within bounds', () => {
  const random = createRandom(1);
  for (const nodes of [1, 12, 79, 23_000]) {
    const waits = Array.from({length: SAMPLES}, () =>
      chooseWatchMs(random, computeMeanWatchMs(nodes)),
    );
    const meanMs = waits.reduce((sum, each) => sum + each, 0) / SAMPLES;
    expect(nodes / (meanMs / 1_000)).to.be.below(READS_PER_S);
    expect(Math.max(...waits)).to.be.at.most(20_000);
    if (nodes <= 12) expect(Math.max(...waits)).to.be.at.most(2_300);
    expect(new Set(waits).size).to.be.above(1);
  }
});

// Guards against a cut between data centres that brings all nodes to the store
// at once.
it('watch time: few nodes of a large deployment ask for a silent link', () => {
  const random = createRandom(2);
  const countAsking = (nodes: number) =>
    Array.from({length: nodes}, () => isDoubtful(random, nodes)).filter(Boolean)
      .length;
  expect(countAsking(17)).to.equal(17);
  expect(countAsking(23_000)).to.be.within(8, 80);
});
