/**
 * Runs a small deployment through an overload, a killed node and a drained
 * upstream, and checks the invariants. Exits with 0 if all of them held.
 */
import {mkdir} from 'node:fs/promises';
import {setTimeout as wait} from 'node:timers/promises';
import type {Execution} from '@sycamoreyoke/standins/upstream/executions';
import {request} from 'undici';
import {runCallers} from './demo/callers.js';
import {checkEvidence} from './demo/checks.js';
import {Collector} from './demo/collector.js';
import {
  DRAIN_AT_MS,
  KILL_AT_MS,
  RESULT_FOLDER,
  SLOW_PHOTOS_MS,
  STOP_TIMEOUT_MS,
  TRIGGER_END_MS,
  TRIGGER_START_MS,
} from './demo/constants.js';
import {DemoCaller, SERVICES, listClasses} from './demo/deployment.js';
import type {DemoPair} from './demo/fleet.js';
import {DemoFleet} from './demo/fleet.js';
import {renderProgress, renderSummary} from './demo/report.js';
import {Launcher} from './fleet/launcher.js';

const TIMELINE_PATH = `${RESULT_FOLDER}/timeline.jsonl`;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function findPair(fleet: DemoFleet, service: string): DemoPair {
  const [pair] = fleet.findPairs(service);
  if (!pair) throw new Error(`service "${service}" has no node`);
  return pair;
}

/**
 * Slows photos down, kills a node and drains an upstream at the times set in
 * constants.ts. Returns the exit code of the drained node.
 */
async function runFaults(
  fleet: DemoFleet,
  collector: Collector,
): Promise<number | null> {
  const faultsStartMs = performance.now();
  const waitUntil = (atMs: number) =>
    wait(Math.max(0, faultsStartMs + atMs - performance.now()));
  const photosService = SERVICES.find(({name}) => name === 'photos');
  await waitUntil(TRIGGER_START_MS);
  print(
    `trigger started: load surge with resends, photos take ${SLOW_PHOTOS_MS} ms`,
  );
  await fleet.setBehaviour('photos', {serviceTimeMs: SLOW_PHOTOS_MS});
  await waitUntil(TRIGGER_END_MS);
  const serviceTimeMs = photosService?.serviceTimeMs ?? 0;
  await fleet.setBehaviour('photos', {serviceTimeMs});
  print('trigger ended');
  await waitUntil(KILL_AT_MS);
  const killed = findPair(fleet, 'pattern-library');
  await collector.collect();
  await fleet.kill(killed);
  print(`killed ${killed.node}`);
  await waitUntil(DRAIN_AT_MS);
  const drained = findPair(fleet, 'booking-and-donations');
  await collector.collect();
  const drainStartMs = performance.now();
  const exitCode = await fleet.drain(drained);
  const tookMs = Math.round(performance.now() - drainStartMs);
  print(
    `drained ${drained.node} in ${tookMs} ms, exit code ${exitCode ?? 'none'}`,
  );
  return exitCode;
}

async function listExecutions(fleet: DemoFleet): Promise<Execution[]> {
  const lists = await Promise.all(
    fleet.pairs.map(async ({upstreamUrl}) => {
      const response = await request(`${upstreamUrl}/stand-in/executions`);
      const content = await response.body.json();
      return (content as {executions: Execution[]}).executions;
    }),
  );
  return lists.flat();
}

/** Runs the demo; returns true if every invariant held. */
async function runDemo(launcher: Launcher): Promise<boolean> {
  const launchMs = performance.now();
  print('starting the platform, 8 upstreams and 8 nodes');
  const fleet = await DemoFleet.start(launcher);
  const readyMs = performance.now();
  print(`ready after ${Math.round(readyMs - launchMs)} ms`);
  const collector = new Collector(fleet.pairs.map(({self}) => self));
  const latestLines = new Map<string, string>();
  let resolveStarted = () => undefined as void;
  const started = new Promise<void>((resolve) => (resolveStarted = resolve));
  collector.start();
  const [records, drainExitCode] = await Promise.all([
    runCallers(launcher, fleet.listEntries(), (caller, line) => {
      if (line === 'started' && caller === DemoCaller.DESK) resolveStarted();
      if (!line.endsWith(' with a complete response')) return;
      latestLines.set(caller, line);
      if (caller !== DemoCaller.DESK) return;
      print(renderProgress(latestLines, performance.now() - readyMs));
    }),
    started.then(() => runFaults(fleet, collector)),
  ]).finally(() => collector.stop());
  await collector.collect();
  await collector.write(TIMELINE_PATH);
  const classes = listClasses();
  const evidence = {
    records,
    executions: await listExecutions(fleet),
    events: collector.listEvents(),
    drainExitCode,
    timelineGaps: collector.countGaps(),
    violationCounts: collector.countViolations(),
  };
  const checks = checkEvidence(evidence, classes);
  print(`\n${renderSummary(evidence, classes, checks)}`);
  print(`timeline: ${TIMELINE_PATH} (${evidence.events.length} events)`);
  return checks.every(({violations}) => violations === 0);
}

await mkdir(RESULT_FOLDER, {recursive: true});
const launcher = new Launcher(RESULT_FOLDER, STOP_TIMEOUT_MS);
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => {
    void launcher.stopAll().then(() => process.exit(1));
  });
}
let hasPassed = false;
try {
  hasPassed = await runDemo(launcher);
} catch (error) {
  process.stderr.write(`demo failed: ${(error as Error).stack ?? ''}\n`);
} finally {
  await launcher.stopAll();
}
process.exit(hasPassed ? 0 : 1);
