// A node acknowledges that its backend has left and is then started again, as
// in a rolling restart. It has kept no note of the leaving, so a heartbeat from
// before it, which arrives late, makes the node give the backend work again.
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  BROKEN,
  HELD,
  createConfiguration,
  hasTrouble,
  runCase,
  sleep,
} from '../harness.mjs';

const HOST = 'jepu9.example';
const DRAIN_MS = 2_000;
const STABLE_MS = 3_000;
/** From the ack of the leaving to the SIGTERM of the node. */
const STOP_AFTER_MS = 200;
/** A heartbeat may arrive seconds late; this is counted from its sending. */
const LATE_MS = 3_500;
/** Bookings are sent from then on after the ack. */
const BOOKINGS_START_MS = 7_000;
const BOOKINGS = 12;
const GAP_MS = 150;
/** The backend serves for `drain` after the ack "and a little longer". */
const BACKEND_EXIT_MS = 8_000;

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

  backend.stopHeartbeats();
  const lateHeartbeat = backend.createHeartbeat();
  const sentMs = performance.now();
  record.add('backend i-r1 sends a heartbeat (ready), which is delayed');
  const ackStatus = await backend.leave();
  const ackMs = performance.now();
  record.add(`node acknowledges DELETE of i-r1 with ${ackStatus}`);
  if (ackStatus !== 200) throw new Error('the leaving is not acknowledged');
  if (hasTrouble) {
    await sleep(STOP_AFTER_MS);
    leaving.process.kill('SIGTERM');
    record.add(`platform sends SIGTERM to ${leaving.name}`);
    const {code, signal} = await leaving.ended;
    record.add(`${leaving.name} ended with ${code ?? signal}`);
    leaving.startNode();
    await leaving.waitForReady();
  }
  await sleep(Math.max(0, sentMs + LATE_MS - performance.now()));
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
