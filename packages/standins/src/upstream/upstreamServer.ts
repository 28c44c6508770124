/**
 * Stand-in for an upstream. Simulates concurrency and connection limits, a cold
 * start, service times, draining, a crash on a marked request, cancellation and
 * deadlines. Its health and load endpoints are misleading on purpose.
 */
import {createHash} from 'node:crypto';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {Agent, request as sendRequest} from 'undici';
import {SycamoreyokeError} from 'sycamoreyoke/errors';
import {Executions} from './executions.js';
import type {Behaviour, UpstreamOptions} from './options.js';
import {behaviourSchema} from './options.js';
import {createPayload} from './payload.js';
import type {UpstreamBody} from './payload.js';

const CRASH_EXIT_CODE = 70;
const LOAD_SAMPLE_MS = 100;
const STAND_IN_PREFIX = '/stand-in/';

/** A running upstream stand-in. */
export interface RunningUpstream {
  readonly server: Server;
  /** Refuses new requests, waits for running ones and closes the server. */
  drain(): Promise<void>;
}

/** Starts an upstream stand-in; port 0 picks a free port. */
export async function startUpstream(
  options: UpstreamOptions,
  port: number,
  address: string,
): Promise<RunningUpstream> {
  const upstream = new UpstreamStandIn(options);
  const server = createServer((request, response) => {
    upstream.handle(request, response).catch(() => response.destroy());
  });
  server.maxConnections = options.connections;
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve) => server.listen(port, address, resolve));
  const drain = async () => {
    upstream.drain();
    await new Promise<void>((resolve) => server.close(() => resolve()));
  };
  return {server, drain};
}

/** A call to another service failed, which fails the request that made it. */
class OutgoingCallError extends SycamoreyokeError {
  constructor(requestClass: string, status: number) {
    super(`call of class "${requestClass}" failed with status ${status}`);
  }
}

interface LoadSample {
  readonly atMs: number;
  readonly running: number;
}

class UpstreamStandIn {
  private behaviour: Behaviour;
  private running = 0;
  private isDraining = false;
  private readonly startedMs = performance.now();
  private readonly executions = new Executions();
  private readonly agent = new Agent({connections: 128});
  private loadSamples: readonly LoadSample[] = [];

  constructor(private readonly options: UpstreamOptions) {
    this.behaviour = options.behaviour;
  }

  drain(): void {
    this.isDraining = true;
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = request.url ?? '/';
    if (url.startsWith(STAND_IN_PREFIX)) {
      await this.serveControl(url, request, response);
    } else if (this.isDraining || this.running >= this.behaviour.slots) {
      request.resume();
      sendRefusal(response);
    } else {
      await this.run(request, response);
    }
  }

  private async run(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = readHeader(request, 'sycamoreyoke-request-id');
    const requestClass = readHeader(request, 'sycamoreyoke-class');
    if (request.headers['x-stand-in-crash'] && this.behaviour.crashOnMark) {
      process.exit(CRASH_EXIT_CODE);
    }
    const cancellation = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) cancellation.abort();
    });
    this.running += 1;
    this.recordLoad();
    this.executions.start(requestId, requestClass);
    try {
      request.resume();
      const timeoutMs = Number(readHeader(request, 'sycamoreyoke-timeout-ms'));
      const serviceTimeMs = this.computeServiceTimeMs();
      await wait(serviceTimeMs, undefined, {signal: cancellation.signal});
      const calledUpstreams = await this.sendOutgoingCalls(request, timeoutMs);
      this.executions.finish(requestId, requestClass);
      sendBody(response, {
        by: this.options.name,
        requestId,
        payload: createPayload(requestId, this.behaviour.payloadBytes),
        below: calledUpstreams,
      });
    } catch (error) {
      if (!(error instanceof OutgoingCallError)) throw error;
      sendFailure(response, error.message);
    } finally {
      this.running -= 1;
    }
  }

  private computeServiceTimeMs(): number {
    const {serviceTimeMs, coldMs, coldFactor} = this.behaviour;
    const isCold = performance.now() - this.startedMs < coldMs;
    // 0.5 to 1.5 times the mean, so that requests do not end in lockstep.
    const variedMs = serviceTimeMs * (0.5 + Math.random());
    return isCold ? variedMs * coldFactor : variedMs;
  }

  /**
   * Makes the calls configured for the class of the request and returns the
   * names of the upstreams that served them. Rejects when a call fails.
   */
  private async sendOutgoingCalls(
    request: IncomingMessage,
    timeoutMs: number,
  ): Promise<string[]> {
    const requestId = readHeader(request, 'sycamoreyoke-request-id');
    const requestClass = readHeader(request, 'sycamoreyoke-class');
    const executionId = readHeader(request, 'sycamoreyoke-execution-id');
    const {egress, callsBelow} = this.options;
    const calls = callsBelow.filter(
      (call) => call.servedClass === requestClass,
    );
    if (egress === undefined) return [];
    return Promise.all(
      calls.map(async (call, index) => {
        const response = await sendRequest(`${egress}/`, {
          dispatcher: this.agent,
          headers: {
            'sycamoreyoke-class': call.requestClass,
            'sycamoreyoke-request-id': `${requestId.slice(0, 60)}-${index}`,
            'sycamoreyoke-parent-id': executionId,
          },
          signal: AbortSignal.timeout(timeoutMs > 0 ? timeoutMs : 5_000),
        });
        const body = (await response.body.json()) as UpstreamBody;
        if (response.statusCode >= 400) {
          throw new OutgoingCallError(call.requestClass, response.statusCode);
        }
        return body.by;
      }),
    );
  }

  private recordLoad(): void {
    const atMs = performance.now();
    const latest = this.loadSamples.at(-1);
    if (latest && atMs - latest.atMs < LOAD_SAMPLE_MS) return;
    this.loadSamples = [
      ...this.loadSamples.slice(-1_000),
      {atMs, running: this.running},
    ];
  }

  private async serveControl(
    url: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    switch (url.slice(STAND_IN_PREFIX.length).split('?')[0]) {
      case 'health':
        // Misleading on purpose: reports healthy under any load.
        sendJson(response, {status: 'ok'});
        return;
      case 'load':
        sendJson(response, {running: this.readLaggingLoad()});
        return;
      case 'executions':
        sendJson(response, {executions: this.executions.list()});
        return;
      case 'behaviour':
        await this.applyBehaviour(request, response);
        return;
      default:
        response.writeHead(404).end();
    }
  }

  private readLaggingLoad(): number {
    const latestSampleMs = performance.now() - this.behaviour.loadLagMs;
    const oldSamples = this.loadSamples.filter(
      (sample) => sample.atMs <= latestSampleMs,
    );
    return oldSamples.at(-1)?.running ?? 0;
  }

  private async applyBehaviour(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const changes = JSON.parse(Buffer.concat(chunks).toString()) as object;
    const parsed = behaviourSchema.safeParse({...this.behaviour, ...changes});
    if (parsed.success) this.behaviour = parsed.data;
    sendJson(response, parsed.success ? parsed.data : parsed.error.issues);
  }
}

function readHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

/** Sends a 503 which states that the request was not run. */
function sendRefusal(response: ServerResponse): void {
  response
    .writeHead(503, {
      'sycamoreyoke-outcome': 'not-run',
      'content-length': 0,
    })
    .end();
}

function sendBody(response: ServerResponse, content: UpstreamBody): void {
  const body = Buffer.from(`${JSON.stringify(content)}\n`);
  const digest = createHash('sha256').update(body).digest('base64');
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': body.length,
    'content-digest': `sha-256=:${digest}:`,
    'sycamoreyoke-request-id': content.requestId,
  });
  response.end(body);
}

function sendFailure(response: ServerResponse, message: string): void {
  const body = Buffer.from(`${JSON.stringify({message})}\n`);
  response.writeHead(502, {
    'content-type': 'application/json',
    'content-length': body.length,
  });
  response.end(body);
}

function sendJson(response: ServerResponse, content: unknown): void {
  const body = Buffer.from(`${JSON.stringify(content)}\n`);
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': body.length,
  });
  response.end(body);
}
