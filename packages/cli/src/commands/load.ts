import {readFile, writeFile} from 'node:fs/promises';
import {SycamoreyokeCaller} from '@sycamoreyoke/caller/caller';
import {createLibrarySender} from '@sycamoreyoke/standins/load/librarySender';
import type {LoadOptions} from '@sycamoreyoke/standins/load/options';
import {loadSchema} from '@sycamoreyoke/standins/load/options';
import type {
  ClassSummary,
  RequestRecord,
} from '@sycamoreyoke/standins/load/records';
import {computeSummaries} from '@sycamoreyoke/standins/load/records';
import {runLoad} from '@sycamoreyoke/standins/load/runLoad';
import {ValidationError} from 'sycamoreyoke/errors';
import {createRandom} from 'sycamoreyoke/random';
import {parse as parseYaml} from 'yaml';
import {z} from 'zod';
import {ExitCode} from '../exitCodes.js';
import {jsonSetting} from '../nodesSetting.js';
import {renderTable} from '../renderTable.js';
import {createSettingsCommand} from '../settingsCommand.js';

const schema = z.strictObject({
  plan: z.string().min(1).describe('file of the load plan, JSON or YAML'),
  out: z
    .string()
    .min(1)
    .optional()
    .describe('file for the record of every request, as JSON'),
  dataCentre: z
    .string()
    .default('default')
    .describe('data centre of the caller; its own nodes are called first'),
  seed: z.coerce
    .number()
    .int()
    .default(1)
    .describe('seed for the choice of nodes; default 1'),
  json: jsonSetting,
});

const COLUMN_TITLES = [
  'class',
  'offered',
  'whole',
  'shed',
  'unknown',
  'failed',
  'foreign',
  'p50 ms',
  'p99 ms',
  'max retries',
];

/**
 * Reads and validates a load plan. Throws a `ValidationError` that lists every
 * fault.
 */
export async function loadPlan(path: string): Promise<LoadOptions> {
  const result = loadSchema.safeParse(await parsePlan(path));
  if (result.success) return result.data;
  throw new ValidationError(
    `load plan "${path}"`,
    result.error.issues.map((issue) => ({
      place: issue.path.join('.') || 'plan',
      message: issue.message,
    })),
  );
}

async function parsePlan(path: string): Promise<unknown> {
  try {
    // Every JSON document is also a YAML document.
    return parseYaml(await readFile(path, 'utf8'));
  } catch (error) {
    const {message} = error as Error;
    throw new ValidationError(`load plan "${path}"`, [
      {place: 'file', message},
    ]);
  }
}

/** Renders the summaries as a table with one row per class. */
export function renderSummaries(summaries: readonly ClassSummary[]): string {
  return renderTable(
    COLUMN_TITLES,
    summaries.map((summary) => [
      summary.requestClass,
      summary.offered,
      summary.whole,
      summary.shed,
      summary.unknown,
      summary.failed,
      summary.foreign,
      summary.p50Ms,
      summary.p99Ms,
      summary.maxRetries,
    ]),
  );
}

function reportProgress(records: readonly RequestRecord[]): void {
  const wholeCount = records.filter((record) => record.isWhole).length;
  process.stderr.write(
    `${records.length} requests ended, ${wholeCount} with a complete response\n`,
  );
}

/** Sends the load of a plan and prints a summary of each request class. */
export const loadCommand = createSettingsCommand({
  name: 'load',
  description:
    'Send the load of a plan and report by request class; exit code 1 when a ' +
    'response belonged to another request',
  examples: ['sycamoreyoke load --plan plan.yaml --out records.json'],
  schema,
  async run({plan, out, dataCentre, seed, json}) {
    const options = await loadPlan(plan);
    const caller = new SycamoreyokeCaller({
      caller: options.caller,
      token: options.token,
      entries: Object.values(options.entries).flat(),
      dataCentre,
    });
    process.stderr.write('started\n');
    const records = await runLoad(
      options,
      createRandom(seed),
      createLibrarySender(caller),
      reportProgress,
    );
    await caller.close();
    if (out !== undefined) await writeFile(out, JSON.stringify(records));
    const summaries = computeSummaries(records);
    const output = json
      ? JSON.stringify(summaries, null, 2)
      : renderSummaries(summaries);
    process.stdout.write(`${output}\n`);
    if (summaries.some(({foreign}) => foreign > 0)) {
      process.exitCode = ExitCode.FINDINGS;
    }
  },
});
