import {createHash, randomUUID} from 'node:crypto';
import {connect} from 'node:net';
import type {RunningNode} from '@sycamoreyoke/node/startNode';
import {isWholeBody} from '@sycamoreyoke/standins/load/plainSender';
import type {Execution} from '@sycamoreyoke/standins/upstream/executions';
import {expect} from 'chai';
import type {TimelineEvent} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {RepeatGuard} from 'sycamoreyoke/types';
import type {ConfigurationObject} from 'sycamoreyoke/version/types';
import {ImportanceName, Lean, ObjectKind} from 'sycamoreyoke/version/types';
import {request} from 'undici';
import {createCaller, startInProcessFleet} from './fleet/inProcessFleet.js';

const RETRIES = 2;
const ADDRESS = '127.0.0.1';

const COMMON = {
  kind: ObjectKind.REQUEST_CLASS,
  service: 'tracking',
  importance: ImportanceName.NORMAL,
  retryLimit: 'two-retries',
  timeoutMs: 10_000,
} as const;

const OBJECTS: readonly ConfigurationObject[] = [
  {kind: ObjectKind.POLICY, name: 'p', lean: Lean.RECOVERY, queueLimit: 100},
  {kind: ObjectKind.SERVICE, name: 'tracking', policy: 'p'},
  {
    kind: ObjectKind.RETRY_LIMIT,
    name: 'two-retries',
    perRequest: RETRIES,
    shareOfTraffic: 0.1,
    backoffBaseMs: 20,
    backoffMaxMs: 200,
  },
  {...COMMON, name: 'read', idempotent: true, guard: RepeatGuard.NONE},
  {...COMMON, name: 'book', idempotent: false, guard: RepeatGuard.PIN},
  createCaller('site', ['read', 'book'], false),
  createCaller('desk', ['read', 'book'], true),
];

interface Fixture {
  readonly node: RunningNode;
  readonly upstreamUrl: string;
  readonly stop: () => Promise<void>;
}

async function startFixture(): Promise<Fixture> {
  const {members, stop} = await startInProcessFleet(OBJECTS, ['tracking'], 100);
  const [member] = members;
  if (!member) throw new Error('the fleet has no member');
  return {node: member.node, upstreamUrl: member.upstreamUrl, stop};
}

let sharedFixture: Promise<Fixture> | undefined;

/** Returns a node shared by all tests, since stopping one takes seconds. */
function getFixture(): Promise<Fixture> {
  sharedFixture ??= startFixture();
  return sharedFixture;
}

describe('bad input', () => {
  after(async () => {
    await (await sharedFixture)?.stop();
  });

  type Headers = Record<string, string>;

  function buildHeaders(overrides: Headers = {}): Headers {
    return {
      'sycamoreyoke-class': 'read',
      'sycamoreyoke-request-id': randomUUID(),
      'sycamoreyoke-caller': 'site',
      authorization: 'Bearer of-site',
      ...overrides,
    };
  }

  async function send(headers: Headers, body?: string) {
    const {node} = await getFixture();
    const response = await request(
      `http://${ADDRESS}:${node.self.publicPort}/`,
      {
        method: body === undefined ? 'GET' : 'POST',
        headers,
        ...(body === undefined ? {} : {body}),
      },
    );
    const bytes = Buffer.from(await response.body.arrayBuffer());
    return {
      status: response.statusCode,
      headers: response.headers,
      bytes,
      text: bytes.toString(),
    };
  }

  /** Sends raw bytes, half-closes the connection and reads the response. */
  function sendRaw(port: number, bytes: string | Buffer): Promise<string> {
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      const socket = connect(port, ADDRESS, () => socket.end(bytes));
      socket.on('data', (chunk: Buffer) => chunks.push(chunk));
      socket.on('error', () => undefined);
      socket.on('close', () =>
        resolve(Buffer.concat(chunks).toString('latin1')),
      );
    });
  }

  function renderRaw(method: string, headers: Headers, body: string): string {
    const lines = Object.entries(headers).map(
      ([name, value]) => `${name}: ${value}`,
    );
    return `${method} / HTTP/1.1\r\nhost: node\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
  }

  /** Sends bad input while a valid request runs, which must still succeed. */
  async function runWithValidRequest<T>(
    sendBadInput: () => Promise<T>,
  ): Promise<T> {
    const headers = buildHeaders();
    const validResponse = send(headers);
    const badInputResult = await sendBadInput();
    const {status, bytes, headers: received} = await validResponse;
    const id = headers['sycamoreyoke-request-id'] ?? '';
    expect(status).to.equal(200);
    expect(isWholeBody(bytes, received, id)).to.equal(true);
    return badInputResult;
  }

  async function listExecutions(requestId: string): Promise<Execution[]> {
    const {upstreamUrl} = await getFixture();
    const response = await request(`${upstreamUrl}/stand-in/executions`);
    const {executions} = (await response.body.json()) as {
      executions: Execution[];
    };
    return executions.filter((execution) => execution.requestId === requestId);
  }

  async function listEvents(requestId: string): Promise<TimelineEvent[]> {
    const {adminPort} = (await getFixture()).node.self;
    const response = await request(
      `http://${ADDRESS}:${adminPort}/events?requestId=${requestId}`,
    );
    return ((await response.body.json()) as {events: TimelineEvent[]}).events;
  }

  // Guards against a caller that exhausts the memory of a node with headers.
  it('refuses oversized headers', async () => {
    const {node} = await getFixture();
    const headers = buildHeaders({'x-long': 'a'.repeat(20_000)});
    const raw = renderRaw('GET', headers, '');
    const answer = await runWithValidRequest(() =>
      sendRaw(node.self.publicPort, raw),
    );
    expect(answer).to.match(/^HTTP\/1\.1 431 /);
  });

  // Guards against an error response that names only the first malformed
  // header.
  it('names every malformed header', async () => {
    const headers = buildHeaders({
      'sycamoreyoke-class': 'Read!',
      'sycamoreyoke-attempt': 'first',
    });
    const {status, text} = await runWithValidRequest(() => send(headers));
    expect(status).to.equal(400);
    expect(text).to.include('sycamoreyoke-class');
    expect(text).to.include('sycamoreyoke-attempt');
  });

  // Guards against a negative allowance that increases the retry budget.
  it('refuses a negative allowance', async () => {
    const headers = buildHeaders({'sycamoreyoke-allowance': '-1'});
    const {status, text} = await runWithValidRequest(() => send(headers));
    expect(status).to.equal(400);
    expect(text).to.include('sycamoreyoke-allowance');
  });

  // Guards against a request that may occupy the queue for days (999,999,999
  // ms).
  it('refuses an excessive timeout', async () => {
    const headers = buildHeaders({'sycamoreyoke-timeout-ms': '999999999'});
    const {status, text} = await runWithValidRequest(() => send(headers));
    expect(status).to.equal(400);
    expect(text).to.include('sycamoreyoke-timeout-ms');
  });

  // Guards against a caller, trusted or not, that grants itself more retries
  // than its request class allows.
  it('caps a forged allowance', async () => {
    for (const caller of ['site', 'desk']) {
      const id = randomUUID();
      const headers = buildHeaders({
        'sycamoreyoke-request-id': id,
        'sycamoreyoke-caller': caller,
        authorization: `Bearer of-${caller}`,
        'sycamoreyoke-allowance': '100',
      });
      const {status} = await runWithValidRequest(() => send(headers));
      expect(status).to.equal(200);
      const admitted = (await listEvents(id)).find(
        ({code}) => code === EventCode.REQUEST_ADMITTED,
      );
      expect(admitted?.details['allowance']).to.be.within(0, RETRIES);
    }
  });

  // Guards against replaying a recorded response to any caller that knows the
  // request id.
  it('does not replay the response of another caller', async () => {
    const {node} = await getFixture();
    const id = randomUUID();
    const sendAs = (caller: string) =>
      send(
        buildHeaders({
          'sycamoreyoke-class': 'book',
          'sycamoreyoke-request-id': id,
          'sycamoreyoke-caller': caller,
          authorization: `Bearer of-${caller}`,
          'sycamoreyoke-pin': `${node.self.incarnation}.${node.self.epoch}`,
        }),
      );
    expect((await sendAs('site')).status).to.equal(200);
    expect((await runWithValidRequest(() => sendAs('desk'))).status).to.equal(
      200,
    );
    expect((await sendAs('site')).status).to.equal(200);
    expect((await listExecutions(id))[0]?.started).to.equal(2);
  });

  // Guards against admitting a call without a valid caller and token.
  it('refuses an unknown caller and a wrong token', async () => {
    const unknownCaller = buildHeaders({'sycamoreyoke-caller': 'nobody'});
    const wrongToken = buildHeaders({authorization: 'Bearer of-desk'});
    for (const headers of [unknownCaller, wrongToken]) {
      const {status, text} = await runWithValidRequest(() => send(headers));
      expect(status).to.equal(401);
      expect(text).to.include('unauthenticated');
    }
  });

  // Guards against executing a request whose body ends before its
  // content-length.
  it('does not run a request with a truncated body', async () => {
    const {node} = await getFixture();
    const id = randomUUID();
    const headers = buildHeaders({
      'sycamoreyoke-request-id': id,
      'content-length': '100',
    });
    const raw = renderRaw('POST', headers, 'only this');
    const answer = await runWithValidRequest(() =>
      sendRaw(node.self.publicPort, raw),
    );
    expect(answer).to.match(/^HTTP\/1\.1 400 /);
    expect(await listExecutions(id)).to.deep.equal([]);
  });

  // Guards against executing a request whose body was changed in transit.
  it('refuses a body that does not match its digest', async () => {
    const digest = createHash('sha256').update('sole').digest('base64');
    const id = randomUUID();
    const headers = buildHeaders({
      'sycamoreyoke-request-id': id,
      'content-digest': `sha-256=:${digest}:`,
    });
    const {status, text} = await runWithValidRequest(() =>
      send(headers, 'soul'),
    );
    expect(status).to.equal(400);
    expect(text).to.include('content-digest');
    expect(await listExecutions(id)).to.deep.equal([]);
  });

  // Guards against a peer listener that fails on bytes which aren't HTTP.
  it('answers garbage on the peer port with 400', async () => {
    const {node} = await getFixture();
    const garbage = Buffer.from('\u0000\u0001garbage\r\n\r\n');
    const answer = await runWithValidRequest(() =>
      sendRaw(node.self.peerPort, garbage),
    );
    expect(answer).to.match(/^HTTP\/1\.1 400 /);
  });

  // Guards against a control listener, or a node, that fails on bytes which
  // aren't HTTP/2.
  it('survives garbage on the control port', async () => {
    const {node} = await getFixture();
    const garbage = Buffer.from('\u0000\u0001garbage\r\n\r\n'.repeat(100));
    await runWithValidRequest(() => sendRaw(node.self.controlPort, garbage));
    const health = await request(
      `http://${ADDRESS}:${node.self.adminPort}/healthz`,
    );
    await health.body.dump();
    expect(health.statusCode).to.equal(200);
  });
});
