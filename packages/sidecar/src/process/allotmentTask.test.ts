import {expect} from 'chai';
import {VirtualClock} from 'sycamoreyoke/clock';
import {EventCode} from 'sycamoreyoke/process/events';
import {Metrics} from 'sycamoreyoke/process/metrics';
import type {Account} from 'sycamoreyoke/version/accounts';
import {compileAccounts} from 'sycamoreyoke/version/accounts';
import type {RouteTable} from 'sycamoreyoke/version/routeTable';
import {HOST, createNode} from '../connection/linkHarness.test.js';
import type {Charge} from './allotmentTask.js';
import {AllotmentTask} from './allotmentTask.js';

const NODES = ['a', 'b', 'c'].map((name) =>
  createNode(name, {host: HOST, port: 1}),
);
const REQUEST = {
  requestId: 'r-1',
  route: {name: 'stock'},
  usefulUntilMs: Infinity,
  configurationVersion: 1,
};

function createAccount(ratePerS: number | undefined): Account {
  return {name: 'hotel', keys: ['k'], rank: undefined, ratePerS, burst: 4};
}

/** A task of node "a", alone if the other nodes are not listed. */
class Subject {
  readonly clock = new VirtualClock();
  readonly metrics = new Metrics();
  readonly events: Array<[EventCode, unknown]> = [];
  readonly sent: string[] = [];
  limitChanges = 0;
  account = createAccount(undefined);
  readonly task = new AllotmentTask({
    self: 'a',
    clock: this.clock,
    random: () => 0,
    record: (code, details) => this.events.push([code, details]),
    metrics: this.metrics,
    readTable: () =>
      ({accounts: compileAccounts([this.account])}) as RouteTable,
    readTolerance: () => undefined,
    countNodes: () => NODES.length,
    handleLimits: () => (this.limitChanges += 1),
    readPeers: () => ({
      isAskable: () => true,
      sendAsk: (node) => this.sent.push(node),
    }),
  });

  setRate(ratePerS: number | undefined): void {
    this.account = createAccount(ratePerS);
    this.task.handleConfiguration();
  }

  take(): Charge | undefined {
    let result: Charge | undefined;
    this.task.take(this.account, REQUEST, (charge) => (result = charge));
    return result;
  }
}

// Guards against links, messages and waits in a deployment that has no limits.
it('allotment task: without limits nothing is linked, sent or held', () => {
  const subject = new Subject();
  subject.setRate(undefined);
  expect(subject.task.chooseOwners(NODES).size).to.equal(0);
  expect(subject.take()?.isGranted).to.equal(true);
  expect([subject.limitChanges, subject.sent]).to.deep.equal([0, []]);
  subject.setRate(10);
  expect(subject.task.chooseOwners(NODES).size).to.equal(3);
  subject.setRate(undefined);
  expect(subject.task.chooseOwners(NODES).size).to.equal(0);
  expect(subject.limitChanges).to.equal(2);
  subject.task.stop();
});

// Guards against a refusal that nobody can explain, and against a request that
// is charged although it has not run.
it('allotment task: refusals are recorded, and a token is returned', () => {
  const subject = new Subject();
  subject.setRate(10);
  subject.task.chooseOwners([]);
  subject.clock.advance(10_000);
  const charges = Array.from({length: 3}, () => subject.take());
  expect(charges.map((charge) => charge?.isGranted)).to.deep.equal([
    true,
    true,
    undefined,
  ]);
  charges[0]?.release();
  expect(subject.metrics.render()).to.match(
    /allotment_requests_total{account="hotel",result="admitted"} 3/,
  );
  subject.account = {...subject.account, burst: 1};
  for (let count = 0; count < 9; count += 1) subject.take();
  const [code, details] = subject.events[0] ?? [];
  expect(code).to.equal(EventCode.REQUEST_OVER_ALLOTMENT);
  expect(details).to.include({account: 'hotel', cause: 'over-limit'});
  subject.task.stop();
});
