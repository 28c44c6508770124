/** HTTP server with health, metrics, status and events for operators. */
import type {Server} from 'node:http';
import express from 'express';
import type {TimelineEvent} from 'sycamoreyoke/process/events';
import type {Metrics} from 'sycamoreyoke/process/metrics';
import {watchConnections} from './listeners.js';

/** Data sources of the admin listener. */
export interface AdminParts {
  readonly metrics: Metrics;
  readonly listEvents: () => TimelineEvent[];
  readonly isReady: () => boolean;
  readonly describe: () => unknown;
}

/** Opens the admin listener; rejects when the port cannot be opened. */
export function openAdminListener(
  parts: AdminParts,
  port: number,
  address: string,
): Promise<Server> {
  const app = createAdminApp(parts);
  return new Promise((resolve, reject) => {
    const server = app.listen(port, address, (error?: Error) => {
      if (error) reject(error);
      else resolve(server);
    });
    watchConnections(server);
  });
}

function createAdminApp(parts: AdminParts) {
  const app = express();
  app.disable('x-powered-by');
  app.get('/healthz', (_request, response) => {
    response.type('text').send('ok\n');
  });
  app.get('/readyz', (_request, response) => {
    const isReady = parts.isReady();
    response
      .status(isReady ? 200 : 503)
      .type('text')
      .send(isReady ? 'ready\n' : 'not ready\n');
  });
  app.get('/metrics', (_request, response) => {
    response.type('text/plain; version=0.0.4').send(parts.metrics.render());
  });
  app.get('/status', (_request, response) => {
    response.json(parts.describe());
  });
  app.get('/events', (request, response) => {
    const {requestId} = request.query;
    const events = parts.listEvents();
    response.json({
      events:
        typeof requestId === 'string'
          ? events.filter((event) => event.requestId === requestId)
          : events,
    });
  });
  return app;
}
