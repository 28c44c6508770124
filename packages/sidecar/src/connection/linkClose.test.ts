import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {expect} from 'chai';
import {Packr} from 'msgpackr';
import {SendEnd} from 'sycamoreyoke/request/resend';
import type {CallResult} from '../types.js';
import type {TestLink, TestNode} from './linkHarness.test.js';
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
import type {Frame} from './frame.js';
import {FRAME_REVISION, FrameKind} from './frame.js';
import {encodeFrame} from './peerFrames.js';

const LARGE_BYTES = 8 * 1024 * 1024;
const CLOSE_MS = 5_000;
/** At this rate, 8 MB take half a second. */
const SLOW_BYTES_PER_MS = 16 * 1024;
const UNKNOWN_KIND = 99;

describe('link close', () => {
  let cleanups: Array<() => void> = [];

  afterEach(() => {
    for (const cleanup of cleanups) cleanup();
    cleanups = [];
  });

  async function start(node = 'peer'): Promise<TestNode> {
    const opened = await openNode(node);
    cleanups.push(() => void opened.server.close(0));
    return opened;
  }

  async function dial(address: TestNode['address']): Promise<TestLink> {
    const opened = await openLink(address);
    cleanups.push(() => opened.stop());
    return opened;
  }

  async function dialSlowly(address: TestNode['address']): Promise<TestLink> {
    const proxy = await openSlowProxy(address, SLOW_BYTES_PER_MS);
    cleanups.push(() => proxy.server.close());
    return dial(proxy.address);
  }

  /** Sends calls and waits until the node has received them. */
  async function sendCalls(
    node: TestNode,
    link: TestLink,
    count: number,
  ): Promise<Array<Promise<CallResult>>> {
    const sending = Array.from({length: count}, (_, index) =>
      sendCall(link, createCall(`call-${index}`)),
    );
    await waitFor(() => node.received.length === count);
    return sending;
  }

  function readEnds(results: readonly CallResult[]): SendEnd[] {
    return results.map(({end}) => end);
  }

  /** Collects the frames that arrive on a socket. */
  function collectFrames(socket: Socket): Frame[] {
    const frames: Frame[] = [];
    const reader = createFrameReader((frame) => frames.push(frame));
    socket.on('data', (chunk) => reader.add(chunk));
    socket.on('error', () => undefined);
    return frames;
  }

  // Guards against results that are lost in the buffer of a closing socket.
  it('large results reach a slow reader', async () => {
    const node = await start();
    const link = await dialSlowly(node.address);
    const sending = await sendCalls(node, link, 2);
    for (const {call, settle} of node.received) {
      settle(createResponse(call.requestId, LARGE_BYTES));
    }
    await node.server.close(CLOSE_MS);
    const results = await Promise.all(sending);
    expect(results.map(({body}) => body.length)).to.deep.equal([
      LARGE_BYTES,
      LARGE_BYTES,
    ]);
    expect(results.map(({headers}) => headers[1])).to.deep.equal([
      'call-0',
      'call-1',
    ]);
  });

  // Guards against treating a call that the node never read as possibly run.
  it('call that crosses the close has not run', async () => {
    const node = await start();
    const link = await dial(node.address);
    const crossing = sendCall(link, createCall('crossing'));
    await node.server.close(CLOSE_MS);
    expect((await crossing).end).to.equal(SendEnd.REFUSED_BY_GATE);
    expect(node.received).to.have.length(0);
    expect(link.closings).to.deep.equal([1]);
  });

  // Guards against unread frames that turn the close into a reset, which
  // discards the results still on their way.
  it('unread frames do not discard results', async () => {
    const node = await start();
    const link = await dialSlowly(node.address);
    const sending = await sendCalls(node, link, 1);
    node.received[0]?.settle(createResponse('call-0', LARGE_BYTES / 4));
    link.link.write({kind: FrameKind.PING, report: REPORT});
    const crossing = sendCall(link, createCall('crossing'));
    await node.server.close(CLOSE_MS);
    const results = await Promise.all([...sending, crossing]);
    expect(readEnds(results)).to.deep.equal([
      SendEnd.RESPONSE,
      SendEnd.REFUSED_BY_GATE,
    ]);
  });

  // Guards against a close that does not wait for running calls, and against
  // calls that start during the close.
  it('running call ends, later ones are refused', async () => {
    const node = await start();
    const link = await dial(node.address);
    const sending = await sendCalls(node, link, 1);
    const closing = node.server.close(CLOSE_MS);
    const later = await sendCall(link, createCall('later'));
    expect(later.end).to.equal(SendEnd.REFUSED_BY_GATE);
    node.received[0]?.settle(createResponse('call-0'));
    expect((await sending[0])?.end).to.equal(SendEnd.RESPONSE);
    await closing;
    expect(node.received).to.have.length(1);
  });

  // Guards against reporting a running call as not run, so that it is resent.
  it('call that outlasts the close may have run', async () => {
    const node = await start();
    const link = await dial(node.address);
    const sending = await sendCalls(node, link, 1);
    const crossing = sendCall(link, createCall('crossing'));
    await node.server.close(0);
    const results = await Promise.all([...sending, crossing]);
    expect(results[0]?.end).to.equal(SendEnd.LOST);
    expect(node.received[0]?.isCancelled).to.equal(true);
  });

  // Guards against treating a call that never reached the upstream as possibly
  // run.
  it('call that waits at the gate at the end has not run', async () => {
    const node = await start();
    const link = await dial(node.address);
    const sending = await sendCalls(node, link, 2);
    for (const entry of node.received.slice(1)) entry.isWaiting = true;
    await node.server.close(0);
    expect(readEnds(await Promise.all(sending))).to.deep.equal([
      SendEnd.LOST,
      SendEnd.REFUSED_BY_GATE,
    ]);
    expect(node.received[1]?.isCancelled).to.equal(true);
  });

  // Guards against a process that exceeds its grace time because a peer reads
  // the results slowly.
  it('close ends within its time limit', async () => {
    const node = await start();
    const link = await dialSlowly(node.address);
    void (await sendCalls(node, link, 1));
    node.received[0]?.settle(createResponse('call-0', 4 * LARGE_BYTES));
    const startedMs = performance.now();
    await node.server.close(200);
    expect(performance.now() - startedMs).to.be.within(150, 1_000);
  });

  // Guards against losing calls when both ends of a link stop at the same time.
  it('two nodes that stop at the same time lose nothing', async () => {
    const first = await start('first');
    const second = await start('second');
    const toFirst = await dial(first.address);
    const toSecond = await dial(second.address);
    const sending = await sendCalls(first, toFirst, 2);
    sending.push(...(await sendCalls(second, toSecond, 2)));
    const crossing = [toFirst, toSecond].map((link) =>
      sendCall(link, createCall('crossing')),
    );
    for (const {call, settle} of [...first.received, ...second.received]) {
      settle(createResponse(call.requestId, LARGE_BYTES / 4));
    }
    await Promise.all([
      first.server.close(CLOSE_MS),
      second.server.close(CLOSE_MS),
    ]);
    const answered = readEnds(await Promise.all(sending));
    const refused = readEnds(await Promise.all(crossing));
    expect(answered).to.deep.equal(answered.map(() => SendEnd.RESPONSE));
    expect(refused).to.deep.equal(refused.map(() => SendEnd.REFUSED_BY_GATE));
  });

  // Guards against a node that cannot exit because a peer never closes its
  // side.
  it('silent peer does not delay the close', async () => {
    const node = await start();
    const socket = connect({...node.address, allowHalfOpen: true});
    cleanups.push(() => socket.destroy());
    await waitFor(() => socket.readyState === 'open');
    const startedMs = performance.now();
    await node.server.close(CLOSE_MS);
    expect(performance.now() - startedMs).to.be.lessThan(CLOSE_MS / 2);
  });

  // Guards against resending calls whose link has ended without GOODBYE, as
  // they may have run.
  it('end without a goodbye leaves calls unknown', async () => {
    const peer = await openRawServer((socket) => {
      const node = createNode('peer', {host: HOST, port: 1});
      socket.on('error', () => undefined);
      socket.on('data', () => undefined);
      socket.write(
        encodeFrame({
          kind: FrameKind.HELLO,
          node,
          report: REPORT,
          revision: FRAME_REVISION,
        }),
      );
      setTimeout(() => socket.end(), 100);
    });
    cleanups.push(() => peer.server.close());
    const link = await dial(peer.address);
    const result = await sendCall(link, createCall('unknown'));
    expect(result.end).to.equal(SendEnd.LOST);
    expect(link.closings).to.deep.equal([]);
  });

  // Guards against sending nodes of the previous version a frame that they
  // treat as a fault, and against leaving their calls unanswered.
  it('node of the previous version gets refusals and no goodbye', async () => {
    const node = await start();
    const socket = connect(node.address);
    cleanups.push(() => socket.destroy());
    const frames = collectFrames(socket);
    const hello = encodeFrame({
      kind: FrameKind.HELLO,
      node: createNode('origin', {host: HOST, port: 1}),
      report: REPORT,
      revision: FRAME_REVISION,
    });
    const packr = new Packr({useRecords: false});
    const fields = packr.unpack(hello.subarray(4)) as unknown[];
    const earlier = packr.pack(fields.slice(0, 3));
    const length = Buffer.alloc(4);
    length.writeUInt32BE(earlier.length);
    socket.write(Buffer.concat([length, earlier]));
    await waitFor(() => frames.length === 1);
    const closing = node.server.close(CLOSE_MS);
    const call = createCall('crossing');
    socket.write(
      encodeFrame({kind: FrameKind.CALL, sentMs: undefined, id: 7, call}),
    );
    await closing;
    await waitFor(() => socket.destroyed);
    expect(frames.map(({kind}) => kind)).to.deep.equal([
      FrameKind.HELLO,
      FrameKind.REPORT,
      FrameKind.RESULT,
    ]);
    const [, report, refused] = frames;
    expect(report).to.have.nested.property('report.load.isAvailable', false);
    expect(refused).to.deep.include({id: 7});
    expect(refused).to.have.nested.property(
      'result.end',
      SendEnd.REFUSED_BY_GATE,
    );
  });

  // Guards against a rolling upgrade in which a frame of the newer version
  // makes nodes of the older one end their links.
  it('unknown kind of frame is ignored', () => {
    const frames: Frame[] = [];
    const reader = createFrameReader((frame) => frames.push(frame));
    const content = new Packr({useRecords: false}).pack([UNKNOWN_KIND, 'x']);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    reader.add(Buffer.concat([length, content]));
    reader.add(encodeFrame({kind: FrameKind.GET_NODES}));
    expect(frames).to.deep.equal([{kind: FrameKind.GET_NODES}]);
  });
});
