import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {expect} from 'chai';
import {Metrics} from 'sycamoreyoke/process/metrics';
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
}

async function openHarness(): Promise<Harness> {
  const exchanges: ClientExchange[] = [];
  const cuts: boolean[] = [];
  const parts = {
    record: () => undefined,
    metrics: new Metrics(),
    isStopping: () => harness.isStopping,
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
  };
  return harness;
}

async function waitUntil(isReached: () => boolean): Promise<void> {
  while (!isReached()) await new Promise((resolve) => setTimeout(resolve, 5));
}

function closeHarness({client, listener}: Harness): void {
  client.destroy();
  listener.stopAccepting();
}

// Guards against pipelined requests that go on for a client that has left, and
// that hold a stop until its end.
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

// Guards against responses that overtake each other, and against a connection
// that is announced to end although a request behind it was read.
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

// Guards against a response that throws while it is written and takes the other
// requests of the process with it.
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

// Guards against an idle connection that is reset, which can take the response
// before it along.
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

// Guards against a connection that is taken for idle although its next request
// has arrived and only waits to be read.
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
