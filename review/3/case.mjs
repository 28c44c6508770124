// A node that has just been started again acknowledges that its backend has
// left, but forgets it, as it has had no heartbeat yet. A heartbeat from before
// the leaving arrives late, and the node gives the backend work as before.
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

const HOST = 'jepu9.example';
const DRAIN_MS = 2_000;
const STABLE_MS = 3_000;
/** A heartbeat may arrive seconds late; any delay is enough. */
const LATE_MS = 300;
/** Bookings are sent from then on after the ack. */
const BOOKINGS_START_MS = 5_500;
const BOOKINGS = 12;
const GAP_MS = 150;
/** The backend serves for `drain` after the ack "and a little longer". */
const BACKEND_EXIT_MS = 6_500;

async function play(fleet, record) {
  await fleet.open(
    createConfiguration(
      {
        book: {
          host: HOST,
          prefix: '/puka111/',
          kind: 'non_idempotent',
          timeout: '4000ms',
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
  const leaving = fleet.addMachine('oviedo', {
    service: 'reservas',
    instance: 'i-r1',
    workMs: 1_000,
  });
  fleet.addMachine('gijon', {
    service: 'reservas',
    instance: 'i-r2',
    workMs: 1_000,
  });
  await fleet.startAll();
  await sleep(STABLE_MS + 1_000);
  const {backend} = leaving;
  const first = await origin.send({id: 'first', host: HOST, path: '/puka111/'});
  if (first.status !== 200) throw new Error('bookings are not served');

  if (hasTrouble) {
    // Planned work: the node alone is stopped and started again.
    backend.stopHeartbeats();
    leaving.process.kill('SIGTERM');
    record.add(`platform sends SIGTERM to ${leaving.name}`);
    const {code, signal} = await leaving.ended;
    record.add(`${leaving.name} ended with ${code ?? signal}`);
    leaving.startNode();
    await leaving.waitForReady();
  }
  const lateHeartbeat = backend.createHeartbeat();
  record.add('backend i-r1 sends a heartbeat (ready), which is delayed');
  let ackStatus = 0;
  await waitUntil('the leaving is acknowledged', async () => {
    ackStatus = await backend.leave();
    return ackStatus >= 200 && ackStatus < 300;
  });
  const ackMs = performance.now();
  backend.stopHeartbeats();
  record.add(`node acknowledges DELETE of i-r1 with ${ackStatus}`);
  await sleep(LATE_MS);
  const lateStatus = await backend.deliver(lateHeartbeat);
  record.add(`the delayed heartbeat arrives and is answered ${lateStatus}`);

  await sleep(Math.max(0, ackMs + BOOKINGS_START_MS - performance.now()));
  const startedAgoMs = performance.now() - leaving.startedMs;
  record.add(`the node of i-r1 has run for ${Math.round(startedAgoMs)} ms`);
  if (startedAgoMs < STABLE_MS) throw new Error('machine is not in touch');
  setTimeout(
    () => backend.exit(),
    Math.max(0, ackMs + BACKEND_EXIT_MS - performance.now()),
  );
  const answers = await Promise.all(
    Array.from({length: BOOKINGS}, async (_, index) => {
      await sleep(index * GAP_MS);
      return origin.send({
        id: `book-${index}`,
        host: HOST,
        path: '/puka111/1',
        leftMs: 3_000,
      });
    }),
  );
  const late = backend.runs.filter(
    ({startedMs}) => startedMs - ackMs > DRAIN_MS,
  );
  const cut = late.filter(({isDone}) => !isDone);
  for (const {id, startedMs} of late)
    record.add(
      `${id} reached i-r1 ${Math.round(startedMs - ackMs)} ms after the ack`,
    );
  record.add(`answers: ${answers.map(({status}) => status).join(', ')}`);
  record.add(
    `requests that reached i-r1 later than ${DRAIN_MS} ms after the ack: ` +
      `${late.length}; cut off by its planned exit: ${cut.length}`,
  );
  return late.length > 0 ? BROKEN : HELD;
}

await runCase(dirname(fileURLToPath(import.meta.url)), play);
