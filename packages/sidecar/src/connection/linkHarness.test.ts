/** Parts of links for tests: nodes on real sockets, with a scripted gate. */
import type {AddressInfo, Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import {systemClock} from '@sycamoreyoke/node/process/systemClock';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {Importance} from 'sycamoreyoke/types';
import type {
  Address,
  CallResult,
  NodeRecord,
  NodeReport,
  OutgoingCall,
  ResultHandler,
} from '../types.js';
import {ByteBudget} from './byteBudget.js';
import type {Frame} from './peerFrames.js';
import {FrameReader} from './frameReader.js';
import type {LinkEvents} from './peerLink.js';
import {PeerLink} from './peerLink.js';
import {PeerServer} from './peerServer.js';

export const HOST = '127.0.0.1';
const TICK_MS = 50;
const POLL_MS = 5;
const WAIT_MS = 10_000;

export const REPORT: NodeReport = {
  configurationVersion: 0,
  load: {
    isAvailable: true,
    isDraining: false,
    limit: 10,
    running: 0,
    waiting: 0,
    meanServiceMs: 1,
  },
};

/** A call that a node took in, and the way to end it. */
export interface TakenCall {
  readonly call: OutgoingCall;
  readonly settle: ResultHandler;
  isCancelled: boolean;
  /** Whether it waits at the gate. */
  isWaiting: boolean;
}

/** A server of links whose calls wait until the test ends them. */
export interface TestNode {
  readonly server: PeerServer;
  readonly address: Address;
  readonly taken: TakenCall[];
  readonly faults: string[];
}

/** A link with what it told its task. */
export interface TestLink {
  readonly link: PeerLink;
  readonly closings: number[];
  stop(): void;
}

/** A budget that no test uses up. */
export function createFrameBudget(): ByteBudget<FrameReader> {
  return new ByteBudget(Infinity);
}

export function createFrameReader(handle: (frame: Frame) => void): FrameReader {
  const budget = createFrameBudget();
  return new FrameReader({handle, budget, handleExcess: () => undefined});
}

export function createNode(node: string, address: Address): NodeRecord {
  return {
    node,
    incarnation: `${node}-1`,
    service: 'booking',
    dataCentre: 'oviedo',
    address,
  };
}

export function createCall(requestId: string, bodyBytes = 0): OutgoingCall {
  return {
    requestId,
    service: 'booking',
    callerService: 'tracking',
    kind: 'book',
    method: 'POST',
    path: '/book/1',
    headers: [],
    body: Buffer.alloc(bodyBytes, requestId),
    leftMs: 5_000,
    usefulMs: 5_000,
    importance: Importance.CRITICAL,
    isIdempotent: false,
  };
}

/** A response that names its request. */
export function createResponse(requestId: string, bodyBytes = 0): CallResult {
  return {
    end: SendEnd.RESPONSE,
    reason: undefined,
    retryAfterMs: 0,
    status: 200,
    headers: ['request', requestId],
    body: Buffer.alloc(bodyBytes, requestId),
  };
}

/** Opens a server at a free port. */
export async function openNode(node: string): Promise<TestNode> {
  const address = {host: HOST, port: await findFreePort()};
  const taken: TakenCall[] = [];
  const faults: string[] = [];
  const server = new PeerServer({
    describeSelf: () => ({node: createNode(node, address), report: REPORT}),
    offer: (call, settle) => {
      const entry: TakenCall = {
        call,
        settle,
        isCancelled: false,
        isWaiting: false,
      };
      taken.push(entry);
      return {
        cancel: () => void (entry.isCancelled = true),
        isWaiting: () => entry.isWaiting,
      };
    },
    handleHello: () => undefined,
    handlePeerVersion: () => undefined,
    handleConfiguration: () => undefined,
    listSuspects: () => [],
    handleSuspects: () => undefined,
    readConfiguration: () => undefined,
    listNodes: () => [],
    handleFault: (message) => faults.push(message),
    frameBudget: createFrameBudget(),
  });
  await server.listen(address.host, address.port);
  return {server, address, taken, faults};
}

/** Dials a node and waits until it may be called. */
export async function openLink(address: Address): Promise<TestLink> {
  const closings: number[] = [];
  const self = createNode('origin', {host: HOST, port: 1});
  const events: LinkEvents = {
    describeSelf: () => ({node: self, report: REPORT}),
    handleReport: () => undefined,
    handleHello: () => undefined,
    handleFrame: () => undefined,
    handleUp: () => undefined,
    handleDown: () => undefined,
    handleSilence: () => undefined,
    handleClosing: (_link, calls) => closings.push(calls),
  };
  const node = createNode('peer', address);
  const link = new PeerLink(node, systemClock, events, createFrameBudget());
  const timer = setInterval(() => link.tick(), TICK_MS);
  const stop = () => {
    clearInterval(timer);
    link.stop();
  };
  await waitFor(() => link.isOpen());
  return {link, closings, stop};
}

/** Sends a call and gives its result. */
export function sendCall(
  {link}: Pick<TestLink, 'link'>,
  call: OutgoingCall,
): Promise<CallResult> {
  return new Promise((resolve) => link.send(call, resolve));
}

/** Passes bytes on to an address; those towards the caller at a bounded rate. */
export async function openSlowProxy(
  target: Address,
  bytesPerMs: number,
): Promise<{address: Address; server: Server}> {
  const address = {host: HOST, port: await findFreePort()};
  const server = createServer((near) => {
    const far = connect(target);
    near.pipe(far);
    far.on('data', (chunk) => {
      near.write(chunk);
      far.pause();
      setTimeout(() => far.resume(), chunk.length / bytesPerMs);
    });
    far.on('end', () => near.end());
    far.on('error', () => near.resetAndDestroy());
    near.on('error', () => far.resetAndDestroy());
  });
  await listen(server, address.port);
  return {address, server};
}

/** Listens at a free port with the test's own handler of sockets. */
export async function openRawServer(
  handle: (socket: Socket) => void,
): Promise<{address: Address; server: Server}> {
  const server = createServer({allowHalfOpen: true}, handle);
  const port = await listen(server, 0);
  return {address: {host: HOST, port}, server};
}

/** Waits for a state; the limit only ends a test that would hang. */
export async function waitFor(isReached: () => boolean): Promise<void> {
  const endMs = performance.now() + WAIT_MS;
  while (!isReached()) {
    if (performance.now() > endMs)
      throw new Error(`never: ${isReached.toString()}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

async function findFreePort(): Promise<number> {
  const server = createServer();
  const port = await listen(server, 0);
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Listens and gives the port. */
export function listen(server: Server, port: number): Promise<number> {
  return new Promise((resolve) => {
    server.listen(port, HOST, () =>
      resolve((server.address() as AddressInfo).port),
    );
  });
}
