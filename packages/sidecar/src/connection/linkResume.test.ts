import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {expect} from 'chai';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {
  CLOSING_REFUSAL_MS,
  LINK_TICK_MS,
  PING_MS,
  PING_TIMEOUT_MS,
  REPLACE_MS,
  RESUME_WAIT_MS,
} from '../constants.js';
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
  sendCall,
  waitFor,
} from './linkHarness.test.js';
import type {Frame} from './frame.js';
import {
  FRAME_REVISION,
  FrameKind,
  GOODBYE_REVISION,
  INFERRED_ACCOUNT_REVISION,
  RESUME_REVISION,
} from './frame.js';
import type {CuttableProxy} from './cuttableProxy.test.js';
import {openCuttableProxy} from './cuttableProxy.test.js';
import {encodeFrame} from './peerFrames.js';

interface Trial {
  readonly node: TestNode;
  readonly proxy: CuttableProxy;
  readonly link: TestLink;
  readonly close: () => Promise<void>;
}

async function openTrial(): Promise<Trial> {
  const node = await openNode('peer');
  const proxy = await openCuttableProxy(node.address);
  const link = await openLink(proxy.address);
  const close = async () => {
    link.stop();
    proxy.server.close();
    proxy.cut();
    await node.server.close(0);
  };
  return {node, proxy, link, close};
}

/** Fields of the HELLO of a peer; the incarnation may differ by its starts. */
interface PeerHello {
  readonly revision?: number;
  readonly session?: string;
  readonly incarnation?: string;
  readonly epoch?: number;
}

function createHello({
  revision = FRAME_REVISION,
  session,
  incarnation = 'start-1',
  epoch,
}: PeerHello = {}): Frame {
  const node = {...createNode('peer', {host: HOST, port: 1}), incarnation};
  const report = REPORT;
  return {kind: FrameKind.HELLO, node, report, revision, session, epoch};
}

/** Opens a peer of which the test writes the frames behind its HELLO. */
async function openRawPeer(
  describeHello: (starts: number) => PeerHello = () => ({epoch: 1}),
) {
  const sockets: Socket[] = [];
  const frames: Frame[] = [];
  const {address, server} = await openRawServer((socket) => {
    sockets.push(socket);
    const reader = createFrameReader((frame) => frames.push(frame));
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk) => reader.add(chunk));
    socket.write(encodeFrame(createHello(describeHello(sockets.length))));
  });
  const close = () => {
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  return {address, server, sockets, frames, close};
}

// Guards against a result that is lost with its connection: the origin answers
// "unknown" for a booking that has run and ended well.
it('resume: a call that runs while its link is reset gets its result', async () => {
  const {node, proxy, link, close} = await openTrial();
  const sending = sendCall(link, createCall('r-1'));
  await waitFor(() => node.received.length === 1);
  for (let loss = 0; loss < 2; loss += 1) {
    proxy.cut();
    await waitFor(() => link.losses.length > loss && link.link.isOpen());
  }
  node.received[0]?.settle(createResponse('r-1', 9));
  const result = await sending;
  expect(result).to.deep.equal(createResponse('r-1', 9));
  expect(node.received).to.have.lengthOf(1);
  expect(node.received[0]?.isCancelled).to.equal(false);
  expect(link.resumes).to.deep.equal([1, 1]);
  await close();
});

// Guards against a result that was sent on a silent connection and forgotten.
it('resume: a result on a silent link is sent again', async () => {
  const {node, proxy, link, close} = await openTrial();
  const sending = sendCall(link, createCall('r-1'));
  await waitFor(() => node.received.length === 1);
  proxy.silence();
  node.received[0]?.settle(createResponse('r-1', 9));
  expect(await sending).to.deep.equal(createResponse('r-1', 9));
  expect(node.received).to.have.lengthOf(1);
  await close();
});

// Guards against calls that fail while their link is silent for seconds: a
// quick call shows long before a ping times out that something is wrong.
it('resume: a silent connection under an overdue call is replaced', async () => {
  const {node, proxy, link, close} = await openTrial();
  proxy.silence();
  const startedMs = performance.now();
  const sending = new Promise<CallResult>((resolve) =>
    link.link.send(createCall('r-1'), resolve, 20),
  );
  expect((await sending).end).to.equal(SendEnd.REFUSED_BY_GATE);
  expect(performance.now() - startedMs).to.be.lessThan(PING_TIMEOUT_MS);
  expect(node.received).to.deep.equal([]);
  expect(link.losses).to.deep.equal(['replaced a silent connection']);
  await close();
});

// Guards against replacing the connections of a node that is only behind: that
// costs both ends time when they have none.
it('resume: a slow connection that answers is kept', async () => {
  const {node, proxy, link, close} = await openTrial();
  proxy.setDelay(REPLACE_MS + LINK_TICK_MS + 100);
  const sending = new Promise<CallResult>((resolve) =>
    link.link.send(createCall('r-1'), resolve, 20),
  );
  await waitFor(() => node.received.length === 1);
  await new Promise((resolve) => setTimeout(resolve, 1_500));
  node.received[0]?.settle(createResponse('r-1'));
  expect((await sending).end).to.equal(SendEnd.RESPONSE);
  expect(link.losses).to.deep.equal([]);
  await close();
});

// Guards against calling a call unknown that its gate has never received.
it('resume: a call that has not arrived is refused as not run', async () => {
  const {node, proxy, link, close} = await openTrial();
  proxy.silence();
  const result = await sendCall(link, createCall('r-1'));
  expect(result.end).to.equal(SendEnd.REFUSED_BY_GATE);
  expect(node.received).to.deep.equal([]);
  await close();
});

// Guards against calls that run on although their client has left while the
// link was lost.
it('resume: a call that was cancelled meanwhile is cancelled', async () => {
  const {node, proxy, link, close} = await openTrial();
  const kept = sendCall(link, createCall('kept'));
  const cancelled = link.link.send(createCall('left'), () => undefined);
  await waitFor(() => node.received.length === 2);
  proxy.cut();
  await waitFor(() => link.losses.length === 1);
  cancelled.cancel();
  await waitFor(() => node.received[1]?.isCancelled === true);
  expect(node.received[0]?.isCancelled).to.equal(false);
  node.received[0]?.settle(createResponse('kept'));
  expect((await kept).end).to.equal(SendEnd.RESPONSE);
  await close();
});

// Guards against calls that wait for a process that has been restarted, and
// against taking its answers for those of the former process.
it('resume: calls of a restarted node are lost', async () => {
  const peer = await openRawPeer((starts) => ({
    incarnation: `start-${starts}`,
    epoch: 1,
  }));
  const link = await openLink(peer.address);
  const sending = sendCall(link, createCall('r-1'));
  await waitFor(() => peer.frames.some(({kind}) => kind === FrameKind.CALL));
  peer.sockets[0]?.resetAndDestroy();
  expect((await sending).end).to.equal(SendEnd.LOST);
  expect(peer.sockets).to.have.lengthOf(2);
  link.stop();
  peer.close();
});

// Guards against waiting for a node of a version that cannot be asked.
it('resume: calls to an earlier version are lost at once', async () => {
  const peer = await openRawPeer(() => ({revision: GOODBYE_REVISION}));
  const link = await openLink(peer.address);
  const sending = sendCall(link, createCall('r-1'));
  peer.sockets[0]?.resetAndDestroy();
  expect((await sending).end).to.equal(SendEnd.LOST);
  expect(peer.sockets).to.have.lengthOf(1);
  link.stop();
  peer.close();
});

// Guards against calls of an origin that is gone for good, which run on.
it('resume: calls of an origin that does not return are cancelled', async () => {
  const {node, link, close} = await openTrial();
  void sendCall(link, createCall('r-1'));
  await waitFor(() => node.received.length === 1);
  link.stop();
  await waitFor(() => node.received[0]?.isCancelled === true);
  await close();
});

// Guards against calls that wait for a process that has ended.
it('resume: calls are lost at once if nothing listens any more', async () => {
  const peer = await openRawPeer();
  const link = await openLink(peer.address);
  const sending = sendCall(link, createCall('r-1'));
  peer.server.close();
  const startedMs = performance.now();
  peer.sockets[0]?.end();
  expect((await sending).end).to.equal(SendEnd.LOST);
  expect(performance.now() - startedMs).to.be.lessThan(PING_MS);
  link.stop();
  peer.close();
});

// Guards against taking the GOODBYE of a stopping node for "not run" while it
// has not told yet what became of the calls of a lost connection.
it('resume: a goodbye before the answer leaves calls unknown', async () => {
  const peer = await openRawPeer();
  const link = await openLink(peer.address);
  const sending = sendCall(link, createCall('r-1'));
  await waitFor(() => peer.frames.some(({kind}) => kind === FrameKind.CALL));
  peer.sockets[0]?.resetAndDestroy();
  await waitFor(() => peer.frames.some(({kind}) => kind === FrameKind.RESUME));
  peer.sockets[1]?.write(encodeFrame({kind: FrameKind.GOODBYE}));
  expect((await sending).end).to.equal(SendEnd.LOST);
  link.stop();
  peer.close();
});

// Guards against giving up the calls of a connection that is only slow, because
// a stopping node accepts no other one.
it('resume: a refused replacement leaves the connection as it is', async () => {
  const peer = await openRawPeer();
  const link = await openLink(peer.address);
  const sending = new Promise<CallResult>((resolve) =>
    link.link.send(createCall('r-1'), resolve, 20),
  );
  peer.server.close();
  await waitFor(() => peer.frames.some(({kind}) => kind === FrameKind.PING));
  await new Promise((resolve) =>
    setTimeout(resolve, REPLACE_MS + 3 * LINK_TICK_MS),
  );
  const result = createResponse('r-1');
  const frame = {
    kind: FrameKind.RESULT,
    id: 1,
    result,
    report: REPORT,
  } as const;
  peer.sockets[0]?.write(encodeFrame(frame));
  expect((await sending).end).to.equal(SendEnd.RESPONSE);
  link.stop();
  peer.close();
});

// Guards against a stopping node that says goodbye, which means "not run", while
// it runs a call that was resumed on a link that is about to be closed.
it('resume: a closing link waits for the calls that it resumes', async () => {
  const node = await openNode('peer');
  const open = () => {
    const socket = connect(node.address);
    const frames: Frame[] = [];
    const reader = createFrameReader((frame) => frames.push(frame));
    socket.on('data', (chunk) => reader.add(chunk));
    return {socket, frames};
  };
  const first = open();
  const call = createCall('r-1');
  const callFrame = {
    kind: FrameKind.CALL,
    id: 1,
    call,
    sentMs: undefined,
  } as const;
  first.socket.write(encodeFrame(createHello({session: 's'})));
  first.socket.write(encodeFrame(callFrame));
  await waitFor(() => node.received.length === 1);
  first.socket.resetAndDestroy();
  const second = open();
  await new Promise((resolve) => second.socket.once('connect', resolve));
  await new Promise((resolve) => setTimeout(resolve, 20));
  const closing = node.server.close(5_000);
  second.socket.write(encodeFrame(createHello({session: 's'})));
  second.socket.write(encodeFrame({kind: FrameKind.RESUME, pendingIds: [1]}));
  await new Promise((resolve) => setTimeout(resolve, 2 * CLOSING_REFUSAL_MS));
  node.received[0]?.settle(createResponse('r-1'));
  await closing;
  const kinds = second.frames.map(({kind}) => kind);
  expect(kinds).to.include(FrameKind.RESULT);
  expect(kinds.indexOf(FrameKind.GOODBYE)).to.be.above(
    kinds.indexOf(FrameKind.RESULT),
  );
});

// Guards against a booking that runs twice: the gate forgets a session, opens it
// anew for a connection that is lost before the question, and then takes the
// calls of the former one for calls that never arrived.
for (const lostConnections of [0, 1, 2, 3]) {
  const title = `resume: a forgotten call is unknown after ${lostConnections} lost connections`;
  it(title, async () => {
    const {node, proxy, link, close} = await openTrial();
    const sending = sendCall(link, createCall('r-1'));
    await waitFor(() => node.received.length === 1);
    link.stopTicks();
    proxy.cutNode();
    await waitFor(() => node.received[0]?.isCancelled === true);
    proxy.resetNext(lostConnections);
    proxy.release();
    expect((await sending).end).to.equal(SendEnd.LOST);
    expect(link.forgotten).to.deep.equal([1]);
    await close();
  });
}

// Guards against a HELLO that the network has held back, and that opens a
// forgotten session anew before the origin asks.
it('resume: a call is unknown after a late hello has opened its session', async () => {
  const node = await openNode('peer');
  const open = async () => {
    const socket = connect(node.address);
    const frames: Frame[] = [];
    const reader = createFrameReader((frame) => frames.push(frame));
    socket.on('data', (chunk) => reader.add(chunk));
    socket.write(encodeFrame(createHello({session: 's'})));
    await waitFor(() => frames.length > 0);
    const [hello] = frames;
    return {socket, epoch: hello?.kind === FrameKind.HELLO && hello.epoch};
  };
  const first = await open();
  const call = createCall('r-1');
  const frame = {kind: FrameKind.CALL, id: 1, call, sentMs: undefined} as const;
  first.socket.write(encodeFrame(frame));
  await waitFor(() => node.received.length === 1);
  first.socket.resetAndDestroy();
  const resumed = await open();
  resumed.socket.resetAndDestroy();
  await waitFor(() => node.received[0]?.isCancelled === true);
  const late = await open();
  late.socket.resetAndDestroy();
  const last = await open();
  last.socket.destroy();
  await node.server.close(0);
  expect(resumed.epoch).to.equal(first.epoch);
  expect(late.epoch).to.not.equal(first.epoch);
  expect(last.epoch).to.equal(late.epoch);
});

// Guards against asking a gate that has forgotten the calls: its answer would be
// wrong.
it('resume: a node in another epoch is not asked', async () => {
  const peer = await openRawPeer((starts) => ({epoch: starts}));
  const link = await openLink(peer.address);
  const sending = sendCall(link, createCall('r-1'));
  await waitFor(() => peer.frames.some(({kind}) => kind === FrameKind.CALL));
  peer.sockets[0]?.resetAndDestroy();
  expect((await sending).end).to.equal(SendEnd.LOST);
  expect(peer.frames.map(({kind}) => kind)).to.not.include(FrameKind.RESUME);
  link.stop();
  peer.close();
});

// Guards against telling an origin of the version before, which does not know
// of epochs, that a call has not run.
it('resume: an origin without epochs is told that calls are unknown', async () => {
  const node = await openNode('peer');
  const socket = connect(node.address);
  const ends: SendEnd[] = [];
  const reader = createFrameReader((frame) => {
    if (frame.kind === FrameKind.RESULT) ends.push(frame.result.end);
  });
  socket.on('data', (chunk) => reader.add(chunk));
  const revision = RESUME_REVISION - 1;
  socket.write(encodeFrame(createHello({session: 's', revision})));
  socket.write(encodeFrame({kind: FrameKind.RESUME, pendingIds: [1]}));
  await waitFor(() => ends.length === 1);
  socket.destroy();
  await node.server.close(0);
  expect(ends).to.deep.equal([SendEnd.LOST]);
});

// Guards against a healthy call that ends as lost, because it was sent while
// the wait for the calls of a lost connection had not ended.
it('resume: a call on the next connection outlives the wait', async () => {
  const {node, proxy, link, close} = await openTrial();
  const cancelled = link.link.send(createCall('left'), () => undefined);
  await waitFor(() => node.received.length === 1);
  proxy.setDelay(100);
  proxy.cut();
  await waitFor(() => link.losses.length === 1);
  cancelled.cancel();
  await waitFor(() => link.link.isOpen());
  const sending = sendCall(link, createCall('next'));
  await waitFor(() => node.received.length === 2);
  await new Promise((resolve) => setTimeout(resolve, 1.2 * RESUME_WAIT_MS));
  node.received[1]?.settle(createResponse('next'));
  expect((await sending).end).to.equal(SendEnd.RESPONSE);
  await close();
});

// Guards against an earlier version of a node, which would tell its upstream
// the name of an account that was only inferred.
it('link: an earlier version gets no inferred account', async () => {
  const received: unknown[] = [];
  for (const revision of [INFERRED_ACCOUNT_REVISION - 1, FRAME_REVISION]) {
    const peer = await openRawPeer(() => ({revision}));
    const link = await openLink(peer.address);
    const call = {...createCall('r-1'), inferredAccount: 'hotel'};
    void sendCall(link, call);
    await waitFor(() => peer.frames.some(({kind}) => kind === FrameKind.CALL));
    const frame = peer.frames.find(({kind}) => kind === FrameKind.CALL);
    if (frame?.kind === FrameKind.CALL) received.push(frame.call);
    link.stop();
    peer.close();
  }
  const [earlier, current] = received;
  expect(earlier).to.include({account: undefined});
  expect(earlier).to.not.have.property('inferredAccount');
  expect(current).to.include({account: undefined, inferredAccount: 'hotel'});
});
