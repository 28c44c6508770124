import {expect} from 'chai';
import {createRandom} from '../random.js';
import {chooseWatchMs} from './watchTime.js';

/** Reads of the store that a large deployment may make, a second. */
const READS_PER_S = 2_000;
const SAMPLES = 200;

// Guards against silence that nobody notices and against waits that take all
// reads of the store.
it('watch time: follows the number of nodes within bounds', () => {
  const random = createRandom(1);
  for (const nodes of [1, 12, 79, 23_000]) {
    const waits = Array.from({length: SAMPLES}, () =>
      chooseWatchMs(random, nodes),
    );
    const meanMs = waits.reduce((sum, each) => sum + each, 0) / SAMPLES;
    expect(nodes / (meanMs / 1_000)).to.be.below(READS_PER_S);
    expect(Math.max(...waits)).to.be.at.most(20_000);
    if (nodes <= 12) expect(Math.max(...waits)).to.be.at.most(2_300);
    expect(new Set(waits).size).to.be.above(1);
  }
});
