import {mkdirSync, writeFileSync} from 'node:fs';
import {Worker} from 'node:worker_threads';
import {DEPLOYMENTS} from './deployments.js';
import type {PolicyJob, PolicyResult} from './jobs.js';
import {ScenarioName, createJobs} from './jobs.js';
import {renderPlot} from './plot.js';
import {renderReport} from './report.js';

const RESULT_FOLDER = 'results/policy';
/** Concurrent runs; each takes one core and up to 500 MB. */
const WORKER_COUNT = 6;
const DEFAULT_SEEDS = [1, 2, 3];

/**
 * Runs the policy measurement and writes the report, the raw results and the
 * plots. Flags: `--seeds 1,2,3` sets the seeds, and `--only TEXT` selects the
 * variants whose name contains the text.
 */
export async function runMeasurement(flags: readonly string[]): Promise<void> {
  const seeds =
    readFlag(flags, '--seeds')?.split(',').map(Number) ?? DEFAULT_SEEDS;
  const nameFilter = readFlag(flags, '--only') ?? '';
  const jobs = createJobs(seeds).filter(({variant}) =>
    variant.includes(nameFilter),
  );
  const results = sortResults(jobs, await runJobs(jobs));
  mkdirSync(RESULT_FOLDER, {recursive: true});
  const report = renderReport(results);
  writeFileSync(`${RESULT_FOLDER}/policy.md`, report);
  writeFileSync(
    `${RESULT_FOLDER}/policy.json`,
    JSON.stringify(results, encodeMap),
  );
  for (const {name} of DEPLOYMENTS) {
    const shownResults = results.filter(
      ({job}) => job.deployment === name && job.scenario === ScenarioName.MAIN,
    );
    const file = `${RESULT_FOLDER}/${name.toLowerCase()}.svg`;
    writeFileSync(file, renderPlot(name, shownResults));
  }
  console.log(report);
}

/** Replacer for JSON.stringify: writes a map as a list of its entries. */
function encodeMap(_key: string, value: unknown): unknown {
  return value instanceof Map ? [...(value as Map<unknown, unknown>)] : value;
}

function readFlag(flags: readonly string[], name: string): string | undefined {
  const index = flags.indexOf(name);
  return index < 0 ? undefined : flags[index + 1];
}

async function runJobs(jobs: readonly PolicyJob[]): Promise<PolicyResult[]> {
  const results: PolicyResult[] = [];
  const queue = [...jobs];
  const runNext = async (): Promise<void> => {
    for (let job = queue.shift(); job; job = queue.shift()) {
      results.push(await runInWorker(job));
      console.error(`${results.length}/${jobs.length} ${job.variant}`);
    }
  };
  await Promise.all(Array.from({length: WORKER_COUNT}, runNext));
  return results;
}

/** Sorts results, which workers return in any order, by their jobs. */
function sortResults(
  jobs: readonly PolicyJob[],
  results: readonly PolicyResult[],
): PolicyResult[] {
  const indexByJob = new Map(
    jobs.map((job, index) => [JSON.stringify(job), index] as const),
  );
  const getIndex = ({job}: PolicyResult): number =>
    indexByJob.get(JSON.stringify(job)) ?? 0;
  return [...results].sort((a, b) => getIndex(a) - getIndex(b));
}

function runInWorker(job: PolicyJob): Promise<PolicyResult> {
  return new Promise((resolve, reject) => {
    const file = new URL('./policyWorker.js', import.meta.url);
    const worker = new Worker(file, {workerData: job});
    worker.once('message', resolve);
    worker.once('error', reject);
  });
}
