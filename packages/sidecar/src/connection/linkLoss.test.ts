import type {Socket} from 'node:net';
import {expect} from 'chai';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {PING_MS} from '../constants.js';
import {
  HOST,
  REPORT,
  createCall,
  createFrameReader,
  createNode,
  createResponse,
  openLink,
  openNode,
  openRawServer,
  openSlowProxy,
  sendCall,
  waitFor,
} from './linkHarness.test.js';
import type {CallResult} from '../types.js';
import {GateReason} from '../types.js';
import {FRAME_REVISION, FrameKind, GOODBYE_REVISION} from './frame.js';
import {encodeFrame} from './peerFrames.js';
import {createFailure} from './callFailure.js';

const LARGE_BYTES = 8 * 1024 * 1024;
/** At this rate, 8 MB take longer than a link may be silent. */
const SLOW_BYTES_PER_MS = 3 * 1024;

/** Sends HELLO and reads nothing. */
function sendHello(socket: Socket, revision = FRAME_REVISION): void {
  socket.on('error', () => undefined);
  socket.write(
    encodeFrame({
      kind: FrameKind.HELLO,
      node: createNode('peer', {host: HOST, port: 1}),
      report: REPORT,
      revision,
    }),
  );
}

// Guards against treating a slow link as silent while a large result arrives.
it('link loss: slowly arriving result is not lost', async () => {
  const node = await openNode('peer');
  const proxy = await openSlowProxy(node.address, SLOW_BYTES_PER_MS);
  const link = await openLink(proxy.address);
  const sending = sendCall(link, createCall('large'));
  await waitFor(() => node.received.length === 1);
  node.received[0]?.settle(createResponse('large', LARGE_BYTES));
  const result = await sending;
  link.stop();
  proxy.server.close();
  await node.server.close(0);
  expect(result.end).to.equal(SendEnd.RESPONSE);
});

// Guards against calls that wait until their deadline although the node has
// ended the link, and against calls that are accepted but never sent. A node of
// this version cannot be asked later; linkResume has the others.
it('link loss: end of the node ends the link at once', async () => {
  let accepted: Socket | undefined;
  const peer = await openRawServer((socket) => {
    accepted = socket;
    sendHello(socket, GOODBYE_REVISION);
  });
  const link = await openLink(peer.address);
  const unsent = sendCall(link, createCall('unsent', 2 * LARGE_BYTES));
  accepted?.end();
  const startedMs = performance.now();
  const result = await unsent;
  const elapsedMs = performance.now() - startedMs;
  const later = await sendCall(link, createCall('later'));
  link.stop();
  accepted?.destroy();
  peer.server.close();
  expect(result.end).to.equal(SendEnd.LOST);
  expect(later.end).to.equal(SendEnd.REFUSED_BY_GATE);
  expect(elapsedMs).to.be.lessThan(PING_MS);
});

// Guards against treating a duplicate refusal as the result of the next call,
// which is running.
it('link loss: a result that is sent twice belongs to its own call', async () => {
  const ids: number[] = [];
  let accepted: Socket | undefined;
  const peer = await openRawServer((socket) => {
    accepted = socket;
    sendHello(socket);
    const reader = createFrameReader((frame) => {
      if (frame.kind === FrameKind.CALL) ids.push(frame.id);
    });
    socket.on('data', (chunk) => reader.add(chunk));
  });
  const send = (id: number, result: CallResult) =>
    accepted?.write(
      encodeFrame({kind: FrameKind.RESULT, id, result, report: REPORT}),
    );
  const refusal = createFailure(SendEnd.REFUSED_BY_GATE, GateReason.OVERLOADED);
  const link = await openLink(peer.address);
  const first = sendCall(link, createCall('first'));
  await waitFor(() => ids.length === 1);
  send(ids[0] ?? 0, refusal);
  const second = sendCall(link, createCall('second'));
  await waitFor(() => ids.length === 2);
  send(ids[0] ?? 0, refusal);
  send(ids[1] ?? 0, createResponse('second'));
  expect((await first).end).to.equal(SendEnd.REFUSED_BY_GATE);
  expect((await second).end).to.equal(SendEnd.RESPONSE);
  link.stop();
  accepted?.destroy();
  peer.server.close();
});
