/** Test helpers for links: nodes on real sockets, whose calls tests settle. */
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
import type {Frame} from './frame.js';
import {HeldBytes} from '../process/heldBytes.js';
import {FrameReader} from './frameReader.js';
import type {LinkEvents} from './linkEvents.js';
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

/** A call that a node has received, and the handler that settles it. */
export interface ReceivedCall {
  readonly call: OutgoingCall;
  readonly settle: ResultHandler;
  isCancelled: boolean;
  /** Whether the call waits at the gate. */
  isWaiting: boolean;
}

/** A link server whose calls stay pending until the test settles them. */
export interface TestNode {
  readonly server: PeerServer;
  readonly address: Address;
  readonly received: ReceivedCall[];
  readonly faults: string[];
}

/** A link with the counts passed to its handleClosing events. */
export interface TestLink {
  readonly link: PeerLink;
  readonly closings: number[];
  /** Messages of its handleDown events. */
  readonly losses: string[];
  /** Counts passed to its handleResume events. */
  readonly resumes: number[];
  /** Counts passed to its handleForgotten events. */
  readonly forgotten: number[];
  /** Stops pings, as in an origin that is suspended. */
  readonly stopTicks: () => void;
  readonly stop: () => void;
}

/** Creates a budget, by default an unlimited one. */
export function createHeldBytes(maxBytes = Infinity): HeldBytes {
  const limits = {maxBytes, largeBytes: maxBytes};
  return new HeldBytes(systemClock, limits);
}

export function createFrameReader(handle: (frame: Frame) => void): FrameReader {
  return new FrameReader({
    handle,
    held: createHeldBytes(),
    handleSkipped: () => undefined,
  });
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
    account: undefined,
  };
}

/** Creates a response with the request id in a header and in the body. */
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

/** Opens a node that listens for links at a free port. */
export async function openNode(
  node: string,
  held = createHeldBytes(),
): Promise<TestNode> {
  const address = {host: HOST, port: await findFreePort()};
  const received: ReceivedCall[] = [];
  const faults: string[] = [];
  const server = new PeerServer({
    clock: systemClock,
    findEarliestArrivalMs: () => systemClock.readMs(),
    maxOutputBytes: Infinity,
    describeSelf: () => ({node: createNode(node, address), report: REPORT}),
    offer: (call, settle) => {
      const entry: ReceivedCall = {
        call,
        settle,
        isCancelled: false,
        isWaiting: false,
      };
      received.push(entry);
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
    listNotices: () => [],
    handleNotice: () => undefined,
    answerTokens: (_node, {sequence}) => ({sequence, grants: [], unheard: []}),
    readConfiguration: () => undefined,
    listNodes: () => [],
    handleFault: (message) => faults.push(message),
    held,
  });
  await server.listen(address.host, address.port);
  return {server, address, received, faults};
}

/** Dials a node and waits until the link is open. */
export async function openLink(address: Address): Promise<TestLink> {
  const closings: number[] = [];
  const losses: string[] = [];
  const resumes: number[] = [];
  const forgotten: number[] = [];
  const self = createNode('origin', {host: HOST, port: 1});
  const events: LinkEvents = {
    describeSelf: () => ({node: self, report: REPORT}),
    handleActivity: () => undefined,
    handleReport: () => undefined,
    handleHello: () => undefined,
    handleFrame: () => undefined,
    handleUp: () => undefined,
    handleDown: (_link, message) => losses.push(message),
    handleSilentLink: () => undefined,
    handleResume: (_link, calls) => resumes.push(calls),
    handleRefused: () => undefined,
    needsRedial: () => false,
    handleForgotten: (_link, calls) => forgotten.push(calls),
    handleClosing: (_link, calls) => closings.push(calls),
  };
  const node = createNode('peer', address);
  const link = new PeerLink(node, systemClock, events, createHeldBytes());
  const timer = setInterval(() => link.tick(), TICK_MS);
  const stop = () => {
    clearInterval(timer);
    link.stop();
  };
  await waitFor(() => link.isOpen());
  const stopTicks = () => clearInterval(timer);
  return {link, closings, losses, resumes, forgotten, stopTicks, stop};
}

/** Sends a call and resolves with its result. */
export function sendCall(
  {link}: Pick<TestLink, 'link'>,
  call: OutgoingCall,
): Promise<CallResult> {
  return new Promise((resolve) => link.send(call, resolve));
}

/** Forwards bytes to an address; those towards the caller at a limited rate. */
export async function openSlowProxy(
  target: Address,
  bytesPerMs: number,
): Promise<{address: Address; server: Server}> {
  const address = {host: HOST, port: await findFreePort()};
  const server = createServer((clientSocket) => {
    const targetSocket = connect(target);
    clientSocket.pipe(targetSocket);
    targetSocket.on('data', (chunk) => {
      clientSocket.write(chunk);
      targetSocket.pause();
      setTimeout(() => targetSocket.resume(), chunk.length / bytesPerMs);
    });
    targetSocket.on('end', () => clientSocket.end());
    targetSocket.on('error', () => clientSocket.resetAndDestroy());
    clientSocket.on('error', () => targetSocket.resetAndDestroy());
  });
  await listen(server, address.port);
  return {address, server};
}

/** Listens at a free port and passes the accepted sockets to the test. */
export async function openRawServer(
  handle: (socket: Socket) => void,
): Promise<{address: Address; server: Server}> {
  const server = createServer({allowHalfOpen: true}, handle);
  const port = await listen(server, 0);
  return {address: {host: HOST, port}, server};
}

/** Waits until a condition holds; throws after WAIT_MS. */
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

/** Listens and resolves with the port. */
export function listen(server: Server, port: number): Promise<number> {
  return new Promise((resolve) => {
    server.listen(port, HOST, () =>
      resolve((server.address() as AddressInfo).port),
    );
  });
}
