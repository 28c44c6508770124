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
import type {Frame} from './peerFrames.js';
import {FRAME_REVISION, FrameKind, encodeFrame} from './peerFrames.js';

const LARGE_BYTES = 8 * 1024 * 1024;
const CLOSE_MS = 5_000;
/** 8 MB take half a second. */
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

  /** Sends calls and waits until the node has taken them. */
  async function sendCalls(
    node: TestNode,
    link: TestLink,
    count: number,
  ): Promise<Array<Promise<CallResult>>> {
    const sending = Array.from({length: count}, (_, index) =>
      sendCall(link, createCall(`call-${index}`)),
    );
    await waitFor(() => node.taken.length === count);
    return sending;
  }

  function readEnds(results: readonly CallResult[]): SendEnd[] {
    return results.map(({end}) => end);
  }

  /** Collects the frames of a socket until it ends. */
  function collectFrames(socket: Socket): Frame[] {
    const frames: Frame[] = [];
    const reader = createFrameReader((frame) => frames.push(frame));
    socket.on('data', (chunk) => reader.add(chunk));
    socket.on('error', () => undefined);
    return frames;
  }

  // Guards against results that are destroyed in the buffer of a closing socket.
  it('large results reach a slow reader', async () => {
    const node = await start();
    const link = await dialSlowly(node.address);
    const sending = await sendCalls(node, link, 2);
    for (const {call, settle} of node.taken) {
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

  // Guards against a call that nobody read and that counts as one that may run.
  it('call that crosses the close has not run', async () => {
    const node = await start();
    const link = await dial(node.address);
    const crossing = sendCall(link, createCall('crossing'));
    await node.server.close(CLOSE_MS);
    expect((await crossing).end).to.equal(SendEnd.REFUSED_BY_GATE);
    expect(node.taken).to.have.length(0);
    expect(link.closings).to.deep.equal([1]);
  });

  // Guards against a reset by unread frames, which discards results on their way.
  it('unread frames do not discard results', async () => {
    const node = await start();
    const link = await dialSlowly(node.address);
    const sending = await sendCalls(node, link, 1);
    node.taken[0]?.settle(createResponse('call-0', LARGE_BYTES / 4));
    link.link.write({kind: FrameKind.PING, report: REPORT});
    const crossing = sendCall(link, createCall('crossing'));
    await node.server.close(CLOSE_MS);
    const results = await Promise.all([...sending, crossing]);
    expect(readEnds(results)).to.deep.equal([
      SendEnd.RESPONSE,
      SendEnd.REFUSED_BY_GATE,
    ]);
  });

  // Guards against a close that does not wait for what runs, and against calls
  // that start meanwhile.
  it('running call ends, later ones are refused', async () => {
    const node = await start();
    const link = await dial(node.address);
    const sending = await sendCalls(node, link, 1);
    const closing = node.server.close(CLOSE_MS);
    const later = await sendCall(link, createCall('later'));
    expect(later.end).to.equal(SendEnd.REFUSED_BY_GATE);
    node.taken[0]?.settle(createResponse('call-0'));
    expect((await sending[0])?.end).to.equal(SendEnd.RESPONSE);
    await closing;
    expect(node.taken).to.have.length(1);
  });

  // Guards against a running call that is called not run and is sent again.
  it('call that outlasts the close may have run', async () => {
    const node = await start();
    const link = await dial(node.address);
    const sending = await sendCalls(node, link, 1);
    const crossing = sendCall(link, createCall('crossing'));
    await node.server.close(0);
    const results = await Promise.all([...sending, crossing]);
    expect(results[0]?.end).to.equal(SendEnd.LOST);
    expect(node.taken[0]?.isCancelled).to.equal(true);
  });

  // Guards against a call that the upstream has not seen and that counts as one
  // that may have run.
  it('call that waits at the gate at the end has not run', async () => {
    const node = await start();
    const link = await dial(node.address);
    const sending = await sendCalls(node, link, 2);
    for (const entry of node.taken.slice(1)) entry.isWaiting = true;
    await node.server.close(0);
    expect(readEnds(await Promise.all(sending))).to.deep.equal([
      SendEnd.LOST,
      SendEnd.REFUSED_BY_GATE,
    ]);
    expect(node.taken[1]?.isCancelled).to.equal(true);
  });

  // Guards against a process that outlives its grace time because a peer reads
  // its results slowly.
  it('close ends at its time', async () => {
    const node = await start();
    const link = await dialSlowly(node.address);
    void (await sendCalls(node, link, 1));
    node.taken[0]?.settle(createResponse('call-0', 4 * LARGE_BYTES));
    const startedMs = performance.now();
    await node.server.close(200);
    expect(performance.now() - startedMs).to.be.within(150, 1_000);
  });

  // Guards against calls that are lost when caller and called node stop at once.
  it('two nodes that stop at once lose nothing', async () => {
    const first = await start('first');
    const second = await start('second');
    const toFirst = await dial(first.address);
    const toSecond = await dial(second.address);
    const sending = await sendCalls(first, toFirst, 2);
    sending.push(...(await sendCalls(second, toSecond, 2)));
    const crossing = [toFirst, toSecond].map((link) =>
      sendCall(link, createCall('crossing')),
    );
    for (const {call, settle} of [...first.taken, ...second.taken]) {
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

  // Guards against a node that cannot exit because a peer never closes its side.
  it('silent peer does not hold the close', async () => {
    const node = await start();
    const socket = connect({...node.address, allowHalfOpen: true});
    cleanups.push(() => socket.destroy());
    await waitFor(() => socket.readyState === 'open');
    const startedMs = performance.now();
    await node.server.close(CLOSE_MS);
    expect(performance.now() - startedMs).to.be.lessThan(CLOSE_MS / 2);
  });

  // Guards against a link that ends without a word and whose calls are repeated.
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

  // Guards against a frame that nodes of the earlier version take for a fault,
  // and against calls of theirs that nobody answers.
  it('node of the earlier version gets refusals and no goodbye', async () => {
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
    socket.write(encodeFrame({kind: FrameKind.CALL, id: 7, call}));
    await closing;
    await waitFor(() => socket.destroyed);
    expect(frames.map(({kind}) => kind)).to.deep.equal([
      FrameKind.HELLO,
      FrameKind.REPORT,
      FrameKind.RESULT,
    ]);
    const [, told, refused] = frames;
    expect(told).to.have.nested.property('report.load.isAvailable', false);
    expect(refused).to.deep.include({id: 7});
    expect(refused).to.have.nested.property(
      'result.end',
      SendEnd.REFUSED_BY_GATE,
    );
  });

  // Guards against a rolling upgrade in which a frame of the newer version ends
  // the links of the older one.
  it('unknown kind of frame is passed over', () => {
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
