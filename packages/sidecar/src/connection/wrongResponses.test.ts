import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:net';
import {systemClock} from '@sycamoreyoke/node/process/systemClock';
import {expect} from 'chai';
import {GateReason} from '../types.js';
import type {ExchangeResult} from './upstreamConnection.js';
import {ExchangeEnd, ResponseOwner} from './upstreamConnection.js';
import {UpstreamPool} from './upstreamPool.js';

const LIMITS = {
  responses: 1e6,
  responseBody: 1e6,
  frames: 1e6,
  clientOutput: 1e6,
  linkOutput: 1e6,
};
/** Larger than the buffers of both sockets, so that it is sent in parts. */
const LONG_BODY_BYTES = 32 * 1024 * 1024;
const PARTIAL = 'HTTP/1.1 200 OK\r\n\r\npart of the body';

/** Runs one request on an upstream that answers the first bytes of it. */
async function runOnce(
  bodyBytes: number,
  answer: (socket: Socket) => void,
): Promise<ExchangeResult> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => socket.destroy());
    socket.once('data', () => answer(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const pool = new UpstreamPool(
    {host: '127.0.0.1', port},
    () => systemClock.readMs(),
    () => undefined,
    LIMITS,
  );
  const result = await pool.take(Infinity).run({
    method: 'POST',
    path: '/upload/1',
    buildHeaders: () => [],
    body: Buffer.alloc(bodyBytes, 'b'),
    findOwner: () => ResponseOwner.THIS_REQUEST,
  });
  pool.close();
  server.close();
  for (const socket of sockets) socket.destroy();
  return result;
}

// Guards against waiting until the deadline for the answer behind a status that
// HTTP does not have, which was taken for an interim response.
for (const status of ['000', '001', '099', '101']) {
  for (const interim of ['', '100 Continue', '103 Early Hints']) {
    it(`wrong response: status ${status} after "${interim}"`, async () => {
      const before = interim === '' ? '' : `HTTP/1.1 ${interim}\r\n\r\n`;
      const head = `${before}HTTP/1.1 ${status} Odd\r\nContent-Length: 0\r\n\r\n`;
      const result = await runOnce(1, (socket) => socket.end(head));
      expect(result).to.include({
        end: ExchangeEnd.LOST,
        reason: GateReason.BAD_RESPONSE,
      });
    });
  }
}

// Guards against a part of an answer without a length that counts as the whole,
// if the upstream answers early and resets the connection during the upload.
it('wrong response: a reset during an upload ends no answer', async () => {
  const result = await runOnce(LONG_BODY_BYTES, (socket) => {
    socket.pause();
    socket.write(PARTIAL, () => socket.resetAndDestroy());
  });
  expect(result.end).to.equal(ExchangeEnd.LOST);
});

// Guards against the same if the upstream closes the connection, with bytes of
// the upload that it has not read.
it('wrong response: a close during an upload ends no answer', async () => {
  const result = await runOnce(LONG_BODY_BYTES, (socket) => {
    socket.pause();
    socket.write(PARTIAL, () => socket.destroy());
  });
  expect(result.end).to.equal(ExchangeEnd.LOST);
});
