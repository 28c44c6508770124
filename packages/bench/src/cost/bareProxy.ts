/**
 * Minimal HTTP proxy, the baseline of the cost measurement. It uses the same
 * libraries as a node (node:http for the server, undici for the client) and
 * buffers whole bodies. Usage: `bareProxy.js PORT TARGET`. GET /cpu returns the
 * CPU time of the process in microseconds.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Pool} from 'undici';

const CONNECTIONS = 256;
const [port = '0', target = ''] = process.argv.slice(2);
const pool = new Pool(target, {connections: CONNECTIONS, pipelining: 1});

async function forwardRequest(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (request.url === '/cpu') {
    const {user, system} = process.cpuUsage();
    response.end(String(user + system));
    return;
  }
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const {connection, host, ...headers} = request.headers;
  void connection;
  void host;
  const result = await pool.request({
    path: request.url ?? '/',
    method: request.method ?? 'GET',
    headers: headers as Record<string, string>,
    body: chunks.length > 0 ? Buffer.concat(chunks) : null,
  });
  const body = Buffer.from(await result.body.arrayBuffer());
  response.writeHead(result.statusCode, {
    'content-type': result.headers['content-type'] ?? 'text/plain',
    'content-length': body.length,
  });
  response.end(body);
}

const server = createServer((request, response) => {
  forwardRequest(request, response).catch(() => response.destroy());
});
server.listen(Number(port), '127.0.0.1', () => {
  process.stdout.write('{"ready":true}\n');
});
process.once('SIGTERM', () => process.exit(0));
