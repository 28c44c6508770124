import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {MemberState} from 'sycamoreyoke/process/types';
import {Outcome, RepeatGuard} from 'sycamoreyoke/types';
import {SycamoreyokeCaller} from './caller.js';

const ADDRESS = '127.0.0.1';
const RUNS = 20;

function getPort(server: Server): number {
  return (server.address() as AddressInfo).port;
}

function createMember(publicPort: number) {
  return {
    service: 'booking',
    incarnation: `node-${publicPort}`,
    counter: 0,
    address: ADDRESS,
    publicPort,
    peerPort: publicPort,
    controlPort: publicPort,
    adminPort: publicPort,
    dataCentre: 'oviedo',
    region: 'default',
    state: MemberState.ACTIVE,
    weight: 1,
    epoch: 1,
    startedMs: 0,
  };
}

/** Starts a simulated node whose directory returns the given members. */
async function openNode(listMembers: () => readonly object[]): Promise<Server> {
  const handle = (request: IncomingMessage, response: ServerResponse) => {
    request.resume();
    if (request.url?.startsWith('/.well-known/')) {
      const entry = {
        service: 'booking',
        idempotent: false,
        guard: RepeatGuard.PIN,
        timeoutMs: 5_000,
        retries: 2,
        backoffBaseMs: 1,
        backoffMaxMs: 2,
        members: listMembers(),
      };
      response.end(JSON.stringify(entry));
      return;
    }
    response.setHeader(
      'sycamoreyoke-request-id',
      String(request.headers['sycamoreyoke-request-id']),
    );
    response.setHeader('sycamoreyoke-outcome', Outcome.DONE);
    response.end('done');
  };
  const server = createServer(handle);
  await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
  return server;
}

// Guards against a call that fails although another node is running. A node
// that has just started lists only itself; if it stops after the caller has
// read that list, the caller must read the list again from another node.
it('caller: finds another node after the only known one stops', async () => {
  for (let run = 0; run < RUNS; run += 1) {
    const stoppedNode = await openNode(() => [
      createMember(getPort(stoppedNode)),
    ]);
    const remainingNode = await openNode(() => [
      createMember(getPort(remainingNode)),
    ]);
    const [stoppedPort, remainingPort] = [
      getPort(stoppedNode),
      getPort(remainingNode),
    ];
    const options = {
      caller: 'desk',
      token: 'example-token',
      entries: [`http://${ADDRESS}:${stoppedPort}`],
      dataCentre: 'oviedo',
    };
    const caller = new SycamoreyokeCaller(options);
    await caller.send({requestClass: 'book'});
    options.entries.push(`http://${ADDRESS}:${remainingPort}`);
    stoppedNode.closeAllConnections();
    await new Promise((resolve) => stoppedNode.close(resolve));
    // Give the caller time to notice that its idle connection was closed.
    await wait(20);
    const result = await caller.send({requestClass: 'book'});
    expect(result.outcome, `reason: ${result.reason}`).to.equal(Outcome.DONE);
    remainingNode.closeAllConnections();
    remainingNode.close();
    await caller.close();
  }
});
