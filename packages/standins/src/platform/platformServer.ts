/** Stand-in for the platform: table service and object store over HTTP. */
import type {Server} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import express from 'express';
import type {Request, RequestHandler, Response} from 'express';
import type {TableTransaction} from 'sycamoreyoke/platform';
import {RateLimiter, switchesSchema} from './switches.js';
import {TableState} from './tableState.js';

const MAX_OBJECT_BYTES = '64mb';

/**
 * Starts the platform stand-in, with empty state in memory. Port 0 picks a free
 * port. Rejects when the server cannot listen.
 */
export async function startPlatform(
  port: number,
  address: string,
): Promise<Server> {
  const app = createPlatformApp();
  return new Promise((resolve, reject) => {
    const server = app.listen(port, address, (error?: Error) => {
      if (error) reject(error);
      else resolve(server);
    });
  });
}

function createPlatformApp() {
  const app = express();
  const table = new TableState(() => performance.now());
  const objects = new Map<string, Buffer>();
  const writeLimiter = new RateLimiter();
  const readLimiter = new RateLimiter();
  let switches = switchesSchema.parse({});

  const limitRate =
    (limiter: RateLimiter, isWrite: boolean): RequestHandler =>
    (_request, response, next) => {
      const perSecond = isWrite
        ? switches.writesPerSecond
        : switches.readsPerSecond;
      if (limiter.take(performance.now(), perSecond)) next();
      else response.status(429).json({message: 'rate limit exceeded'});
    };
  const applyFaults =
    (hasOutage: () => boolean): RequestHandler =>
    async (_request, response, next) => {
      if (switches.delayMs > 0) await wait(switches.delayMs);
      if (hasOutage()) response.status(503).json({message: 'outage'});
      else next();
    };
  const sendUnlessLost = (response: Response, body: unknown) => {
    if (Math.random() < switches.lostAnswers) response.destroy();
    else response.json(body);
  };

  app.post('/v1/switches', express.json(), (request: Request, response) => {
    const parsed = switchesSchema.partial().safeParse(request.body);
    if (!parsed.success) {
      response.status(400).json({message: parsed.error.message});
      return;
    }
    const changes = request.body as object;
    switches = switchesSchema.parse({...switches, ...changes});
    response.json(switches);
  });
  app.get('/v1/switches', (_request, response) => {
    response.json(switches);
  });

  app.use(
    '/v1/table',
    applyFaults(() => switches.tableOutage),
  );
  app.get(
    '/v1/table/rows',
    limitRate(readLimiter, false),
    (request, response) => {
      const {prefix, after, limit} = request.query as Record<string, string>;
      response.json({
        rows: table.list(prefix ?? '', after ?? '', Number(limit ?? 100)),
      });
    },
  );
  app.get(
    '/v1/table/rows/:key',
    limitRate(readLimiter, false),
    (request: Request<{key: string}>, response) => {
      const row = table.read(request.params.key);
      if (row) response.json(row);
      else response.status(404).json({message: 'no such row'});
    },
  );
  app.post(
    '/v1/table/transactions',
    limitRate(writeLimiter, true),
    express.json({limit: '4mb'}),
    (request, response) => {
      sendUnlessLost(response, table.run(request.body as TableTransaction));
    },
  );

  app.use(
    '/v1/objects',
    applyFaults(() => switches.objectStoreOutage),
  );
  app.get('/v1/objects', limitRate(readLimiter, false), (request, response) => {
    const {prefix} = request.query as Record<string, string>;
    const names = [...objects.keys()].filter((name) =>
      name.startsWith(prefix ?? ''),
    );
    response.json({names: names.sort()});
  });
  app.get(
    '/v1/objects/:name',
    limitRate(readLimiter, false),
    (request: Request<{name: string}>, response) => {
      const content = objects.get(request.params.name);
      if (content) response.type('application/octet-stream').send(content);
      else response.status(404).json({message: 'no such object'});
    },
  );
  app.put(
    '/v1/objects/:name',
    limitRate(writeLimiter, true),
    express.raw({type: () => true, limit: MAX_OBJECT_BYTES}),
    (request: Request<{name: string}>, response) => {
      objects.set(request.params.name, request.body as Buffer);
      sendUnlessLost(response, {});
    },
  );
  return app;
}
