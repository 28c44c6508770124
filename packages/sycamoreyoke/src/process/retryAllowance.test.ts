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
  for (let count = 0; count < REQUESTS; count += 1)
    allowance.recordFirstAttempt();
  return allowance;
}

// Guards against nodes that together exceed the budget of the fleet.
it('retry allowance: all nodes together stay within the budget', () => {
  const perNode = takeAll(Importance.CRITICAL);
  const fleetLimit = BUDGET.share * REQUESTS * NODES + BUDGET.slack;
  expect(perNode * NODES).to.be.at.most(fleetLimit);
  expect(perNode).to.be.greaterThan(0);
});

// Guards against normal requests that use up the retries of critical ones while
// the upstreams of a service refuse half of the requests.
it('retry allowance: reserves retries for critical requests', () => {
  const allowance = createAllowance();
  const normal = takeAll(Importance.NORMAL, allowance);
  expect(normal).to.be.greaterThan(0);
  expect(takeAll(Importance.CRITICAL, allowance)).to.be.greaterThan(0);
});

// Guards against a node that handles too few requests to be allowed a retry.
it('retry allowance: a node without traffic may retry', () => {
  const allowance = createRetryAllowance(
    new VirtualClock(),
    BUDGET,
    () => NODES,
  );
  expect(allowance.takeRetry(Importance.NORMAL, true)).to.equal(true);
});

// Guards against retries that multiply along a chain of services, each repeating
// requests that may already have run further down.
it('retry allowance: fewer retries for requests that may have run', () => {
  const refused = takeAll(Importance.CRITICAL);
  const lost = takeAll(Importance.CRITICAL, createAllowance(), true);
  expect(lost).to.be.at.most(0.6 * refused);
});

// Guards against a node that keeps the whole slack because it knew no other
// nodes when it started.
it('retry allowance: divides the slack by the number of nodes', () => {
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

// Guards against a budget change that takes effect only after a restart, or that
// resets the count of retries already made.
it('retry allowance: applies changed bounds at once', () => {
  const bounds = {...BUDGET};
  const allowance = createRetryAllowance(new VirtualClock(), bounds, () => 1);
  const before = takeAll(Importance.CRITICAL, allowance);
  bounds.slack *= 2;
  const after = takeAll(Importance.CRITICAL, allowance);
  expect(before + after).to.be.within(before + 1, bounds.slack);
  bounds.slack /= 2;
  expect(allowance.takeRetry(Importance.CRITICAL, false)).to.equal(false);
});
