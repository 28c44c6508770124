import {expect} from 'chai';
import {createRandom} from '../random.js';
import {
  chooseWatchMs,
  computeListPauseMs,
  computeMeanWatchMs,
  isChosenToQuery,
} from './watchTime.js';

/** Store reads per second that a large deployment may make. */
const READS_PER_S = 2_000;
const SAMPLES = 200;

// Guards against silent connections that nobody notices, and against waits so
// short that they use up the read capacity of the store.
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

// Guards against all nodes querying the store at once when data centres are
// partitioned.
it('watch time: few nodes of a large deployment query the store', () => {
  const random = createRandom(2);
  const countQuerying = (nodes: number) =>
    Array.from({length: nodes}, () => isChosenToQuery(random, nodes)).filter(
      Boolean,
    ).length;
  expect(countQuerying(17)).to.equal(17);
  expect(countQuerying(23_000)).to.be.within(8, 80);
});

/** Counts the reads of all nodes while the list changes all the time. */
function countListReads(nodes: number, periodMs: number): number {
  let reads = 0;
  for (let passedMs = 0; passedMs < periodMs; reads += 1) {
    passedMs += computeListPauseMs(nodes, reads + 1);
  }
  return reads * nodes;
}

// Guards against reads of the list that grow with the square of a deployment
// whose nodes are restarted one after another.
it('watch time: a list that keeps changing is read rarely in a large fleet', () => {
  const periodMs = 60_000;
  const small = countListReads(17, periodMs) / 17;
  const large = countListReads(196, periodMs) / 196;
  expect(small).to.equal(periodMs / 3_000);
  expect(large).to.be.below(small / 2.5);
  expect(computeListPauseMs(23_000, 99)).to.be.at.most(15_000);
  // While all nodes start, a list that was read early is read again soon.
  expect(computeListPauseMs(196, 1)).to.equal(3_000);
});
