import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {closeListener, getPort, openCallListener} from './listeners.js';

const ADDRESS = '127.0.0.1';
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
/** Larger than the buffers of both sockets together. */
const BODY = Buffer.alloc(16 * 1024 * 1024, 'b');
const WORK_MS = 200;

interface Received {
  bytes: number;
  text: string;
  isClosed: boolean;
  isReset: boolean;
}

function open(port: number): {socket: Socket; received: Received} {
  const socket = connect(port, ADDRESS);
  const received = {bytes: 0, text: '', isClosed: false, isReset: false};
  socket.on('data', (chunk: Buffer) => {
    received.bytes += chunk.length;
    received.text += chunk.toString('latin1').slice(0, 1_000);
  });
  socket.on('error', () => (received.isReset = true));
  socket.on('close', () => (received.isClosed = true));
  return {socket, received};
}

async function waitForClose(received: Received): Promise<void> {
  while (!received.isClosed) await wait(10);
}

// Guards against a shutdown that truncates a response which a slow client has
// not read yet.
it('listener: closing waits for a slow reader of a response', async () => {
  const server = await openCallListener(
    async (_request, response) => {
      response.end(BODY);
      await Promise.resolve();
    },
    0,
    ADDRESS,
  );
  const {socket, received} = open(getPort(server));
  socket.write(REQUEST);
  socket.pause();
  await wait(WORK_MS);
  const closing = closeListener(server);
  await wait(WORK_MS);
  socket.resume();
  await waitForClose(received);
  await closing;
  expect(received.isReset).to.equal(false);
  expect(received.bytes).to.be.greaterThan(BODY.length);
});

// Guards against a shutdown that drops pipelined requests behind the first one
// of a connection.
it('listener: closing waits for all requests of a connection', async () => {
  const server = await openCallListener(
    async (_request, response) => {
      await wait(WORK_MS);
      response.end('answer');
    },
    0,
    ADDRESS,
  );
  const {socket, received} = open(getPort(server));
  socket.write(REQUEST.repeat(3));
  await wait(WORK_MS / 2);
  const closing = closeListener(server);
  await waitForClose(received);
  await closing;
  expect(received.text.split('HTTP/1.1 200').length - 1).to.equal(3);
});

// Guards against a shutdown that never ends because a client does not read its
// response, or keeps an idle connection open.
it('listener: closing ends although clients stay connected', async () => {
  const server = await openCallListener(
    async (_request, response) => {
      response.end(BODY);
      await Promise.resolve();
    },
    0,
    ADDRESS,
  );
  const idleClient = open(getPort(server));
  const stalledClient = open(getPort(server));
  stalledClient.socket.write(REQUEST);
  stalledClient.socket.pause();
  await wait(WORK_MS);
  const startMs = performance.now();
  await closeListener(server, 1_000);
  expect(performance.now() - startMs).to.be.within(900, 3_000);
  idleClient.socket.destroy();
  stalledClient.socket.destroy();
});

// Guards against a shutdown that waits for idle connections instead of closing
// them at once.
it('listener: idle connections do not delay the closing', async () => {
  const server = await openCallListener(
    async (_request, response) => {
      response.end('answer');
      await Promise.resolve();
    },
    0,
    ADDRESS,
  );
  const {socket, received} = open(getPort(server));
  socket.write(REQUEST);
  await wait(WORK_MS);
  const startMs = performance.now();
  await closeListener(server);
  expect(performance.now() - startMs).to.be.lessThan(1_000);
  expect(received.text).to.contain('answer');
});
