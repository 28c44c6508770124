import {expect} from 'chai';
import {runPropagation} from './propagationHarness.test.js';

const NO_FAULTS = {
  members: 24,
  durationMs: 60_000,
  publishEveryMs: 2_000,
  operators: 1,
  lossShare: 0,
  faultShare: 0,
};

// Guards against a publish that takes too long to reach all nodes, and against
// too many reads of the table, in services of different sizes.
it('propagation: in force within 6 s at 24, 100, 1,000 members', async () => {
  for (const members of [24, 100, 1_000]) {
    const durationMs = members === 1_000 ? 20_000 : 60_000;
    const result = await runPropagation({
      ...NO_FAULTS,
      members,
      durationMs,
      seed: 1,
    });
    expect(result.checkedPublishes).to.be.above(5);
    expect(result.tableReadsPerSecond).to.be.below(4);
  }
});

const SEEDS = [11, 12, 13, 14, 15, 16];

// Guards against a node that reverts to an older version or misses a version
// when the table fails, messages are lost, and nodes restart or are cut off.
it('propagation: faults, restarts and stale peers never bring back a version', async () => {
  let conflicts = 0;
  for (const seed of SEEDS) {
    const result = await runPropagation({
      seed,
      members: 24,
      durationMs: 180_000,
      publishEveryMs: 3_000,
      operators: 3,
      lossShare: 0.05,
      faultShare: 0.05,
      outages: [
        [60_000, 85_000],
        [130_000, 134_000],
      ],
      restarts: [
        {atMs: 30_000, share: 0.1},
        {atMs: 66_000, share: 0.1},
        {atMs: 100_000, share: 0.1},
        {atMs: 131_000, share: 0.3},
      ],
      partitions: [
        {fromMs: 20_000, untilMs: 32_000, share: 0.2},
        {fromMs: 55_000, untilMs: 66_500, share: 0.3},
        {fromMs: 110_000, untilMs: 140_000, share: 0.2},
      ],
    });
    expect(result.notReady).to.equal(0);
    expect(result.readyRestarts).to.be.above(3);
    expect(result.checkedPublishes).to.be.above(20);
    conflicts += result.conflicts;
  }
  expect(conflicts).to.be.above(0);
});

// Guards against a service that depends on the publisher's announcement, which
// is missing if the publisher dies after the publish.
it('propagation: in force within 6 s without the announcement', async () => {
  const options = {...NO_FAULTS, seed: 2, isUnannounced: true};
  const result = await runPropagation(options);
  expect(result.checkedPublishes).to.be.above(20);
});
