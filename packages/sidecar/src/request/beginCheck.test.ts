import {expect} from 'chai';
import {VirtualClock} from 'sycamoreyoke/clock';
import {Metrics} from 'sycamoreyoke/process/metrics';
import {Importance} from 'sycamoreyoke/types';
import type {Route} from 'sycamoreyoke/version/routeTable';
import {BeginCheck} from './beginCheck.js';
import type {RoutedRequest} from './originCall.js';

const ROUTE = {name: 'page'} as Route;
const IMPORTANCE = Importance.NORMAL;
const LEFT_MS = 6_000;
const STEP_MS = 10;
const REPEAT_MS = 20;

interface Client {
  readonly id: string;
  readonly isPatient: boolean;
  nextMs: number;
  begun: number;
}

function createClients(count: number, isPatient: boolean): Client[] {
  return Array.from({length: count}, (_, index) => ({
    id: `${isPatient ? 'waits' : 'repeats'}-${index}`,
    isPatient,
    nextMs: index * STEP_MS,
    begun: 0,
  }));
}

function computeMeanBegun(clients: readonly Client[]): number {
  return clients.reduce((sum, {begun}) => sum + begun, 0) / clients.length;
}

// Guards against clients that repeat at once and often and so get the few
// requests that are begun, in place of those that wait as told.
it('begin check: a client that repeats at once gains nothing', () => {
  const clock = new VirtualClock();
  const check = new BeginCheck({
    clock,
    record: () => undefined,
    metrics: new Metrics(),
  });
  const observe = () => {
    const arrivedMs = clock.readMs();
    const request = {route: ROUTE, importance: IMPORTANCE, arrivedMs};
    check.observe(request as RoutedRequest, 500);
  };
  for (let count = 0; count < 5; count += 1) observe();
  const patient = createClients(20, true);
  const hasty = createClients(5, false);
  for (; clock.readMs() < 60_000; clock.advance(STEP_MS)) {
    for (const client of [...hasty, ...patient]) {
      if (clock.readMs() < client.nextMs) continue;
      const retryMs = check.check({
        requestId: `${client.id}-${client.begun}`,
        route: ROUTE,
        importance: IMPORTANCE,
        leftMs: LEFT_MS,
        account: undefined,
      });
      if (retryMs === undefined) {
        client.begun += 1;
        observe();
      }
      const waitMs = client.isPatient ? (retryMs ?? REPEAT_MS) : REPEAT_MS;
      client.nextMs = clock.readMs() + waitMs;
    }
  }
  expect(computeMeanBegun(patient)).to.be.above(0);
  expect(computeMeanBegun(hasty)).to.be.at.most(
    1.5 * computeMeanBegun(patient),
  );
});
