import {expect} from 'chai';
import {Metrics} from './metrics.js';

// Guards against output that a Prometheus scraper rejects.
it('metrics: the text format has types, labels and quantiles', () => {
  const metrics = new Metrics();
  metrics.count('calls_total', {outcome: 'done'}, 2);
  metrics.count('calls_total', {outcome: 'say "no"\n'});
  metrics.watch('queue', () => 3);
  metrics.observe('call_seconds', 250);
  metrics.collect('account_requests_total', () => [
    {labels: {account: 'hotel'}, value: 7},
  ]);
  const lines = metrics.render().split('\n');
  expect(lines).to.include.members([
    '# TYPE calls_total counter',
    'calls_total{outcome="done"} 2',
    'calls_total{outcome="say \\"no\\"\\n"} 1',
    '# TYPE account_requests_total counter',
    'account_requests_total{account="hotel"} 7',
    '# TYPE queue gauge',
    'queue 3',
    '# TYPE call_seconds summary',
    'call_seconds_count 1',
    'call_seconds_sum 0.25',
  ]);
});
