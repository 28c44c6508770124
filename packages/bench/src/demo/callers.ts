/**
 * The callers of the demo: one sends plain HTTP and resends at once, the other
 * uses the caller library.
 */
import {readFile, rm, writeFile} from 'node:fs/promises';
import type {ClassLoad, LoadOptions} from '@sycamoreyoke/standins/load/options';
import {SendMode, loadSchema} from '@sycamoreyoke/standins/load/options';
import type {RequestRecord} from '@sycamoreyoke/standins/load/records';
import type {Launcher} from '../fleet/launcher.js';
import {
  DURATION_MS,
  PLAIN_RESENDS,
  RESULT_FOLDER,
  SURGE_FACTOR,
  TRIGGER_MS,
  TRIGGER_START_MS,
} from './constants.js';
import {DemoCaller, buildToken, listServiceOfClass} from './deployment.js';

type LoadSettings = Pick<
  ClassLoad,
  'requestClass' | 'perSecond' | 'timeoutMs'
> &
  Partial<ClassLoad>;

const PLAIN_SENDER = {mode: SendMode.PLAIN, resends: PLAIN_RESENDS} as const;
const LIBRARY_SENDER = {mode: SendMode.LIBRARY} as const;

const LOADS: Readonly<Record<DemoCaller, readonly LoadSettings[]>> = {
  [DemoCaller.SITE]: [
    {
      requestClass: 'read-status',
      perSecond: 60,
      timeoutMs: 1_000,
      ...PLAIN_SENDER,
    },
    {
      requestClass: 'refresh-status',
      perSecond: 60,
      timeoutMs: 1_000,
      ...PLAIN_SENDER,
    },
    {
      requestClass: 'donate',
      perSecond: 6,
      timeoutMs: 5_000,
      idempotencyKey: true,
      ...PLAIN_SENDER,
    },
  ],
  [DemoCaller.DESK]: [
    {
      requestClass: 'book-resole',
      perSecond: 10,
      timeoutMs: 5_000,
      ...LIBRARY_SENDER,
    },
    {
      requestClass: 'fetch-pattern',
      perSecond: 30,
      timeoutMs: 2_000,
      ...LIBRARY_SENDER,
    },
    {
      requestClass: 'fetch-photo',
      perSecond: 30,
      timeoutMs: 2_000,
      ...LIBRARY_SENDER,
    },
  ],
};

/** Public URLs of the nodes of each service. */
export type EntryUrls = Readonly<Record<string, string[]>>;

function buildOptions(caller: DemoCaller, entries: EntryUrls): LoadOptions {
  return loadSchema.parse({
    caller,
    token: buildToken(caller),
    entries,
    classes: LOADS[caller],
    serviceOfClass: listServiceOfClass(),
    durationMs: DURATION_MS,
    surge: {
      startMs: TRIGGER_START_MS,
      durationMs: TRIGGER_MS,
      factor: SURGE_FACTOR,
    },
  });
}

/** Receives each line that a caller prints. */
export type LineObserver = (caller: DemoCaller, line: string) => void;

/** Runs each caller in a process of its own and returns all records. */
export async function runCallers(
  launcher: Launcher,
  entries: EntryUrls,
  observe: LineObserver,
): Promise<RequestRecord[]> {
  const lists = await Promise.all(
    Object.values(DemoCaller).map((caller) =>
      runCaller(launcher, caller, entries, (line) => observe(caller, line)),
    ),
  );
  return lists.flat();
}

async function runCaller(
  launcher: Launcher,
  caller: DemoCaller,
  entries: EntryUrls,
  observe: (line: string) => void,
): Promise<RequestRecord[]> {
  const planPath = `${RESULT_FOLDER}/${caller}-plan.json`;
  const recordsPath = `${RESULT_FOLDER}/${caller}-records.json`;
  await writeFile(planPath, JSON.stringify(buildOptions(caller, entries)));
  // Otherwise a run that fails would read the records of an earlier one.
  await rm(recordsPath, {force: true});
  await launcher.run(
    `load-${caller}`,
    [
      'load',
      '--plan',
      planPath,
      '--out',
      recordsPath,
      '--data-centre',
      'oviedo',
    ],
    observe,
  );
  return JSON.parse(await readFile(recordsPath, 'utf8')) as RequestRecord[];
}
