import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:net';
import {expect} from 'chai';
import {systemClock} from '@sycamoreyoke/node/process/systemClock';
import {Completion} from 'sycamoreyoke/process/types';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {Importance} from 'sycamoreyoke/types';
import type {RunEnd} from '../request/upstreamRun.js';
import {UpstreamRun} from '../request/upstreamRun.js';
import {UPSTREAM_CONNECT_TIMEOUT_MS} from '../constants.js';
import type {OutgoingCall, WireProtocol} from '../types.js';
import {ExchangeEnd, ResponseOwner} from './upstreamConnection.js';
import {UpstreamPool} from './upstreamPool.js';

const LIMITS = {responses: Infinity, responseBody: Infinity};
const RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole';
const REQUEST = {
  method: 'POST',
  path: '/book/1',
  buildHeaders: () => [],
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
  account: undefined,
};
/** A protocol in which every response belongs to CALL. */
const WIRE: WireProtocol = {
  readClientHead: () => ({
    requestId: 'r-1',
    leftMs: undefined,
    key: undefined,
    headers: [],
  }),
  buildUpstreamHeaders: () => [],
  readStatusAnswer: () => {
    throw new Error('not called');
  },
  readUpstreamHead: () => ({
    requestId: 'r-1',
    isSealed: true,
    isNotRun: false,
    isOtherInstance: false,
  }),
};

/** Opens an upstream that answers each request and keeps its connections. */
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
    LIMITS,
  );
  const close = () => {
    pool.close();
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  return {pool, sockets, close};
}

// Guards against treating a request as run although its connection was reset
// before any byte of it was sent.
it('upstream connection: a failed write was not sent', async () => {
  const {pool, sockets, close} = await openUpstream();
  const first = await pool.take(Infinity).run(REQUEST);
  expect(first.end).to.equal(ExchangeEnd.RESPONSE);
  const connection = pool.take(Infinity);
  // The node writes before it has noticed the reset.
  sockets[0]?.resetAndDestroy();
  const second = await connection.run(REQUEST);
  expect(second).to.include({end: ExchangeEnd.NOT_SENT, isRefused: false});
  close();
});

// Guards against an upstream that counts as down because the process itself
// was behind while it connected, so that all its requests are refused.
it('upstream connection: a late read is not a failed connect', async () => {
  const {pool, close} = await openUpstream();
  const exchange = pool.open().run(REQUEST);
  const endMs = performance.now() + UPSTREAM_CONNECT_TIMEOUT_MS + 50;
  // The socket connects in the tick before this one.
  process.nextTick(() => {
    while (performance.now() < endMs);
  });
  expect(await exchange).to.include({end: ExchangeEnd.RESPONSE});
  close();
});

// Guards against failing a request because a reused connection was reset before
// any byte of the request was sent.
it('upstream run: an unsent request goes over a new connection', async () => {
  const {pool, sockets, close} = await openUpstream();
  const runOnce = () =>
    new Promise<RunEnd>((handle) =>
      new UpstreamRun({
        call: CALL,
        instance: 'i-1',
        deadlineMs: systemClock.readMs() + 2_000,
        statedDeadlineMs: systemClock.readMs() + 2_000,
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

// Guards against a request that reaches the upstream after its deadline, since
// the connection was opened only then.
it('upstream run: nothing is sent after the deadline', async () => {
  const {pool, sockets, close} = await openUpstream();
  const received: Buffer[] = [];
  let nowMs = 0;
  const ending = new Promise<RunEnd>((handle) =>
    new UpstreamRun({
      call: CALL,
      instance: 'i-1',
      deadlineMs: 1_000,
      statedDeadlineMs: 1_000,
      readMs: () => nowMs,
      wire: WIRE,
      pool,
      handle,
    }).start(),
  );
  nowMs = 1_500;
  const {result} = await ending;
  sockets[0]?.on('data', (bytes) => received.push(bytes));
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(result.end).to.equal(SendEnd.REFUSED_BY_GATE);
  expect(received).to.deep.equal([]);
  close();
});

// Guards against resending a request that may have run.
it('upstream connection: a reset after the write is a loss', async () => {
  const {pool, sockets, close} = await openUpstream();
  await pool.take(Infinity).run(REQUEST);
  const running = pool.take(Infinity).run(REQUEST);
  sockets[0]?.resetAndDestroy();
  expect((await running).end).to.equal(ExchangeEnd.LOST);
  close();
});

// Guards against an upstream that refuses connections without counting as down.
it('upstream connection: a refused connection is reported', async () => {
  const {pool, close} = await openUpstream();
  close();
  await new Promise((resolve) => setTimeout(resolve, 20));
  const result = await pool.take(Infinity).run(REQUEST);
  expect(result).to.include({end: ExchangeEnd.NOT_SENT, isRefused: true});
});

const REFUSAL = 'HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n';
const NAMED = 'HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 5\r\n\r\nwhole';

/** Runs two requests on one connection; the second is answered by `respond`. */
async function runOnReused(
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
    LIMITS,
  );
  const runOnce = () =>
    new Promise<RunEnd>((handle) =>
      new UpstreamRun({
        call: {...CALL, isIdempotent},
        instance: 'i-1',
        deadlineMs: systemClock.readMs() + 3_000,
        statedDeadlineMs: systemClock.readMs() + 3_000,
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

// Guards against reporting a running request as refused because the refusal of
// an earlier request was sent again on its connection.
it('upstream run: a refusal on a reused connection may be an old one', async () => {
  const {end, connections} = await runOnReused(false, (socket) => {
    socket.write(REFUSAL);
    setTimeout(() => socket.write(NAMED), 100);
  });
  expect(connections).to.equal(1);
  expect([end.result.end, end.result.status]).to.deep.equal([
    SendEnd.RESPONSE,
    200,
  ]);
});

// Guards against reporting a request as not run although the refusal may belong
// to another request and this one was cut short.
it('upstream run: an ambiguous refusal leaves the outcome unknown', async () => {
  const {end} = await runOnReused(false, (socket) => socket.write(REFUSAL));
  expect(end.result.end).to.equal(SendEnd.LOST);
});

// Guards against idempotent requests that needlessly wait after a refusal.
it('upstream run: an idempotent request accepts each refusal', async () => {
  const {end} = await runOnReused(true, (socket) => socket.write(REFUSAL));
  expect(end.result.end).to.equal(SendEnd.REFUSED_BY_UPSTREAM);
});
