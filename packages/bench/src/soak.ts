/** Long run with faults: `npm run soak -- --seed N --minutes M`. */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {setTimeout as wait} from 'node:timers/promises';
import {SycamoreyokeCaller} from '@sycamoreyoke/caller/caller';
import {readTimeline} from '@sycamoreyoke/cli/fleet';
import {renderEvent} from '@sycamoreyoke/cli/renderEvents';
import {SycamoreyokeError} from 'sycamoreyoke/errors';
import {createRandom} from 'sycamoreyoke/random';
import {readSettings} from 'sycamoreyoke/settings';
import {Outcome} from 'sycamoreyoke/types';
import {Agent} from 'undici';
import {z} from 'zod';
import {ServiceFleet} from './fleet/serviceFleet.js';
import type {Violation} from './soak/checks.js';
import {
  RECOVERY_MS,
  checkRecovery,
  checkRuns,
  checkStops,
} from './soak/checks.js';
import {Collector} from './soak/collector.js';
import {FaultRunner} from './soak/faultRunner.js';
import {buildSchedule} from './soak/faults.js';
import type {SoakRecord} from './soak/load.js';
import {SoakLoad} from './soak/load.js';

const settingsSchema = z.strictObject({
  seed: z.coerce.number().int().min(0).max(2_147_483_647).default(1),
  minutes: z.coerce.number().min(0.5).max(120).default(1),
});

const BOOKING = 'booking-and-donations';
const TRACKING = 'tracking';
const CALLER = 'volunteer-desk';
const TOKEN = `example-token-of-${CALLER}`;
const MS_PER_MINUTE = 60_000;
const READY_MS = 30_000;
const GAP_MS = 1_000;
/** Load after the last fault: the recovery and requests that follow it. */
const TAIL_MS = RECOVERY_MS + 4_000;
const MAX_PRINTED = 5;
const MAX_PRINTED_EVENTS = 40;

function createCaller(fleet: ServiceFleet, service: string) {
  return new SycamoreyokeCaller({
    caller: CALLER,
    token: TOKEN,
    entries: fleet.listEntries(service),
    dataCentre: 'oviedo',
  });
}

async function checkNodes(
  fleet: ServiceFleet,
  collector: Collector,
): Promise<Violation[]> {
  const statuses = await Promise.all(
    fleet.seats.map((seat) => fleet.readStatus(seat).catch(() => undefined)),
  );
  const versions = statuses.map((status) => status?.configurationVersion ?? -1);
  const violations: Violation[] = [];
  console.log(`node ends: ${fleet.nodeEnds.join(', ')}`);
  console.log(`configuration versions: ${versions.join(' ')}`);
  if (new Set(versions).size > 1 || versions.includes(-1)) {
    violations.push({rule: `versions differ: ${versions.join(' ')}`});
  }
  const count = collector.countViolations();
  console.log(`invariant violations: ${count}`);
  if (count > 0) violations.push({rule: `${count} invariant violations`});
  return violations;
}

function printOutcomes(records: readonly SoakRecord[], faultsEndMs: number) {
  for (const name of new Set(records.map((each) => each.requestClass))) {
    const own = records.filter((each) => each.requestClass === name);
    const count = (outcome: Outcome) =>
      own.filter((each) => each.outcome === outcome).length;
    const whole = own.filter((each) => each.isWhole).length;
    console.log(
      `${name}: ${own.length} sent, ${whole} whole, ` +
        `${count(Outcome.NOT_RUN)} not run, ${count(Outcome.UNKNOWN)} unknown`,
    );
  }
  const failed = records.filter((each) => !each.isWhole);
  const lastMs = Math.max(faultsEndMs, ...failed.map((each) => each.startMs));
  console.log(
    `last failed request started ${Math.round(lastMs - faultsEndMs)} ms after the faults`,
  );
}

async function printViolations(
  fleet: ServiceFleet,
  violations: readonly Violation[],
): Promise<void> {
  const urls = fleet.seats.map(
    ({adminPort}) => `http://127.0.0.1:${adminPort}`,
  );
  const events = await readTimeline(urls);
  console.log(`${violations.length} failures`);
  for (const {rule, requestId} of violations.slice(0, MAX_PRINTED)) {
    console.log(`FAILED ${requestId ?? ''} ${rule}`);
    const own = events.filter(
      (event) => requestId !== undefined && event.requestId === requestId,
    );
    for (const event of own.slice(0, MAX_PRINTED_EVENTS)) {
      console.log(`  ${renderEvent(event)}`);
    }
  }
  for (const {rule, requestId} of violations.slice(MAX_PRINTED)) {
    console.log(`FAILED ${requestId ?? ''} ${rule}`);
  }
}

/** Runs faults until the time is used up; returns when the last one ended. */
async function runFaults(
  runner: FaultRunner,
  seed: number,
  seats: number,
  load: SoakLoad,
  durationMs: number,
): Promise<number> {
  const steps = Math.ceil(durationMs / GAP_MS);
  for (const faults of buildSchedule(createRandom(seed), steps, seats)) {
    await wait(GAP_MS);
    if (load.readMs() >= durationMs) break;
    await runner.run(faults);
  }
  return load.readMs();
}

async function runSoak(
  fleet: ServiceFleet,
  folder: string,
  seed: number,
  durationMs: number,
): Promise<readonly Violation[]> {
  await fleet.start([BOOKING, TRACKING]);
  await fleet.waitForReady(READY_MS);
  const dispatcher = new Agent();
  const callers = {
    'book-resole': createCaller(fleet, BOOKING),
    'read-status': createCaller(fleet, TRACKING),
  };
  const load = new SoakLoad({
    callers,
    dispatcher,
    claimEntries: fleet.listEntries(BOOKING),
    claimHeaders: {
      'sycamoreyoke-caller': CALLER,
      authorization: `Bearer ${TOKEN}`,
    },
    random: createRandom(seed + 1),
  });
  const collector = new Collector(fleet);
  const runner = new FaultRunner(fleet, collector, folder, () => load.readMs());
  collector.start();
  const sending = load.run();
  const seats = fleet.seats.length;
  const faultsMs = durationMs - TAIL_MS;
  const endMs = await runFaults(runner, seed, seats, load, faultsMs);
  await wait(TAIL_MS);
  load.stop();
  await sending;
  collector.stop();
  await collector.collect();
  printOutcomes(load.records, endMs);
  await Promise.all([
    dispatcher.close(),
    ...Object.values(callers).map((caller) => caller.close()),
  ]);
  return [
    ...runner.failures.map((rule) => ({rule})),
    ...checkRuns(load.records, collector.countRuns()),
    ...checkRecovery(load.records, endMs),
    ...checkStops(load.records, runner.records),
    ...(await checkNodes(fleet, collector)),
  ];
}

async function runMain(args: readonly string[]): Promise<void> {
  const subject = 'settings of "soak"';
  const {seed, minutes} = readSettings(
    subject,
    settingsSchema,
    args,
    process.env,
  );
  const folder = mkdtempSync(`${tmpdir()}/soak-`);
  console.log(`seed ${seed}, ${minutes} minutes, logs in ${folder}`);
  const fleet = new ServiceFleet(folder, ['--service-time-ms', '20']);
  try {
    const durationMs = minutes * MS_PER_MINUTE;
    const violations = await runSoak(fleet, folder, seed, durationMs);
    if (violations.length > 0) {
      await printViolations(fleet, violations);
      process.exitCode = 1;
    }
  } finally {
    await fleet.stop();
  }
  console.log(process.exitCode === 1 ? `seed ${seed} failed` : 'all checks ok');
}

try {
  await runMain(process.argv.slice(2));
} catch (error) {
  if (!(error instanceof SycamoreyokeError)) throw error;
  console.error(error.message);
  process.exitCode = 1;
}
