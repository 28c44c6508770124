import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {Importance} from '../types.js';
import {createRetryAllowance} from './retryAllowance.js';

const BUDGET = {share: 0.2, slack: 49};
const NODES = 17;
const REQUESTS = 1_000;

function takeAll(
  importance: Importance,
  allowance = createAllowance(),
  mayHaveRun = false,
) {
  let taken = 0;
  while (allowance.takeRetry(importance, mayHaveRun)) taken += 1;
  return taken;
}

function createAllowance() {
  const allowance = createRetryAllowance(
    new VirtualClock(),
    BUDGET,
    () => NODES,
  );
  for (let count = 0; count < REQUESTS; count += 1) allowance.recordFirst();
  return allowance;
}

// Guards against nodes that exceed the budget of the fleet between them.
it('retry allowance: all nodes together stay within the budget', () => {
  const perNode = takeAll(Importance.CRITICAL);
  const fleetLimit = BUDGET.share * REQUESTS * NODES + BUDGET.slack;
  expect(perNode * NODES).to.be.at.most(fleetLimit);
  expect(perNode).to.be.greaterThan(0);
});

// Guards against browsing that uses up the retries of bookings while the
// upstreams of a service refuse half of what they get.
it('retry allowance: bookings find room when browsing has used its part', () => {
  const allowance = createAllowance();
  const common = takeAll(Importance.NORMAL, allowance);
  expect(common).to.be.greaterThan(0);
  expect(takeAll(Importance.CRITICAL, allowance)).to.be.greaterThan(0);
});

// Guards against a node that sees few requests and may never retry.
it('retry allowance: a quiet node may retry', () => {
  const allowance = createRetryAllowance(
    new VirtualClock(),
    BUDGET,
    () => NODES,
  );
  expect(allowance.takeRetry(Importance.NORMAL, true)).to.equal(true);
});

// Guards against a chain of services in which each repeats what ran below it.
it('retry allowance: repeats of what may have run get less', () => {
  const refused = takeAll(Importance.CRITICAL);
  const lost = takeAll(Importance.CRITICAL, createAllowance(), true);
  expect(lost).to.be.at.most(0.6 * refused);
});

// Guards against a node that met no others yet and keeps the slack of all.
it('retry allowance: the slack follows the number of nodes', () => {
  let nodes = 1;
  const allowance = createRetryAllowance(
    new VirtualClock(),
    BUDGET,
    () => nodes,
  );
  nodes = NODES;
  const taken = takeAll(Importance.CRITICAL, allowance);
  expect(taken * NODES).to.be.at.most(BUDGET.slack);
});

// Guards against a changed budget that is used only after a restart, and
// against one that forgets what was taken under the old one.
it('retry allowance: changed bounds hold at once', () => {
  const bounds = {...BUDGET};
  const allowance = createRetryAllowance(new VirtualClock(), bounds, () => 1);
  const before = takeAll(Importance.CRITICAL, allowance);
  bounds.slack *= 2;
  const after = takeAll(Importance.CRITICAL, allowance);
  expect(before + after).to.be.within(before + 1, bounds.slack);
  bounds.slack /= 2;
  expect(allowance.takeRetry(Importance.CRITICAL, false)).to.equal(false);
});
