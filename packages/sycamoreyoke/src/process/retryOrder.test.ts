import {expect} from 'chai';
import type {Clock} from '../clock.js';
import {VirtualClock} from '../clock.js';
import {Importance} from '../types.js';
import type {FleetRetryBudget, RetryAllowance} from './retryAllowance.js';
import {createRetryAllowance} from './retryAllowance.js';
import {RetryBudget} from './retryBudget.js';
import {RetryOrder} from './retryOrder.js';
import type {LoadResult, Tree, TreeKind} from './treeLoad.test.js';
import {
  BOUNDS,
  KINDS,
  REJECTING_SERVICE,
  isFaulty,
  runLoad,
} from './treeLoad.test.js';

const SEEDS = [1, 2, 3, 4, 5];
const WINDOW_MS = 10_000;

/** Grants retries in the order of failure, with a part kept for CRITICAL. */
function createUnorderedAllowance(
  clock: Clock,
  bounds: FleetRetryBudget,
  countNodes: () => number,
): RetryAllowance {
  const [total, belowCritical] = [0.85, 0.55].map(
    (part) =>
      new RetryBudget(
        clock,
        () => bounds.share * part,
        () => Math.max(1, Math.floor((bounds.slack * part) / countNodes())),
      ),
  ) as [RetryBudget, RetryBudget];
  return {
    recordFirstAttempt: () => {
      total.recordFirstAttempt();
      belowCritical.recordFirstAttempt();
    },
    takeRetry: (importance) => {
      if (!total.hasRoom()) return false;
      const isCritical = importance === Importance.CRITICAL;
      return (isCritical || belowCritical.takeRetry()) && total.takeRetry();
    },
  };
}

const EQUAL_KINDS = KINDS.map((kind) => ({
  ...kind,
  importance: Importance.NORMAL,
}));

function runSeeds(
  createAllowance: typeof createRetryAllowance,
  kinds: readonly TreeKind[],
) {
  return SEEDS.map((seed) =>
    runLoad({
      deep: REJECTING_SERVICE,
      seed,
      kinds,
      createAllowance,
      downstreamHeadroom: Infinity,
    }),
  );
}

function countFinished(
  results: readonly LoadResult[],
  isCounted: (tree: Tree) => boolean = () => true,
): number {
  return results
    .flatMap(({trees}) => trees)
    .filter((tree) => tree.isServed && isFaulty(tree.arrivedMs))
    .filter(isCounted).length;
}

/** Highest number of retries in a window, as a part of the bound. */
function computeBoundUse({callsMs, retriesMs}: LoadResult): number {
  const uses = retriesMs.map((endMs) => {
    const countIn = (timesMs: readonly number[]) =>
      timesMs.filter((ms) => ms > endMs - WINDOW_MS && ms <= endMs).length;
    const retries = countIn(retriesMs);
    const requests = countIn(callsMs) - retries;
    return retries / (BOUNDS.share * requests + BOUNDS.slack);
  });
  return Math.max(...uses);
}

// Guards against retries for requests that are early in their work, which fail
// at a later call, while those near their end get none.
it('retry order: more trees finish with fewer retries', () => {
  const ordered = runSeeds(createRetryAllowance, EQUAL_KINDS);
  const unordered = runSeeds(createUnorderedAllowance, EQUAL_KINDS);
  expect(countFinished(ordered)).to.be.above(1.15 * countFinished(unordered));
  ordered.forEach(({retriesMs}, index) =>
    expect(retriesMs.length).to.be.at.most(
      unordered[index]?.retriesMs.length ?? 0,
    ),
  );
});

// Guards against retries that go to less important requests in the order of
// failure, and against exceeding the bound of the deployment.
it('retry order: important trees finish first, within the bound', () => {
  const ordered = runSeeds(createRetryAllowance, KINDS);
  const unordered = runSeeds(createUnorderedAllowance, KINDS);
  const isImportant = ({kind}: Tree) => kind === KINDS[0];
  expect(countFinished(ordered, isImportant)).to.be.above(
    1.3 * countFinished(unordered, isImportant),
  );
  expect(countFinished(ordered)).to.be.at.least(countFinished(unordered));
  for (const result of ordered) {
    expect(computeBoundUse(result)).to.be.at.most(1);
  }
});

// Guards against an early request that takes a scarce retry, and against
// refusing it while there is no scarcity.
it('retry order: an early request gets a retry only without scarcity', () => {
  const early = {answeredCalls: 0, spentShare: 0.1};
  const late = {answeredCalls: 3, spentShare: 0.6};
  const clock = new VirtualClock();
  const order = new RetryOrder(clock);
  expect(order.admit(Importance.NORMAL, early, 5)).to.equal(true);
  for (let count = 0; count < 5; count += 1) {
    expect(order.admit(Importance.NORMAL, late, 5)).to.equal(true);
  }
  expect(order.admit(Importance.NORMAL, early, 5)).to.equal(false);
  expect(order.admit(Importance.NORMAL, undefined, 5)).to.equal(false);
  expect(order.admit(Importance.HIGH, early, 5)).to.equal(true);
  clock.advance(5_000);
  expect(order.admit(Importance.NORMAL, early, 5)).to.equal(true);
});
