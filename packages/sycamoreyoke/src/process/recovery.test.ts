import {expect} from 'chai';
import type {DeepService, LoadResult} from './treeLoad.test.js';
import {
  FAULT_END_MS,
  FAULT_START_MS,
  KINDS,
  LOAD_END_MS,
  REJECTING_SERVICE,
  SHORT_SERVICE,
  computeServedShare,
  countInFault,
  runLoad,
} from './treeLoad.test.js';

const SEEDS = [1, 2, 3, 4, 5];
const RECOVERY_MS = 2_000;
/** Requests that arrive later than this may outlast the load. */
const LAST_ARRIVAL_MS = LOAD_END_MS - 1_500;

function runSeeds(deep: DeepService, downstreamHeadroom?: number) {
  return SEEDS.map((seed) =>
    runLoad({
      deep,
      seed,
      ...(downstreamHeadroom === undefined ? {} : {downstreamHeadroom}),
    }),
  );
}

function computeShareBefore(result: LoadResult): number {
  return computeServedShare(result, 1_000, FAULT_START_MS - 1_500);
}

/** Served shares of the whole seconds after the time for recovery. */
function listSharesAfter(result: LoadResult): number[] {
  const shares: number[] = [];
  const firstMs = FAULT_END_MS + RECOVERY_MS;
  for (let fromMs = firstMs; fromMs < LAST_ARRIVAL_MS; fromMs += 1_000) {
    shares.push(computeServedShare(result, fromMs, fromMs + 1_000));
  }
  return shares;
}

function computeFaultShare(result: LoadResult): number {
  return computeServedShare(result, FAULT_START_MS + 2_000, FAULT_END_MS);
}

function countFaultCalls({callsMs}: LoadResult): number {
  return countInFault(callsMs);
}

// Guards against a throttle that stays nearly closed for seconds after a deep
// fault has ended, since a gate with few requests of a kind gets few samples.
it('recovery: the served share is back 2 s after rejections end', () => {
  for (const result of runSeeds(REJECTING_SERVICE)) {
    const before = computeShareBefore(result);
    for (const share of listSharesAfter(result)) {
      expect(share).to.be.at.least(0.95 * before);
    }
  }
});

// Guards against a kind with slow or few requests that is left behind.
it('recovery: each kind is back 2 s after rejections end', () => {
  for (const result of runSeeds(REJECTING_SERVICE)) {
    const fromMs = FAULT_END_MS + RECOVERY_MS;
    for (const kind of KINDS) {
      expect(
        computeServedShare(result, fromMs, LAST_ARRIVAL_MS, kind),
        kind.name,
      ).to.be.at.least(0.95);
    }
  }
});

// Guards against a throttle that no longer saves the work of requests that
// would fail, or that refuses the requests that would succeed.
it('recovery: most requests are refused while calls are rejected', () => {
  const open = runSeeds(REJECTING_SERVICE, Infinity);
  const throttled = runSeeds(REJECTING_SERVICE);
  const sum = (results: readonly LoadResult[], add: typeof countFaultCalls) =>
    results.map(add).reduce((total, count) => total + count);
  const callShare =
    sum(throttled, countFaultCalls) / sum(open, countFaultCalls);
  expect(callShare).to.be.below(0.55);
  const servedShare =
    sum(throttled, computeFaultShare) / sum(open, computeFaultShare);
  expect(servedShare).to.be.at.least(0.7 * callShare);
});

// Guards against a gate that opens faster than the capacity of the deep service
// allows, so that it collapses again and again.
it('recovery: short capacity is used without repeated collapse', () => {
  const throttled = runSeeds(SHORT_SERVICE);
  const open = runSeeds(SHORT_SERVICE, Infinity);
  throttled.forEach((result, index) => {
    const naive = computeFaultShare(open[index] as LoadResult);
    expect(computeFaultShare(result)).to.be.at.least(2 * naive);
    const before = computeShareBefore(result);
    for (const share of listSharesAfter(result)) {
      expect(share).to.be.at.least(0.95 * before);
    }
  });
});
