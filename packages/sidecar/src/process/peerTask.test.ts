import type {Socket} from 'node:net';
import {systemClock} from '@sycamoreyoke/node/process/systemClock';
import {expect} from 'chai';
import {LinkedProcesses} from 'sycamoreyoke/process/linkedProcesses';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {
  HOST,
  REPORT,
  createCall,
  createHeldBytes,
  createFrameReader,
  createNode,
  openRawServer,
  waitFor,
} from '../connection/linkHarness.test.js';
import {FRAME_REVISION, FrameKind} from '../connection/frame.js';
import {encodeFrame} from '../connection/peerFrames.js';
import type {CallResult} from '../types.js';
import {PeerTask} from './peerTask.js';

/** A node that sends HELLO, reads frames and answers none of them. */
interface SilentNode {
  readonly kinds: FrameKind[];
  readonly node: ReturnType<typeof createNode>;
  isLinkClosed(): boolean;
  close(): void;
}

async function openSilentNode(name = 'peer'): Promise<SilentNode> {
  const kinds: FrameKind[] = [];
  const sockets: Socket[] = [];
  const {address, server} = await openRawServer((socket) => {
    sockets.push(socket);
    const reader = createFrameReader(({kind}) => kinds.push(kind));
    socket.on('data', (chunk) => reader.add(chunk));
    socket.on('end', () => socket.end());
    socket.on('error', () => undefined);
    const node = createNode(name, address);
    const revision = FRAME_REVISION;
    socket.write(
      encodeFrame({kind: FrameKind.HELLO, node, report: REPORT, revision}),
    );
  });
  return {
    kinds,
    node: createNode(name, address),
    isLinkClosed: () => sockets.some((socket) => socket.destroyed),
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

function createTask(owners: readonly string[] = []): PeerTask {
  return new PeerTask({
    self: {...createNode('origin', {host: HOST, port: 1}), service: 'tracking'},
    clock: systemClock,
    random: () => 0,
    record: () => undefined,
    describeReport: () => REPORT,
    offerLocally: () => ({cancel: () => undefined}),
    handlePeerVersion: () => undefined,
    handleSilentLink: () => undefined,
    handleConfiguration: () => undefined,
    handleNode: () => undefined,
    handleReplacedNode: () => undefined,
    needsNodes: () => false,
    handleActivity: () => undefined,
    listSuspects: () => [],
    handleSuspects: () => undefined,
    linked: new LinkedProcesses(systemClock),
    listNotices: () => [],
    handleNotice: () => undefined,
    held: createHeldBytes(),
    chooseOwners: () => new Set(owners),
    handleGrant: () => undefined,
    handleOwnerLost: () => undefined,
    handleOwnerGone: () => undefined,
  });
}

/** Sends a call and removes its node from the list. */
async function retireWithCall(task: PeerTask, peer: SilentNode) {
  const results: CallResult[] = [];
  task.update([peer.node]);
  await waitFor(() => task.listLinkedServices().has('booking'));
  const chosen = task.choose('booking', 'book', 0, () => true);
  const pending = chosen?.send(createCall('call'), (result) =>
    results.push(result),
  );
  task.update([]);
  await waitFor(() => !task.listLinkedServices().has('booking'));
  return {results, pending};
}

// Guards against calls that wait until their deadline because a retired link is
// no longer pinged, so that its silence goes unnoticed.
it('peer task: retired link with calls is still pinged', async () => {
  const peer = await openSilentNode();
  const task = createTask();
  const {results} = await retireWithCall(task, peer);
  await waitFor(() => results.length === 1);
  task.stop();
  peer.close();
  expect(results[0]?.end).to.equal(SendEnd.LOST);
  expect(peer.kinds).to.include(FrameKind.PING);
});

// Guards against retired links that stay open forever after their last call.
it('peer task: retired link closes when its last call is cancelled', async () => {
  const peer = await openSilentNode();
  const task = createTask();
  const {pending} = await retireWithCall(task, peer);
  pending?.cancel();
  await waitFor(() => peer.isLinkClosed());
  task.stop();
  peer.close();
  expect(peer.kinds).to.include(FrameKind.CALL);
});

// Guards against links that are opened while the process is stopping.
it('peer task: stopped task opens no link', async () => {
  const peer = await openSilentNode();
  const task = createTask();
  task.stop();
  task.update([peer.node]);
  await new Promise((resolve) => setTimeout(resolve, 100));
  peer.close();
  expect(task.countOpen()).to.equal(0);
  expect(peer.kinds).to.deep.equal([]);
});

// Guards against owners of client accounts, which all nodes link, that get the
// calls of all nodes.
it('peer task: a node that is linked as an owner gets no calls', async () => {
  const names = Array.from({length: 14}, (_, index) => `peer-${index}`);
  const peers = await Promise.all(names.map((name) => openSilentNode(name)));
  const task = createTask(names);
  task.update(peers.map(({node}) => node));
  await waitFor(() => task.countOpen() === names.length);
  const candidates = new Set<string>();
  task.choose('booking', 'book', 0, (node) => {
    candidates.add(node);
    return true;
  });
  const areAskable = names.every((name) => task.isAskable(name));
  task.stop();
  for (const peer of peers) peer.close();
  // Ten of the service, and the successor.
  expect(candidates.size).to.be.within(10, 11);
  expect(areAskable).to.equal(true);
});
