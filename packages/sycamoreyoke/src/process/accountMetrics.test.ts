import {expect} from 'chai';
import {AccountMetrics, REST_LABEL} from './accountMetrics.js';

const LIMITS = {named: 3, tracked: 12};

function listAccounts(metrics: AccountMetrics): string[] {
  return [
    ...new Set(metrics.list().map(({labels}) => labels['account'] ?? '')),
  ];
}

function computeSum(metrics: AccountMetrics): number {
  return metrics.list().reduce((sum, {value}) => sum + value, 0);
}

// Guards against a series for each of 10,000 accounts, and against a large
// account without its own.
it('account metrics: the largest accounts and the rest', () => {
  const metrics = new AccountMetrics(LIMITS);
  for (let index = 0; index < 30_000; index += 1) {
    const small = `small-${index % 10_000}`;
    metrics.record(small, 'response', '', index);
    if (index % 10 < 4) metrics.record('hotel', 'response', '', index);
    if (index % 10 < 3) metrics.record('depot', 'not-run', 'overloaded', index);
  }
  const accounts = listAccounts(metrics);
  expect(accounts).to.have.length(LIMITS.named + 1);
  expect(accounts).to.include.members(['hotel', 'depot', REST_LABEL]);
  // Small accounts that replaced each other would take their counts along.
  expect(computeSum(metrics)).to.equal(51_000);
});

// Guards against refusals of several reasons in one number.
it('account metrics: separates answers and reasons', () => {
  const metrics = new AccountMetrics(LIMITS);
  metrics.record('hotel', 'response', '', 0);
  metrics.record('hotel', 'response', '', 0);
  metrics.record('hotel', 'not-run', 'overloaded', 0);
  metrics.record('hotel', 'not-run', 'deadline', 0);
  const rows = metrics.list().map(({labels, value}) => ({...labels, value}));
  const account = 'hotel';
  expect(rows).to.deep.equal([
    {account, answer: 'response', reason: '', value: 2},
    {account, answer: 'not-run', reason: 'overloaded', value: 1},
    {account, answer: 'not-run', reason: 'deadline', value: 1},
  ]);
});

// Guards against accounts that were large once and keep their series for good.
it('account metrics: a former large account gives up its series', () => {
  const metrics = new AccountMetrics(LIMITS);
  const send = (account: string, count: number, nowMs: number) => {
    for (let sent = 0; sent < count; sent += 1) {
      metrics.record(account, 'response', '', nowMs);
    }
  };
  for (const account of ['a', 'b', 'c']) send(account, 1_000, 0);
  send('d', 100, 0);
  expect(listAccounts(metrics)).to.deep.equal(['a', 'b', 'c', REST_LABEL]);
  // After ten half-lives, 1,000 requests weigh as much as one.
  send('d', 100, 600_000);
  expect(listAccounts(metrics)).to.include('d');
  // Long after, when weights have been scaled down.
  const laterMs = 100 * 24 * 3_600_000;
  for (const account of ['x', 'y', 'z']) send(account, 10, laterMs);
  expect(listAccounts(metrics)).to.have.members(['x', 'y', 'z', REST_LABEL]);
});
