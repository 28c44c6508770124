import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {systemClock} from '@sycamoreyoke/node/process/systemClock';
import {expect} from 'chai';
import {PresenceChange} from 'sycamoreyoke/process/upstreamPresence';
import {HOST, waitFor} from '../connection/linkHarness.test.js';
import {UpstreamPool} from '../connection/upstreamPool.js';
import {StatusCheck} from './statusCheck.js';

const LIMITS = {responses: Infinity, responseBody: Infinity};
const HEARTBEAT = {
  instance: 'i-1',
  slots: 1,
  isDraining: false,
  coldMs: 0,
  sequence: 1,
  bornMs: 1,
};
const NOT_RUN = 299;

/** Opens an upstream that answers checks with a status. */
async function openUpstream(status: number) {
  const paths: string[] = [];
  const server = createServer((request, response) => {
    paths.push(`${request.method} ${request.url}`);
    response.writeHead(status, {'Content-Length': 0}).end();
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  return {server, port, paths};
}

function createCheck(port: number, {hasPath = true, instance = 'i-1'} = {}) {
  const start = {isComplete: false};
  const verdicts: unknown[] = [];
  const check = new StatusCheck({
    clock: systemClock,
    nodeStartedAtMs: 2,
    upstream: {host: HOST, port},
    wire: {
      readStatusAnswer: (status) => ({
        isServing: status === 200,
        isNotRun: status === NOT_RUN,
        instance,
      }),
    },
    pool: new UpstreamPool(
      {host: HOST, port},
      () => systemClock.readMs(),
      () => undefined,
      LIMITS,
    ),
    record: (_event, details) => verdicts.push(details?.verdict),
    isStarted: () => start.isComplete,
    readPath: () => (hasPath ? '/status' : undefined),
    handleChange: () => undefined,
  });
  return {check, start, verdicts};
}

// Guards against a check before peers had the time to tell the node, against
// one that is sent although a peer has, and against work without an answer.
it('status check: is sent once, when the node has started', async () => {
  const {server, port, paths} = await openUpstream(200);
  const {check, start, verdicts} = createCheck(port);
  check.observeHeartbeat(HEARTBEAT, PresenceChange.STARTED);
  expect(check.hasKnownPast()).to.equal(false);
  start.isComplete = true;
  check.run();
  check.run();
  await waitFor(() => verdicts.length === 1);
  expect(check.hasKnownPast()).to.equal(true);
  const told = createCheck(port);
  told.check.recordTold();
  told.start.isComplete = true;
  told.check.observeHeartbeat(HEARTBEAT, PresenceChange.STARTED);
  expect(told.check.hasKnownPast()).to.equal(true);
  expect(paths).to.deep.equal(['GET /status']);
  server.close();
});

// Guards against work for an upstream that leaves, that is another instance, or
// that was too busy to tell.
for (const [status, instance, verdict] of [
  [503, 'i-1', 'not-serving'],
  [200, 'i-2', 'not-serving'],
  [NOT_RUN, 'i-1', 'unknown'],
] as const) {
  it(`status check: ${status} of ${instance} is ${verdict}`, async () => {
    const {server, port} = await openUpstream(status);
    const {check, start, verdicts} = createCheck(port, {instance});
    start.isComplete = true;
    check.observeHeartbeat(HEARTBEAT, PresenceChange.STARTED);
    await waitFor(() => verdicts.length === 1);
    expect(verdicts).to.deep.equal([verdict]);
    expect(check.hasKnownPast()).to.equal(false);
    server.close();
  });
}

// Guards against a service without a check path that gets no work.
it('status check: without a path the heartbeat counts', () => {
  const {check, start} = createCheck(1, {hasPath: false});
  start.isComplete = true;
  check.observeHeartbeat(HEARTBEAT, PresenceChange.STARTED);
  expect(check.hasKnownPast()).to.equal(true);
});
