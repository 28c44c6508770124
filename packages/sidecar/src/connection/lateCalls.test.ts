import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {expect} from 'chai';
import type {TestNode} from './linkHarness.test.js';
import {
  HOST,
  REPORT,
  createCall,
  createNode,
  openNode,
  waitFor,
} from './linkHarness.test.js';
import type {Frame} from './frame.js';
import {FRAME_REVISION, FrameKind} from './frame.js';
import {encodeFrame} from './peerFrames.js';

const LATE_MS = 700;

/** Dials a node as an origin of which the test writes the frames. */
async function dial({address}: TestNode): Promise<Socket> {
  const socket = connect(address);
  const frames: readonly Frame[] = [
    {
      kind: FrameKind.HELLO,
      node: createNode('origin', {host: HOST, port: 1}),
      report: REPORT,
      revision: FRAME_REVISION,
    },
    // By which the node compares the clocks.
    {kind: FrameKind.PING, report: REPORT, sentMs: performance.now()},
    createCallFrame(1, 'prompt', 0),
  ];
  for (const frame of frames) socket.write(encodeFrame(frame));
  await new Promise((resolve) => socket.once('data', resolve));
  return socket;
}

function createCallFrame(id: number, requestId: string, lateMs: number): Frame {
  const sentMs = performance.now() - lateMs;
  return {kind: FrameKind.CALL, id, call: createCall(requestId), sentMs};
}

// Guards against a call that waited on its link and runs after its deadline.
it('late call: the time on its way is taken off its deadline', async () => {
  const node = await openNode('peer');
  const socket = await dial(node);
  socket.write(encodeFrame(createCallFrame(2, 'late', LATE_MS)));
  await waitFor(() => node.received.length === 2);
  const [prompt, late] = node.received;
  expect(prompt?.call.leftMs).to.equal(createCall('prompt').leftMs);
  // The prompt call took a moment too, so the delay is not exact.
  const mostMs = createCall('late').leftMs - LATE_MS / 2;
  expect(late?.call.leftMs).to.be.below(mostMs);
  expect(late?.call.usefulMs).to.be.below(mostMs);
  socket.destroy();
  await node.server.close(0);
});

// Guards against a call that starts although its cancellation has arrived.
it('late call: its cancellation is read before it starts', async () => {
  const node = await openNode('peer');
  const socket = await dial(node);
  const frames: readonly Frame[] = [
    createCallFrame(2, 'late', LATE_MS),
    {kind: FrameKind.CANCEL, id: 2},
    createCallFrame(3, 'next', LATE_MS),
  ];
  socket.write(Buffer.concat(frames.map(encodeFrame)));
  await waitFor(() => node.received.length === 2);
  const ids = node.received.map(({call}) => call.requestId);
  expect(ids).to.deep.equal(['prompt', 'next']);
  socket.destroy();
  await node.server.close(0);
});
