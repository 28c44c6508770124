import {expect} from 'chai';
import {createRandom} from '../random.js';
import {REWRITES_PER_S, chooseRewriteDelayMs} from './rowRewrite.js';

const NODES = Array.from({length: 23_000}, (_, index) => `node-${index}`);
/** Writes that the store takes from all nodes together in a second. */
const MAX_WRITES_PER_S = 1_200;
/** Longest time until a node reads what another one has written, ms. */
const READ_MS = 4_000;

function countPerSecond(delaysMs: readonly number[]): number[] {
  const counts = new Map<number, number>();
  for (const delayMs of delaysMs) {
    const second = Math.floor(delayMs / 1_000);
    counts.set(second, (counts.get(second) ?? 0) + 1);
  }
  return [...counts.values()];
}

// Guards against a node's own record that comes back late after few losses, or
// with which all nodes of the target size overload the store.
it('row rewrite: owners write within a second, or as fast as allowed', () => {
  const random = createRandom(1);
  const choose = (lostRows: number, key: string) =>
    chooseRewriteDelayMs(
      {key, holder: key, isOwner: true, nodes: NODES.length, lostRows},
      random,
    );
  const few = NODES.slice(0, 100).map((node) => choose(100, node));
  expect(Math.max(...few)).to.be.below(1_000);
  const all = NODES.map((node) => choose(NODES.length, node));
  expect(Math.max(...countPerSecond(all))).to.be.below(MAX_WRITES_PER_S);
  const longestMs = (NODES.length / REWRITES_PER_S) * 1_000;
  expect(Math.max(...all)).to.be.below(longestMs + 1);
});

// Guards against a row that all its readers write, and against one that nobody
// writes because the first nodes in the order do not hold it.
for (const share of [1, 0.1, 0.01]) {
  it(`row rewrite: few write a row that a share of ${share} holds`, () => {
    const random = createRandom(2);
    const keys = Array.from({length: 20}, (_, index) => `leaving/${index}`);
    const writers = keys.map((key) => {
      const delaysMs = NODES.filter(() => random() < share).map((holder) =>
        chooseRewriteDelayMs(
          {key, holder, isOwner: false, nodes: NODES.length, lostRows: 1},
          random,
        ),
      );
      const firstMs = delaysMs.reduce((a, b) => Math.min(a, b));
      expect(firstMs).to.be.below(60_000);
      return delaysMs.filter((delayMs) => delayMs < firstMs + READ_MS).length;
    });
    expect(Math.max(...writers)).to.be.below(16);
  });
}

// Guards against readers that write all lost rows in the same moment.
it('row rewrite: readers stay within the rate of the store', () => {
  const random = createRandom(3);
  const delaysMs = NODES.map((node) =>
    chooseRewriteDelayMs(
      {
        key: `leaving/${node}`,
        holder: 'reader',
        isOwner: false,
        nodes: 1,
        lostRows: NODES.length,
      },
      random,
    ),
  );
  expect(Math.max(...countPerSecond(delaysMs))).to.be.below(MAX_WRITES_PER_S);
});
