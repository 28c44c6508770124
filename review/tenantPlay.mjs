/**
 * Clients of several tenants on one machine, whose backend makes calls. Used by
 * the cases about calls.
 */
import {randomUUID} from 'node:crypto';
import {Agent, request} from 'node:http';
import {HOST, LIMITS, createFleet, wait} from './harness-2.mjs';

const MEMORY_MB = 350;
/** Time budget of the clients, ms. */
export const LEFT_MS = 5_002;
/** Work of the backend before its calls, if not given, and after them, ms. */
const WORK_MS = 45;
const CALLS = 2;
/** Requests that have to be served before a play. */
const WARM_REQUESTS = 30;
const WARM_UP_MS = 20_000;

export const TENANTS = ['hotel-a', 'hotel-b', 'hotel-c', 'hotel-d', 'hotel-e'];

const route = (prefix, service) => ({
  host: HOST,
  prefix,
  kind: 'idempotent',
  service,
  timeout: '5s',
  'target-latency': '1200ms',
  'max-attempts': 2,
  priority: 1,
});
const CONFIGURATION = {
  version: 7,
  limits: LIMITS,
  routes: {
    stock: route('/stock/', 'keszlet'),
    audit: route('/audit/', 'felvetel'),
  },
  services: {keszlet: {}, felvetel: {}},
  tenants: Object.fromEntries(
    TENANTS.map((name) => [name, {name, 'api-keys': [`key-of-${name}`]}]),
  ),
};
const UPSTREAM = {slots: 70, dataCentre: 'csepel'};
const createUpstreams = (workMs) => [
  {...UPSTREAM, service: 'keszlet', instance: 'i-1', workMs},
  {...UPSTREAM, service: 'felvetel', instance: 'i-2', workMs: 15},
];

/** A fleet of two machines and what its clients and backends have seen. */
export class TenantPlay {
  fleet = createFleet(MEMORY_MB);
  /** Tenant of each request of a client, and parent of each call, by id. */
  tenants = new Map();
  parents = new Map();
  /** Status of each answer, in the order of their arrival. */
  answers = [];
  callAnswers = [];
  clientAgent = new Agent({keepAlive: true});
  backendAgent = new Agent({keepAlive: true});

  constructor(workMs = WORK_MS) {
    this.upstreams = createUpstreams(workMs);
  }

  /** Starts the fleet and waits until it serves requests and calls. */
  async start() {
    const {fleet} = this;
    fleet.store.write('op', 'config', CONFIGURATION);
    await fleet.start(this.upstreams);
    for (const vm of fleet.vms) await fleet.waitForReady(vm);
    for (const vm of fleet.vms) await fleet.waitForLinks(vm);
    [this.stock, this.audit] = fleet.vms;
    this.address = fleet.getOutboundAddress(this.stock);
    this.stock.upstream.writeAnswer = (socket, execution) =>
      void this.runRequest(socket, execution);
    const endMs = performance.now() + WARM_UP_MS;
    for (let served = 0; served < WARM_REQUESTS;) {
      if (performance.now() > endMs) throw new Error('requests are not served');
      if ((await this.send()) === 200) served += 1;
      await wait(20);
    }
    this.forget();
  }

  /** Forgets the answers of the warm-up. */
  forget() {
    this.answers = [];
    this.callAnswers = [];
    this.warmRuns = this.audit.upstream.executions.length;
  }

  /** The backend's work: its calls carry no key and the rest of the time. */
  async runRequest(socket, execution) {
    const calls = Array.from({length: CALLS}, () => {
      const id = randomUUID();
      this.parents.set(id, execution.requestId);
      const usedMs = performance.now() - execution.startedMs;
      const headers = {
        'Sycamoreyoke-Request-Id': id,
        'Sycamoreyoke-Deadline-Ms': Math.floor(execution.leftMs - usedMs),
      };
      return this.get(`/audit/${id}`, headers, this.backendAgent);
    });
    const statuses = await Promise.all(calls);
    this.callAnswers.push(...statuses);
    await wait(WORK_MS);
    const isServed = statuses.every((status) => status === 200);
    const body = `stock ${execution.requestId}`;
    socket.write(
      `HTTP/1.1 ${isServed ? '200 OK' : '500 Failed'}\r\n` +
        `Sycamoreyoke-Request-Id: ${execution.requestId}\r\n` +
        `Sycamoreyoke-Response-Seal: seal-${execution.requestId}\r\n` +
        `Content-Length: ${body.length}\r\n\r\n${body}`,
    );
  }

  /** Sends a request of a random tenant; resolves to its status. */
  async send() {
    const id = randomUUID();
    const tenant = TENANTS[Math.floor(Math.random() * TENANTS.length)];
    this.tenants.set(id, tenant);
    const headers = {
      'X-Api-Key': `key-of-${tenant}`,
      'Sycamoreyoke-Request-Id': id,
      'Sycamoreyoke-Deadline-Ms': LEFT_MS,
    };
    const status = await this.get(`/stock/${id}`, headers, this.clientAgent);
    this.answers.push(status);
    return status;
  }

  /** Sends requests at random times with a mean rate, for a time. */
  async sendForMs(requestsPerS, durationMs) {
    const pending = [];
    const endMs = performance.now() + durationMs;
    while (performance.now() < endMs) {
      pending.push(this.send());
      await wait((-Math.log(1 - Math.random()) * 1000) / requestsPerS);
    }
    await Promise.all(pending);
  }

  /** Runs that named another tenant than the one whose request it was. */
  listForeignRuns() {
    const {stock, audit, tenants, parents} = this;
    const findTenant = (id) => tenants.get(parents.get(id) ?? id);
    return [...stock.upstream.executions, ...audit.upstream.executions].filter(
      ({requestId, headers}) => {
        const named = headers['sycamoreyoke-tenant'];
        return named !== undefined && named !== findTenant(requestId);
      },
    );
  }

  /** Adds what was sent, answered and run since the warm-up. */
  report(record) {
    const runs = this.audit.upstream.executions.length - this.warmRuns;
    const {answers, callAnswers} = this;
    record.add(`clients: ${answers.length} requests, ${count(answers)}`);
    record.add(`backend: ${callAnswers.length} calls, ${count(callAnswers)}`);
    record.add(`calls run: ${runs}`);
  }

  /** Sends a GET; resolves to its status, or 0 if the connection was closed. */
  get(path, headers, agent) {
    const {address} = this;
    return new Promise((resolve) => {
      const sent = request(
        {...address, path, headers: {Host: HOST, ...headers}, agent},
        (response) => {
          response.resume();
          response.on('end', () => resolve(response.statusCode));
          response.on('error', () => resolve(0));
        },
      );
      sent.on('error', () => resolve(0));
      sent.end();
    });
  }
}

function count(statuses) {
  const counts = {};
  for (const status of statuses) counts[status] = (counts[status] ?? 0) + 1;
  return JSON.stringify(counts);
}
