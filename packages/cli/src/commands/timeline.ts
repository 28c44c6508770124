import type {TimelineEvent} from 'sycamoreyoke/process/events';
import {z} from 'zod';
import {ExitCode} from '../exitCodes.js';
import {readFleet, readTimeline} from '../fleet.js';
import {logsSetting, readLogFiles} from '../logFiles.js';
import {jsonSetting, nodesSetting} from '../nodesSetting.js';
import {renderEvent} from '../renderEvents.js';
import {createSettingsCommand} from '../settingsCommand.js';

const schema = z.strictObject({
  nodes: nodesSetting.optional(),
  logs: logsSetting,
  code: z.coerce
    .number()
    .int()
    .optional()
    .describe('only events with this code; 1500 selects all of 15xx'),
  requests: z
    .stringbool()
    .default(false)
    .describe('true: include events of single requests; default false'),
  limit: z.coerce
    .number()
    .int()
    .min(1)
    .max(1_000_000)
    .default(1_000)
    .describe('latest events to print, 1 to 1,000,000; default 1,000'),
  json: jsonSetting,
});

/** Event codes 11xx and 12xx concern single requests. */
const REQUEST_CODES = {first: 1100, last: 1299} as const;

function isRequestCode(code: number): boolean {
  return code >= REQUEST_CODES.first && code <= REQUEST_CODES.last;
}

/** A filter that is a multiple of 100 matches all codes of its hundred. */
function isMatchingCode(code: number, codeFilter: number): boolean {
  const isHundred = codeFilter % 100 === 0;
  return isHundred
    ? Math.floor(code / 100) === codeFilter / 100
    : code === codeFilter;
}

async function readNodeEvents(
  nodes: readonly string[],
): Promise<TimelineEvent[]> {
  const reports = await readFleet(nodes);
  const urls = reports.filter(({status}) => status).map(({url}) => url);
  if (urls.length === 0) process.exitCode = ExitCode.UNAVAILABLE;
  return readTimeline(urls);
}

/** Merges the events of all processes into one timeline. */
export const timelineCommand = createSettingsCommand({
  name: 'timeline',
  description: 'Merge the events of all nodes into one timeline',
  examples: [
    'sycamoreyoke timeline --nodes http://10.0.0.1:9100 --code 1500',
    'sycamoreyoke timeline --logs node-1.log,node-2.log',
  ],
  schema,
  async run({nodes, logs, code, requests, limit, json}) {
    const allEvents = logs
      ? readLogFiles(logs)
      : await readNodeEvents(nodes ?? []);
    const events = allEvents
      .filter((event) => requests || !isRequestCode(event.code))
      .filter((event) => code === undefined || isMatchingCode(event.code, code))
      .slice(-limit);
    const lines = json
      ? [JSON.stringify(events, null, 2)]
      : events.map(renderEvent);
    process.stdout.write(`${lines.join('\n')}\n`);
  },
});
