/** Measures the framing of control messages and the memory of connections. */
import type {Socket} from 'node:net';
import {createServer, get, Agent} from 'node:http';
import type {ClientHttp2Session} from 'node:http2';
import {connect, createServer as createHttp2Server} from 'node:http2';
import {once} from 'node:events';
import type {AddressInfo, Server} from 'node:net';
import {createClient} from '@connectrpc/connect';
import {
  connectNodeAdapter,
  createConnectTransport,
} from '@connectrpc/connect-node';
import {ControlService} from '@sycamoreyoke/node/gen/sycamoreyoke/control/v1/control_pb';

const CALLS = 3_000;

/** Bytes of a call with empty messages in each direction, and its CPU time. */
export interface FramingCost {
  readonly requestBytes: number;
  readonly responseBytes: number;
  /** Client and server together. */
  readonly cpuMsPerCall: number;
}

/** Measures calls with empty messages over one warmed-up HTTP/2 connection. */

export async function measureFraming(): Promise<FramingCost> {
  const handler = connectNodeAdapter({
    routes: (router) => {
      router.service(ControlService, {announceVersion: () => ({})});
    },
  });
  const server = createHttp2Server(handler);
  const sockets: Socket[] = [];
  server.on('connection', (socket: Socket) => sockets.push(socket));
  const port = await startListening(server);
  const transport = createConnectTransport({
    baseUrl: `http://127.0.0.1:${port}`,
    httpVersion: '2',
  });
  const client = createClient(ControlService, transport);
  for (let call = 0; call < CALLS; call += 1) await client.announceVersion({});
  const [socket] = sockets;
  const before = [socket?.bytesRead ?? 0, socket?.bytesWritten ?? 0] as const;
  const cpuBefore = process.cpuUsage();
  for (let call = 0; call < CALLS; call += 1) await client.announceVersion({});
  const cpuUsage = process.cpuUsage(cpuBefore);
  const requestBytes = ((socket?.bytesRead ?? 0) - before[0]) / CALLS;
  const responseBytes = ((socket?.bytesWritten ?? 0) - before[1]) / CALLS;
  for (const open of sockets) open.destroy();
  server.close();
  const cpuMsPerCall = (cpuUsage.user + cpuUsage.system) / 1_000 / CALLS;
  return {requestBytes, responseBytes, cpuMsPerCall};
}

/**
 * Returns the growth of resident memory in bytes after opening this many
 * HTTP/1.1 connections, with both ends in this process.
 */
export async function measureHttp1Memory(count: number): Promise<number> {
  const server = createServer((_request, response) => response.end('ok'));
  const port = await startListening(server);
  const agent = new Agent({
    keepAlive: true,
    maxSockets: count,
    maxFreeSockets: count,
  });
  const before = readResidentBytes();
  const calls = Array.from({length: count}, async () => {
    const [response] = (await once(
      get({port, agent, host: '127.0.0.1'}),
      'response',
    )) as [NodeJS.ReadableStream];
    response.resume();
    await once(response, 'end');
  });
  await Promise.all(calls);
  const used = readResidentBytes() - before;
  agent.destroy();
  server.closeAllConnections();
  server.close();
  return used;
}

/** Like {@link measureHttp1Memory}, for HTTP/2 sessions. */
export async function measureHttp2Memory(count: number): Promise<number> {
  const server = createHttp2Server((_request, response) => response.end('ok'));
  const sockets: Socket[] = [];
  server.on('connection', (socket: Socket) => sockets.push(socket));
  const port = await startListening(server);
  const before = readResidentBytes();
  const sessions: ClientHttp2Session[] = [];
  for (let index = 0; index < count; index += 1) {
    const session = connect(`http://127.0.0.1:${port}`);
    sessions.push(session);
    const stream = session.request({':path': '/'});
    stream.resume();
    await once(stream, 'end');
  }
  const used = readResidentBytes() - before;
  for (const session of sessions) session.destroy();
  for (const socket of sockets) socket.destroy();
  server.close();
  return used;
}

function readResidentBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().rss;
}

async function startListening(server: Server): Promise<number> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}
