// A node that had lost the link to another one asks it what became of its
// bookings. If a first attempt to do so broke off after the other node had
// forgotten the link, the next attempt is told that the bookings never arrived,
// and they are run once more by another backend.
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  BROKEN,
  HELD,
  createConfiguration,
  hasTrouble,
  runCase,
  sleep,
  waitUntil,
} from '../harness.mjs';
import {LinkProxy, routeLinks} from '../linkProxy.mjs';

const HOST = 'jepu9.example';
const STABLE_MS = 3_000;
const BOOKINGS = 6;
const SUSPENDED_MS = 2_000;
const RESET_AFTER_MS = 200;

async function play(fleet, record) {
  await fleet.open(
    createConfiguration(
      {
        book: {
          host: HOST,
          prefix: '/puka111/',
          kind: 'non_idempotent',
          timeout: '5s',
          'target-latency': '1500ms',
          priority: 0,
          service: 'reservas',
          'max-attempts': 2,
        },
      },
      ['seguimiento', 'reservas'],
    ),
  );
  const origin = fleet.addMachine('oviedo', {
    service: 'seguimiento',
    instance: 'i-s1',
  });
  const near = fleet.addMachine('oviedo', {
    service: 'reservas',
    instance: 'i-r1',
    workMs: 210,
  });
  const far = fleet.addMachine('gijon', {
    service: 'reservas',
    instance: 'i-r2',
    workMs: 210,
  });
  const proxy = new LinkProxy(near, record);
  await proxy.listen(`${fleet.subnet}.200`);
  routeLinks(fleet.store, [proxy]);
  await fleet.startAll();
  await sleep(STABLE_MS + 1_000);

  const answered = Promise.all(
    Array.from({length: BOOKINGS}, (_, index) =>
      origin.send({
        id: `book-${index}`,
        host: HOST,
        path: '/puka111/1',
        body: `booking ${index}`,
      }),
    ),
  );
  await waitUntil('all bookings run', () => {
    const {runs: nearRuns} = near.backend;
    return nearRuns.length + far.backend.runs.length === BOOKINGS;
  });
  if (hasTrouble) {
    origin.process.kill('SIGSTOP');
    record.add(`${origin.name} is suspended`);
    await sleep(RESET_AFTER_MS);
    proxy.reset();
    await sleep(SUSPENDED_MS - RESET_AFTER_MS);
    proxy.resetsNextLink = true;
    origin.process.kill('SIGCONT');
    record.add(`${origin.name} wakes`);
  }
  const answers = await answered;
  await sleep(1_000);
  proxy.close();

  const runs = [...near.backend.runs, ...far.backend.runs];
  const counts = new Map();
  for (const {id} of runs) counts.set(id, (counts.get(id) ?? 0) + 1);
  const twice = [...counts].filter(([, count]) => count > 1);
  record.add(`answers: ${answers.map(({status}) => status).join(', ')}`);
  for (const [id, count] of twice) record.add(`${id} ran ${count} times`);
  record.add(
    `non-idempotent requests that ran more than once: ${twice.length}`,
  );
  return twice.length > 0 ? BROKEN : HELD;
}

await runCase(dirname(fileURLToPath(import.meta.url)), play);
