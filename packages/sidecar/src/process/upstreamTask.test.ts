import {createServer} from 'node:net';
import {systemClock} from '@sycamoreyoke/node/process/systemClock';
import {expect} from 'chai';
import {CallParents} from 'sycamoreyoke/process/callParents';
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
import type {CallResult} from '../types.js';
import type {CrashGuard} from './upstreamTask.js';
import {UpstreamTask} from './upstreamTask.js';

const LIMITS = {responses: Infinity, responseBody: Infinity};

/** Creates a task whose upstream listens at a port and announces one slot. */
function createTask(
  port: number,
  crashes: Partial<CrashGuard> = {},
): UpstreamTask {
  const task = new UpstreamTask({
    service: 'booking',
    drainMs: 1_000,
    clock: systemClock,
    wire: {
      readClientHead: () => {
        throw new Error('not called');
      },
      buildUpstreamHeaders: () => [],
      readUpstreamHead: () => {
        throw new Error('not called');
      },
      readStatusAnswer: () => {
        throw new Error('not called');
      },
    },
    presence: new UpstreamPresence(systemClock),
    status: {hasKnownPast: () => true, observeHeartbeat: () => undefined},
    callParents: new CallParents(),
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
    record: () => undefined,
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
