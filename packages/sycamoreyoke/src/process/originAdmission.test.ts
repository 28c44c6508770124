import {expect} from 'chai';
import {createRandom} from '../random.js';
import {Importance} from '../types.js';
import {OriginAdmission} from './originAdmission.js';
import type {DeepService, LoadResult, Tree} from './treeLoad.test.js';
import {
  BOOKING_KINDS,
  FAULT_END_MS,
  FAULT_START_MS,
  LOAD_END_MS,
  REJECTING_SERVICE,
  SHORT_SERVICE,
  computeServedShare,
  isFaulty,
  runLoad,
} from './treeLoad.test.js';

const SEEDS = [1, 2, 3, 4, 5];
/** Time within which the evidence of a fault is there. */
const DETECTION_MS = 1_500;
const BOOKING = {route: 'booking', importance: Importance.CRITICAL};
const PAGE = {route: 'page', importance: Importance.NORMAL};

function runSeeds(deep: DeepService, refusesAtOrigin: boolean) {
  return SEEDS.map((seed) =>
    runLoad({deep, seed, refusesAtOrigin, kinds: BOOKING_KINDS}),
  );
}

function listFaultTrees(results: readonly LoadResult[]): readonly Tree[] {
  return results.flatMap(({trees}) =>
    trees.filter(
      ({arrivedMs}) =>
        isFaulty(arrivedMs) && arrivedMs > FAULT_START_MS + DETECTION_MS,
    ),
  );
}

function countFailed(trees: readonly Tree[]): number {
  return trees.filter(
    ({isServed, isRefusedAtOrigin}) => !isServed && !isRefusedAtOrigin,
  ).length;
}

// Guards against requests, bookings included, that are begun although their
// calls fail, and end with 500 after work at several services.
it('origin admission: refuses most of what would fail', () => {
  const begun = listFaultTrees(runSeeds(REJECTING_SERVICE, false));
  const refused = listFaultTrees(runSeeds(REJECTING_SERVICE, true));
  const isBooking = ({kind}: Tree) => kind.importance === Importance.CRITICAL;
  expect(countFailed(refused)).to.be.below(0.4 * countFailed(begun));
  expect(countFailed(refused.filter(isBooking))).to.be.below(
    0.4 * countFailed(begun.filter(isBooking)),
  );
});

// Guards against an origin that goes on refusing after the fault, since it sees
// only a few requests of a route.
for (const deep of [REJECTING_SERVICE, SHORT_SERVICE]) {
  const fault = deep === SHORT_SERVICE ? 'a shortage' : 'rejections';
  it(`origin admission: requests are begun again after ${fault}`, () => {
    for (const result of runSeeds(deep, true)) {
      const firstMs = FAULT_END_MS + 2_000;
      const before = computeServedShare(result, 1_000, FAULT_START_MS - 1_500);
      for (let ms = firstMs; ms < LOAD_END_MS - 1_500; ms += 1_000) {
        const share = computeServedShare(result, ms, ms + 1_000);
        expect(share).to.be.at.least(0.95 * before);
      }
    }
  });
}

// Guards against less important requests that are served while bookings are
// refused, and against refusals that cost the callers served requests.
it('origin admission: short capacity goes to bookings first', () => {
  const trees = listFaultTrees(runSeeds(SHORT_SERVICE, true));
  const shares = BOOKING_KINDS.map((kind) => {
    const ofKind = trees.filter((tree) => tree.kind === kind);
    return ofKind.filter(({isServed}) => isServed).length / ofKind.length;
  });
  const [booking = 0, ...others] = shares;
  for (const share of others) expect(booking).to.be.above(2 * share);
  const begun = listFaultTrees(runSeeds(SHORT_SERVICE, false));
  const countServed = (all: readonly Tree[]) =>
    all.filter(({isServed}) => isServed).length;
  expect(countServed(trees)).to.be.at.least(countServed(begun));
});

// Guards against throttling a route whose requests fail for their own reasons.
it('origin admission: a low rate of failures is not throttled', () => {
  const admission = new OriginAdmission();
  const random = createRandom(3);
  let refused = 0;
  for (let nowMs = 0; nowMs < 1_000_000; nowMs += 200) {
    if (!admission.admit(PAGE, nowMs)) refused += 1;
    const succeeded = random() >= 0.03;
    admission.observe({...PAGE, succeeded, startedMs: nowMs, nowMs});
  }
  expect(refused).to.be.below(50);
});

// Guards against refusing requests of a route that was never seen to fail.
it('origin admission: a route without evidence is not throttled', () => {
  const admission = new OriginAdmission();
  for (let nowMs = 0; nowMs < 2_000; nowMs += 100) {
    const result = {succeeded: false, startedMs: nowMs, nowMs};
    admission.observe({...PAGE, ...result});
  }
  expect(admission.listThrottled(2_000).map(({kind}) => kind)).to.eql(['page']);
  expect(admission.admit(BOOKING, 2_000)).to.equal(true);
});

// Guards against refusing bookings while less important requests that fail for
// the same reason are begun.
it('origin admission: the less important route is throttled first', () => {
  const admission = new OriginAdmission();
  const fail = (request: typeof PAGE, nowMs: number) =>
    admission.observe({...request, succeeded: false, startedMs: nowMs, nowMs});
  const listThrottled = () => admission.listThrottled(50).map(({kind}) => kind);
  fail(PAGE, 0);
  fail(BOOKING, 10);
  fail(BOOKING, 20);
  expect(listThrottled()).to.eql(['page']);
  fail(BOOKING, 30);
  fail(BOOKING, 40);
  fail(BOOKING, 50);
  expect(listThrottled()).to.have.members(['booking', 'page']);
});
