import {createServer} from 'node:net';
import {systemClock} from '@sycamoreyoke/node/process/systemClock';
import {expect} from 'chai';
import {CallParents} from 'sycamoreyoke/process/callParents';
import type {EventDetails, EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {GOODPUT_PARAMETERS} from 'sycamoreyoke/process/gateParameters';
import {UpstreamPresence} from 'sycamoreyoke/process/upstreamPresence';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {
  HOST,
  createCall,
  listen,
  waitFor,
} from '../connection/linkHarness.test.js';
import {UpstreamPool} from '../connection/upstreamPool.js';
import type {CallResult, OutgoingCall, WireProtocol} from '../types.js';
import type {CrashGuard} from './upstreamTask.js';
import {UpstreamTask} from './upstreamTask.js';

const LIMITS = {responses: Infinity, responseBody: Infinity};

/** Creates a task whose upstream listens at a port and announces one slot. */
function createTask(
  port: number,
  crashes: Partial<CrashGuard> = {},
  record: EventRecorder = () => undefined,
  buildUpstreamHeaders: WireProtocol['buildUpstreamHeaders'] = () => [],
): UpstreamTask {
  const task = new UpstreamTask({
    service: 'booking',
    drainMs: 1_000,
    clock: systemClock,
    wire: {
      readClientHead: () => {
        throw new Error('not called');
      },
      buildUpstreamHeaders,
      readUpstreamHead: () => {
        throw new Error('not called');
      },
      readStatusAnswer: () => {
        throw new Error('not called');
      },
    },
    presence: new UpstreamPresence(systemClock),
    status: {hasKnownPast: () => true, observeHeartbeat: () => undefined},
    callParents: new CallParents(0),
    hasAccounts: () => false,
    readLongestTimeoutMs: () => 0,
    pool: new UpstreamPool(
      {host: HOST, port},
      () => systemClock.readMs(),
      () => undefined,
      LIMITS,
    ),
    crashes: {
      check: () => ({isRefused: false, retryAfterMs: 0}),
      observeAnswer: () => undefined,
      observeRefusal: () => undefined,
      observeUnanswered: () => undefined,
      recordCrash: () => 0,
      recordPlannedEnd: () => undefined,
      ...crashes,
    },
    hasTimeToFinish: () => true,
    hasTimeToStart: () => true,
    parameters: GOODPUT_PARAMETERS,
    report: () => undefined,
    record,
    handleChange: () => undefined,
  });
  task.observeHeartbeat({
    instance: 'i-1',
    slots: 1,
    isDraining: false,
    coldMs: 0,
    sequence: 1,
    bornMs: 1,
  });
  return task;
}

// Guards against a running call that is reported as waiting, so that its sender
// believes it never reached the upstream, and against a waiting call that
// starts after it was cancelled.
it('upstream task: only queued calls are waiting', async () => {
  let connections = 0;
  const upstream = createServer(() => (connections += 1));
  const port = await listen(upstream, 0);
  const task = createTask(port);
  const results: CallResult[] = [];
  const offer = (requestId: string) =>
    task.offer({...createCall(requestId), leftMs: 200}, (result) =>
      results.push(result),
    );
  const running = offer('running');
  const waiting = offer('waiting');
  expect([running.isWaiting?.(), waiting.isWaiting?.()]).to.deep.equal([
    false,
    true,
  ]);
  waiting.cancel();
  expect(waiting.isWaiting?.()).to.equal(false);
  await new Promise((resolve) => setTimeout(resolve, 400));
  task.stop();
  upstream.close();
  expect(connections).to.equal(1);
  expect(results).to.have.length(1);
});

// Guards against suspecting a request whose connection was refused because
// another request had already crashed the upstream.
it('upstream task: a call that was not sent is not a suspect', async () => {
  const upstream = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      upstream.close();
      socket.destroy();
    });
  });
  const port = await listen(upstream, 0);
  const suspects: string[][] = [];
  const task = createTask(port, {
    recordCrash: (running) => {
      suspects.push(running.map(({requestId}) => requestId));
      return running.length;
    },
  });
  const ends: SendEnd[] = [];
  const offer = (requestId: string) =>
    task.offer(createCall(requestId), ({end}) => ends.push(end));
  offer('first');
  await waitFor(() => ends.length === 1);
  offer('second');
  await waitFor(() => ends.length === 2);
  expect(ends).to.deep.equal([SendEnd.LOST, SendEnd.REFUSED_BY_GATE]);
  expect(suspects.flat()).not.to.include('second');
  task.stop();
});

// Guards against a gate that ignores the account of a call, so that the backlog
// of one account delays another one, and against a refusal without the account.
it('upstream task: the gate shares capacity between accounts', async () => {
  const started: string[] = [];
  const upstream = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      started.push('');
      socket.destroy();
    });
  });
  const port = await listen(upstream, 0);
  const refusals: EventDetails[] = [];
  const task = createTask(port, {}, (code, details = {}) => {
    if (code === EventCode.GATE_REFUSED) refusals.push(details);
  });
  const ends: string[] = [];
  const offer = (requestId: string, account: string, leftMs: number) =>
    task.offer(
      {...createCall(requestId), account, leftMs, usefulMs: leftMs},
      () => ends.push(requestId),
    );
  offer('large-1', 'large', 3_000);
  offer('large-2', 'large', 3_000);
  offer('large-3', 'large', 3_000);
  offer('small-1', 'small', 3_500);
  await waitFor(() => ends.length === 4);
  expect(ends).to.deep.equal(['large-1', 'small-1', 'large-2', 'large-3']);
  task.offer({...createCall('x'), account: 'large', service: 'other'}, () =>
    ends.push('x'),
  );
  expect(refusals.at(-1)).to.include({
    account: 'large',
    accountWaiting: 0,
    waitingAccounts: 0,
  });
  expect(started).to.have.length(4);
  task.stop();
  upstream.close();
});

// Guards against a call whose account was only inferred and that tells the
// upstream its name, or that takes the turn of no account at the gate.
it('upstream task: an inferred account orders a call, unnamed', async () => {
  const names: unknown[] = [];
  const upstream = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.destroy());
  });
  const port = await listen(upstream, 0);
  const task = createTask(port, {}, undefined, ({requestId, account}) => {
    names.push([requestId, account]);
    return [];
  });
  const ends: string[] = [];
  const offer = (requestId: string, changes: Partial<OutgoingCall>) =>
    task.offer(
      {...createCall(requestId), leftMs: 3_000, usefulMs: 3_000, ...changes},
      () => ends.push(requestId),
    );
  offer('client-1', {account: 'large'});
  offer('client-2', {account: 'large'});
  offer('call-1', {inferredAccount: 'large'});
  offer('client-3', {account: 'small', leftMs: 3_500});
  await waitFor(() => ends.length === 4);
  expect(ends).to.deep.equal(['client-1', 'client-3', 'client-2', 'call-1']);
  expect(names).to.deep.include(['call-1', undefined]);
  expect(names).to.deep.include(['client-3', 'small']);
  task.stop();
  upstream.close();
});
