import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {expect} from 'chai';
import {Metrics} from 'sycamoreyoke/process/metrics';
import {ByteBudget} from './byteBudget.js';
import type {ClientExchange} from './clientExchange.js';
import {ClientListener} from './clientListener.js';

const HOST = '127.0.0.1';
const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
const BODY = Buffer.from('whole');

interface Harness {
  readonly listener: ClientListener;
  readonly exchanges: ClientExchange[];
  readonly cuts: boolean[];
  readonly client: Socket;
  readonly read: () => string;
  isStopping: boolean;
  /** How late the listener reads, ms. */
  lateMs: number;
}

async function openHarness(maxConnections = Infinity): Promise<Harness> {
  const exchanges: ClientExchange[] = [];
  const cuts: boolean[] = [];
  const parts = {
    record: () => undefined,
    metrics: new Metrics(),
    readMs: () => performance.now(),
    findEarliestArrivalMs: () => performance.now() - harness.lateMs,
    isStopping: () => harness.isStopping,
    output: new ByteBudget<ClientExchange>(Infinity),
    maxConnections,
  };
  const listener = new ClientListener(parts, (exchange) => {
    exchanges.push(exchange);
    exchange.handleClose((isCut) => cuts.push(isCut));
  });
  const port = await listener.listen({host: HOST, port: 0});
  const client = connect(port, HOST);
  let received = '';
  client.on('data', (chunk) => (received += chunk.toString('latin1')));
  client.on('error', () => client.destroy());
  const harness: Harness = {
    listener,
    exchanges,
    cuts,
    client,
    read: () => received,
    isStopping: false,
    lateMs: 0,
  };
  return harness;
}

async function waitUntil(isReached: () => boolean): Promise<void> {
  while (!isReached()) await new Promise((resolve) => setTimeout(resolve, 5));
}

/** Counts the answers that the client has read. */
function countWhole({read}: Harness): number {
  return read().match(/whole/g)?.length ?? 0;
}

function closeHarness({client, listener}: Harness): void {
  client.destroy();
  void listener.stopAccepting();
}

// Guards against pipelined requests that continue after their client has left
// and delay a stop until its time limit.
it('client that leaves ends all its pipelined requests', async () => {
  const harness = await openHarness();
  harness.client.write(REQUEST + REQUEST + REQUEST);
  await waitUntil(() => harness.exchanges.length === 3);
  expect(harness.listener.countOpen()).to.equal(3);
  harness.client.destroy();
  await waitUntil(() => harness.listener.countConnections() === 0);
  expect(harness.cuts).to.deep.equal([true, true, true]);
  expect(harness.listener.countOpen()).to.equal(0);
  closeHarness(harness);
});

// Guards against responses out of order, and against announcing the end of a
// connection although a later request was already read.
it('last response of a stopping listener is the last one read', async () => {
  const harness = await openHarness();
  harness.client.write(REQUEST + REQUEST);
  await waitUntil(() => harness.exchanges.length === 2);
  harness.isStopping = true;
  const [first, second] = harness.exchanges;
  second?.answer({status: 202, headers: [], body: BODY});
  first?.answer({status: 201, headers: [], body: BODY});
  await waitUntil(() => harness.listener.countConnections() === 0);
  const received = harness.read();
  expect(received).to.match(/^HTTP\/1\.1 201[^]*HTTP\/1\.1 202/);
  expect(received.match(/Connection: close/g)).to.have.length(1);
  expect(received).to.match(/202[^]*Connection: close[^]*whole$/);
  expect(harness.cuts).to.deep.equal([false, false]);
  closeHarness(harness);
});

// Guards against an invalid response that throws while it is written and
// crashes the process with all its requests.
it('response that cannot be written is answered 502', async () => {
  const harness = await openHarness();
  harness.client.write(REQUEST + REQUEST);
  await waitUntil(() => harness.exchanges.length === 2);
  const headers = ['x-broken', 'a\nb'];
  harness.exchanges[0]?.answer({status: 200, headers, body: BODY});
  harness.exchanges[1]?.answer({status: 200, headers: [], body: BODY});
  await waitUntil(() => harness.read().endsWith('whole'));
  expect(harness.read()).to.match(/^HTTP\/1\.1 502[^]*HTTP\/1\.1 200/);
  closeHarness(harness);
});

// Guards against resetting an idle connection, which can lose the response
// before it.
it('idle connection ends without a reset', async () => {
  const harness = await openHarness();
  harness.client.write(REQUEST);
  await waitUntil(() => harness.exchanges.length === 1);
  harness.exchanges[0]?.answer({status: 200, headers: [], body: BODY});
  await waitUntil(() => harness.read().endsWith('whole'));
  const ends: string[] = [];
  harness.client.on('end', () => ends.push('end'));
  harness.client.on('error', () => ends.push('error'));
  harness.client.write(REQUEST);
  await waitUntil(() => harness.exchanges.length === 2);
  harness.listener.endIdle();
  expect(harness.listener.countOpen()).to.equal(1);
  harness.exchanges[1]?.answer({status: 200, headers: [], body: BODY});
  await waitUntil(() => harness.listener.countOpen() === 0);
  harness.listener.endIdle();
  await waitUntil(() => harness.listener.countConnections() === 0);
  expect(ends).to.deep.equal(['end']);
  closeHarness(harness);
});

// Guards against treating a connection as idle although its next request has
// arrived and is about to be read.
it('request that has arrived is read before its connection ends', async () => {
  const harness = await openHarness();
  harness.client.write(REQUEST);
  await waitUntil(() => harness.exchanges.length === 1);
  harness.exchanges[0]?.answer({status: 200, headers: [], body: BODY});
  await waitUntil(() => harness.read().endsWith('whole'));
  harness.client.write(REQUEST);
  harness.listener.endIdle();
  await waitUntil(() => harness.exchanges.length === 2);
  harness.exchanges[1]?.answer({status: 201, headers: [], body: BODY});
  await waitUntil(() => harness.read().includes('201'));
  closeHarness(harness);
});

// Guards against ending a connection after an early refusal although the
// refused request has arrived completely and a later one is being handled.
it('early refusal of a body keeps a connection with later requests', async () => {
  const harness = await openHarness();
  const head = 'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n';
  harness.client.write(`${REQUEST}${head}ab`);
  await waitUntil(() => harness.exchanges.length === 2);
  const [first, refused] = harness.exchanges;
  const refusal = {status: 413, headers: [], body: BODY, endsConnection: true};
  refused?.request.resume();
  refused?.answer(refusal);
  harness.client.write(`cd${REQUEST}`);
  await waitUntil(() => harness.exchanges.length === 3);
  harness.exchanges[2]?.answer({status: 203, headers: [], body: BODY});
  first?.answer({status: 201, headers: [], body: BODY});
  await waitUntil(() => harness.listener.countOpen() === 0);
  await waitUntil(() => harness.read().includes(' 203 '));
  expect(harness.cuts).to.deep.equal([false, false, false]);
  expect(harness.read()).to.match(/ 201 [^]* 413 [^]* 203 /);
  closeHarness(harness);
});

// Guards against answers by the HTTP library itself, to a request without a
// host or with an Expect header. The connection does not know of them, so they
// may end it or be cut off by its end.
it('requests that the library would refuse are answered in order', async () => {
  const harness = await openHarness();
  const plain = 'GET / HTTP/1.1\r\n';
  const expecting = `${plain}Host: h\r\nExpect: other\r\n\r\n`;
  harness.client.write(`${REQUEST}${plain}\r\n${expecting}${REQUEST}`);
  await waitUntil(() => harness.exchanges.length === 4);
  harness.isStopping = true;
  for (const [index, exchange] of harness.exchanges.entries()) {
    exchange.answer({status: 201 + index, headers: [], body: BODY});
  }
  await waitUntil(() => harness.listener.countConnections() === 0);
  expect(harness.cuts).to.deep.equal([false, false, false, false]);
  expect(harness.read()).to.match(/ 201 [^]* 202 [^]* 203 [^]* 204 /);
  closeHarness(harness);
});

// Guards against a CONNECT that cuts off the requests before it.
it('CONNECT is answered after the requests before it', async () => {
  const harness = await openHarness();
  const connectHead = 'CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n';
  harness.client.write(REQUEST + connectHead + REQUEST);
  await waitUntil(() => harness.exchanges.length === 1);
  await new Promise((resolve) => setTimeout(resolve, 20));
  harness.exchanges[0]?.answer({status: 201, headers: [], body: BODY});
  await waitUntil(() => harness.listener.countConnections() === 0);
  expect(harness.cuts).to.deep.equal([false]);
  expect(harness.read()).to.match(/ 201 [^]*whole[^]* 501 /);
  expect(harness.exchanges).to.have.length(1);
  closeHarness(harness);
});

// Guards against requests that stay open because their client has left after
// sending CONNECT.
it('client that leaves after CONNECT ends its requests', async () => {
  const harness = await openHarness();
  const connectHead = 'CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n';
  harness.client.write(REQUEST + connectHead);
  await waitUntil(() => harness.exchanges.length === 1);
  harness.client.destroy();
  await waitUntil(() => harness.listener.countConnections() === 0);
  expect(harness.cuts).to.deep.equal([true]);
  closeHarness(harness);
});

// Guards against a client whose pipelined requests exhaust the node's memory,
// and against a connection that is not read further afterwards.
it('open requests of a connection are bounded, and all are answered', async () => {
  const harness = await openHarness();
  const count = 20_000;
  harness.client.write(REQUEST.repeat(count));
  await new Promise((resolve) => setTimeout(resolve, 1_000));
  expect(harness.exchanges.length).to.be.lessThan(count / 4);
  for (let index = 0; index < count; index += 1) {
    await waitUntil(() => harness.exchanges.length > index);
    harness.exchanges[index]?.answer({status: 200, headers: [], body: BODY});
  }
  await waitUntil(() => harness.listener.countOpen() === 0);
  await waitUntil(() => countWhole(harness) >= count);
  expect(harness.read().match(/whole/g)).to.have.length(count);
  closeHarness(harness);
});

// Guards against waiting answers that exhaust the node's memory.
it('waiting answers of a connection are bounded', async () => {
  const harness = await openHarness();
  const body = Buffer.alloc(8 * 1024 * 1024);
  for (let index = 0; index < 20; index += 1) {
    harness.client.write(REQUEST);
    await new Promise((resolve) => setTimeout(resolve, 20));
    if (index === 0) continue;
    harness.exchanges[index]?.answer({status: 200, headers: [], body});
  }
  expect(harness.exchanges.length).to.be.within(3, 6);
  harness.exchanges[0]?.answer({status: 200, headers: [], body: BODY});
  await waitUntil(() => harness.exchanges.length === 20);
  closeHarness(harness);
});

// Guards against a request that is sent on although its client has left before
// a process that is behind has read it.
it('late request of a client that has left is not started', async () => {
  const harness = await openHarness();
  harness.lateMs = 500;
  const closing = new Promise((resolve) => harness.client.on('close', resolve));
  harness.client.end(REQUEST);
  await closing;
  await waitUntil(() => harness.listener.countConnections() === 0);
  expect(harness.exchanges).to.have.lengthOf(0);
  closeHarness(harness);
});

// Guards against late requests that are never started, and against a deadline
// that does not count the time for which the process was behind.
it('late request of a waiting client counts its delay', async () => {
  const harness = await openHarness();
  harness.lateMs = 500;
  harness.client.write(REQUEST);
  await waitUntil(() => harness.exchanges.length === 1);
  const arrivedMs = harness.exchanges[0]?.arrivedMs ?? Infinity;
  expect(performance.now() - arrivedMs).to.be.at.least(500);
  closeHarness(harness);
});

// Guards against clients that use up all descriptors, and against a bound that
// closes a connection on which an answer is due.
it('listener at its limit closes a connection without a request', async () => {
  const harness = await openHarness(2);
  harness.client.write(REQUEST);
  await waitUntil(() => harness.exchanges.length === 1);
  const {remotePort = 0} = harness.client;
  const others = Array.from({length: 5}, () => connect(remotePort, HOST));
  for (const other of others) other.on('error', () => other.destroy());
  await waitUntil(
    () =>
      others.filter(({destroyed}) => destroyed).length === others.length - 1,
  );
  expect(harness.listener.countConnections()).to.equal(2);
  expect(harness.client.destroyed).to.equal(false);
  for (const other of others) other.destroy();
  closeHarness(harness);
});
