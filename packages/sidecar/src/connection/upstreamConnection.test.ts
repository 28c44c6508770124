import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:net';
import {expect} from 'chai';
import {systemClock} from '@sycamoreyoke/node/process/systemClock';
import {Completion} from 'sycamoreyoke/process/types';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {Importance} from 'sycamoreyoke/types';
import type {RunEnd} from '../request/upstreamRun.js';
import {UpstreamRun} from '../request/upstreamRun.js';
import type {OutgoingCall, WireProtocol} from '../types.js';
import {ExchangeEnd, ResponseOwner} from './upstreamConnection.js';
import {UpstreamPool} from './upstreamPool.js';

const RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole';
const REQUEST = {
  method: 'POST',
  path: '/book/1',
  headers: [],
  body: Buffer.from('b'),
  findOwner: () => ResponseOwner.THIS_REQUEST,
};

const CALL: OutgoingCall = {
  requestId: 'r-1',
  service: 'booking',
  callerService: 'tracking',
  kind: 'book',
  method: 'POST',
  path: '/book/1',
  headers: [],
  body: Buffer.from('b'),
  leftMs: 2_000,
  usefulMs: 2_000,
  importance: Importance.CRITICAL,
  isIdempotent: false,
};
/** A protocol whose responses are all those of the call. */
const WIRE: WireProtocol = {
  readClientHead: () => ({requestId: 'r-1', leftMs: undefined, headers: []}),
  buildUpstreamHeaders: () => [],
  readUpstreamHead: () => ({
    requestId: 'r-1',
    isSealed: true,
    isNotRun: false,
    isOtherInstance: false,
  }),
};

/** An upstream that answers each request and keeps its connections. */
async function openUpstream() {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => socket.destroy());
    socket.on('data', () => socket.write(RESPONSE));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const pool = new UpstreamPool(
    {host: '127.0.0.1', port},
    () => systemClock.readMs(),
    () => undefined,
  );
  const close = () => {
    pool.close();
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  return {pool, sockets, close};
}

// Guards against a request that counts as run although its connection had been
// reset before, and took no byte of it.
it('upstream connection: a write that is refused was not sent', async () => {
  const {pool, sockets, close} = await openUpstream();
  const first = await pool.take(Infinity).run(REQUEST);
  expect(first.end).to.equal(ExchangeEnd.RESPONSE);
  const kept = pool.take(Infinity);
  // The node has not read the reset yet when it writes.
  sockets[0]?.resetAndDestroy();
  const second = await kept.run(REQUEST);
  expect(second).to.include({end: ExchangeEnd.NOT_SENT, isRefused: false});
  close();
});

// Guards against a booking that fails with a connection that took no byte.
it('upstream run: what was not sent goes over a new connection', async () => {
  const {pool, sockets, close} = await openUpstream();
  const runOnce = () =>
    new Promise<RunEnd>((handle) =>
      new UpstreamRun({
        call: CALL,
        instance: 'i-1',
        deadlineMs: systemClock.readMs() + 2_000,
        readMs: () => systemClock.readMs(),
        wire: WIRE,
        pool,
        handle,
      }).start(),
    );
  await runOnce();
  sockets[0]?.resetAndDestroy();
  const {result, completion} = await runOnce();
  expect(result.status).to.equal(200);
  expect(completion).to.equal(Completion.SUCCEEDED);
  expect(sockets.length).to.equal(2);
  close();
});

// Guards against a request that is sent again although it may have run.
it('upstream connection: a reset after the write is a loss', async () => {
  const {pool, sockets, close} = await openUpstream();
  await pool.take(Infinity).run(REQUEST);
  const running = pool.take(Infinity).run(REQUEST);
  sockets[0]?.resetAndDestroy();
  expect((await running).end).to.equal(ExchangeEnd.LOST);
  close();
});

// Guards against an upstream that refuses connections and does not count as
// down.
it('upstream connection: a refused connection says so', async () => {
  const {pool, close} = await openUpstream();
  close();
  await new Promise((resolve) => setTimeout(resolve, 20));
  const result = await pool.take(Infinity).run(REQUEST);
  expect(result).to.include({end: ExchangeEnd.NOT_SENT, isRefused: true});
});

const REFUSAL = 'HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n';
const NAMED = 'HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 5\r\n\r\nwhole';

/** Runs two requests on one connection; the second gets what is given. */
async function runOnKept(
  isIdempotent: boolean,
  respond: (socket: Socket) => void,
): Promise<{end: RunEnd; connections: number}> {
  let requests = 0;
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    socket.on('error', () => socket.destroy());
    socket.on('data', () => {
      requests += 1;
      if (requests === 1) socket.write(NAMED);
      else respond(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const pool = new UpstreamPool(
    {host: '127.0.0.1', port},
    () => systemClock.readMs(),
    () => undefined,
  );
  const runOnce = () =>
    new Promise<RunEnd>((handle) =>
      new UpstreamRun({
        call: {...CALL, isIdempotent},
        instance: 'i-1',
        deadlineMs: systemClock.readMs() + 3_000,
        readMs: () => systemClock.readMs(),
        wire: {
          ...WIRE,
          readUpstreamHead: (status, headers) => ({
            requestId: headers[0] === 'X-Id' ? headers[1] : undefined,
            isSealed: true,
            isNotRun: status === 503,
            isOtherInstance: false,
          }),
        },
        pool,
        handle,
      }).start(),
    );
  await runOnce();
  const end = await runOnce();
  pool.close();
  server.close();
  return {end, connections};
}

// Guards against a booking that runs and is refused, because the refusal of an
// earlier request was written once more on its connection.
it('upstream run: a refusal on a kept connection may be an earlier one', async () => {
  const {end, connections} = await runOnKept(false, (socket) => {
    socket.write(REFUSAL);
    setTimeout(() => socket.write(NAMED), 100);
  });
  expect(connections).to.equal(1);
  expect([end.result.end, end.result.status]).to.deep.equal([
    SendEnd.RESPONSE,
    200,
  ]);
});

// Guards against a booking whose run was cut short and that is said not to have
// run.
it('upstream run: an unclear refusal alone leaves the outcome unknown', async () => {
  const {end} = await runOnKept(false, (socket) => socket.write(REFUSAL));
  expect(end.result.end).to.equal(SendEnd.LOST);
});

// Guards against repeatable requests that wait for a response for nothing.
it('upstream run: a repeatable request believes each refusal', async () => {
  const {end} = await runOnKept(true, (socket) => socket.write(REFUSAL));
  expect(end.result.end).to.equal(SendEnd.REFUSED_BY_UPSTREAM);
});
