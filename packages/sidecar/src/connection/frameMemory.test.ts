import {expect} from 'chai';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {GateReason} from '../types.js';
import {countBytes} from './bodyBytes.js';
import {
  REPORT,
  createCall,
  createHeldBytes,
  createResponse,
  openLink,
  openNode,
  sendCall,
  waitFor,
} from './linkHarness.test.js';
import type {Frame} from './frame.js';
import {FrameKind} from './frame.js';
import type {FrameHead} from './frameHead.js';
import {FrameReader} from './frameReader.js';
import {encodeFrame} from './peerFrames.js';

const MB = 1024 * 1024;
const LARGE_IDS = [1, 127, 128, 65_536, 2 ** 32, 2 ** 40];

/** Splits the bytes in pieces of a size. */
function splitBytes(bytes: Buffer, size: number): Buffer[] {
  return Array.from({length: Math.ceil(bytes.length / size)}, (_, index) =>
    bytes.subarray(index * size, (index + 1) * size),
  );
}

// Guards against a frame without memory that costs the link, or that is taken
// for another call.
it('frame memory: a frame that does not fit is skipped', () => {
  const frames: Frame[] = [];
  const skipped: FrameHead[] = [];
  const reader = new FrameReader({
    handle: (frame, release) => {
      frames.push(frame);
      release();
    },
    held: createHeldBytes(MB),
    handleSkipped: (head) => skipped.push(head),
  });
  for (const id of LARGE_IDS) {
    const call = createCall(`r-${id}`, 2 * MB);
    const result = createResponse(`r-${id}`, 2 * MB);
    const bytes = Buffer.concat([
      encodeFrame({kind: FrameKind.CALL, id, call, sentMs: 7}),
      encodeFrame({kind: FrameKind.CANCEL, id}),
      encodeFrame({kind: FrameKind.RESULT, id, result, report: REPORT}),
    ]);
    for (const piece of splitBytes(bytes, 10_007)) reader.add(piece);
  }
  const cancels = LARGE_IDS.map((id) => ({kind: FrameKind.CANCEL, id}));
  expect(frames).to.deep.equal(cancels);
  expect(skipped).to.deep.equal(
    LARGE_IDS.flatMap((id) => [
      {kind: FrameKind.CALL, id},
      {kind: FrameKind.RESULT, id},
    ]),
  );
});

// Guards against a body in pieces that arrives changed.
it('frame memory: a body in pieces is read as one', () => {
  const pieces = [1, 2, 3].map((value) => Buffer.alloc(100_000, value));
  const call = {...createCall('r'), body: pieces};
  const bodies: Buffer[] = [];
  const reader = new FrameReader({
    handle: (frame) => {
      if (frame.kind === FrameKind.CALL)
        bodies.push(Buffer.from(frame.call.body as Uint8Array));
    },
    held: createHeldBytes(),
    handleSkipped: () => undefined,
  });
  const bytes = encodeFrame({kind: FrameKind.CALL, id: 1, call, sentMs: 7});
  for (const piece of splitBytes(bytes, 65_536)) reader.add(piece);
  expect(
    bodies.map((body) => body.equals(Buffer.concat(pieces))),
  ).to.deep.equal([true]);
});

// Guards against a gate that takes more calls than its memory holds, against
// one that loses other calls then, and against bytes that stay reserved.
it('frame memory: a gate refuses what it cannot hold and keeps its link', async () => {
  const held = createHeldBytes(3 * MB);
  const node = await openNode('gate', held);
  const origin = await openLink(node.address);
  const first = sendCall(origin, createCall('first', 2 * MB));
  await waitFor(() => node.received.length === 1);
  const refused = await sendCall(origin, createCall('second', 2 * MB));
  expect(refused.end).to.equal(SendEnd.REFUSED_BY_GATE);
  expect(refused.reason).to.equal(GateReason.MEMORY_FULL);
  expect(held.countBytes()).to.be.above(2 * MB);
  node.received[0]?.settle(createResponse('first'));
  expect((await first).end).to.equal(SendEnd.RESPONSE);
  expect(held.countBytes()).to.equal(0);
  const third = sendCall(origin, createCall('third', 2 * MB));
  await waitFor(() => node.received.length === 2);
  const body = node.received[1]?.call.body ?? [];
  expect(countBytes(body)).to.equal(2 * MB);
  node.received[1]?.settle(createResponse('third'));
  expect((await third).end).to.equal(SendEnd.RESPONSE);
  expect(origin.losses).to.deep.equal([]);
  origin.stop();
  await node.server.close(0);
});
