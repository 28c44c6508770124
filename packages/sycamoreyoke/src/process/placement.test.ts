import {expect} from 'chai';
import {createRandom} from '../random.js';
import type {PlacementCandidate, UpstreamLoad} from './placement.js';
import {choosePlacement} from './placement.js';

const LOAD: UpstreamLoad = {
  isAvailable: true,
  isDraining: false,
  limit: 10,
  running: 0,
  waiting: 0,
  meanServiceMs: 100,
};

function createCandidate(
  node: string,
  load: Partial<UpstreamLoad> = {},
  overrides: Partial<PlacementCandidate> = {},
): PlacementCandidate {
  return {
    node,
    isSameDataCentre: false,
    load: {...LOAD, ...load},
    sentSinceReport: 0,
    observedMs: undefined,
    avoidedUntilMs: 0,
    ...overrides,
  };
}

function choose(bodyBytes: number, ...candidates: PlacementCandidate[]) {
  const placement = {bodyBytes, nowMs: 1, random: () => 0};
  return choosePlacement(candidates, placement)?.node;
}

// Guards against unneeded traffic between data centres, which is billed.
it('placement: prefers the local data centre while it has free slots', () => {
  const near = createCandidate('near', {running: 5}, {isSameDataCentre: true});
  expect(choose(0, createCandidate('far'), near)).to.equal('near');
});

// Guards against a queue in the local data centre while others have free slots.
it('placement: prefers free slots elsewhere to a local queue', () => {
  const full = {running: 10, waiting: 10};
  const near = createCandidate('near', full, {isSameDataCentre: true});
  expect(choose(0, createCandidate('far'), near)).to.equal('far');
  expect(choose(400_000, createCandidate('far'), near)).to.equal('near');
});

// Guards against a burst from one sender that all goes to the same node, because
// the load report of that node does not yet include it.
it('placement: counts requests sent since the last report', () => {
  const busy = createCandidate('busy', {}, {sentSinceReport: 30});
  expect(choose(0, busy, createCandidate('other'))).to.equal('other');
});

// Guards against new requests to draining or failing nodes while others are
// available, and against refusing requests when there are no others.
it('placement: uses draining and failing nodes last', () => {
  const leaving = createCandidate('leaving', {isDraining: true});
  const failing = createCandidate('failing', {}, {avoidedUntilMs: 500});
  const queued = createCandidate('queued', {running: 10, waiting: 5});
  expect(choose(0, leaving, failing, queued)).to.equal('queued');
  expect(choose(0, leaving, failing)).to.equal('failing');
  expect(choose(0, leaving)).to.equal('leaving');
  expect(choose(0, createCandidate('down', {isAvailable: false}))).to.equal(
    undefined,
  );
});

/** Sends a burst of many origins between two load reports. */
function countBurst(
  origins: number,
  candidates: readonly PlacementCandidate[],
): Map<string, number> {
  const random = createRandom(7);
  const counts = new Map<string, number>();
  for (let origin = 0; origin < origins; origin += 1) {
    const placement = {bodyBytes: 0, nowMs: 1, random};
    const node = choosePlacement(candidates, placement)?.node ?? '';
    counts.set(node, (counts.get(node) ?? 0) + 1);
  }
  return counts;
}

// Guards against all origins that choose the same of several equal nodes until
// its next report.
it('placement: many origins spread over nearly equal nodes', () => {
  const nodes = ['a', 'b', 'c', 'd'].map((node, index) =>
    createCandidate(node, {}, {observedMs: 100 + 2 * index}),
  );
  const slow = createCandidate('slow', {}, {observedMs: 130});
  const counts = countBurst(400, [...nodes, slow]);
  expect(Math.max(...counts.values())).to.be.below(150);
  expect(counts.get('slow')).to.equal(undefined);
});

// Guards against the next request of each origin going to an upstream that has
// just started, because nobody has measured it and it seems fast.
it('placement: a node without samples is taken for a usual one', () => {
  const known = ['a', 'b', 'c'].map((node) =>
    createCandidate(node, {}, {observedMs: 200}),
  );
  const started = createCandidate('started', {meanServiceMs: 0});
  const counts = countBurst(400, [...known, started]);
  expect(counts.get('started')).to.be.within(50, 150);
});
