import {defineCommand} from 'citty';
import type {TimelineEvent} from 'sycamoreyoke/process/events';
import {readSettings} from 'sycamoreyoke/settings';
import {ValidationError} from 'sycamoreyoke/errors';
import {z} from 'zod';
import {ExitCode} from '../exitCodes.js';
import {readFleet, readTimeline} from '../fleet.js';
import {logsSetting, readLogFiles, collectRequestEvents} from '../logFiles.js';
import {jsonSetting, nodesSetting} from '../nodesSetting.js';
import {describeRefusal} from '../refusalSummary.js';
import {renderExplanation} from '../renderEvents.js';

const settingsSchema = z.strictObject({
  nodes: nodesSetting.optional(),
  logs: logsSetting,
  json: jsonSetting,
});

/**
 * True for events of the request and of the calls made to serve it: their ids
 * start with its id and a hyphen.
 */
function isEventOf(event: TimelineEvent, requestId: string): boolean {
  return (
    event.requestId === requestId ||
    (event.requestId?.startsWith(`${requestId}-`) ?? false)
  );
}

async function readEvents(nodes: readonly string[], requestId: string) {
  const reports = await readFleet(nodes);
  const urls = reports.filter(({status}) => status).map(({url}) => url);
  const events = await readTimeline(urls);
  return events.filter((event) => isEventOf(event, requestId));
}

async function explainRequest(requestId: string, args: readonly string[]) {
  const {nodes, logs, json} = readSettings(
    'settings of "explain"',
    settingsSchema,
    args,
    process.env,
  );
  const events = logs
    ? collectRequestEvents(readLogFiles(logs), requestId)
    : await readEvents(nodes ?? [], requestId);
  const firstEvent = events[0];
  if (!firstEvent) {
    process.stderr.write(`no events found for request "${requestId}"\n`);
    process.exitCode = ExitCode.FINDINGS;
    return;
  }
  const refusal = describeRefusal(events, requestId);
  const lines = json
    ? [JSON.stringify(events, null, 2)]
    : [
        ...events.map((event) =>
          renderExplanation(event, firstEvent.time.wallMs),
        ),
        ...(refusal === undefined ? [] : [refusal]),
      ];
  process.stdout.write(`${lines.join('\n')}\n`);
}

/** Shows where a request entered, which decisions were made and why. */
export const explainCommand = defineCommand({
  meta: {
    name: 'explain',
    description:
      'Explain what happened to one request\n  Example: sycamoreyoke explain 3f2a --nodes http://10.0.0.1:9100\n  Example: sycamoreyoke explain 3f2a --logs node-1.log,node-2.log',
  },
  args: {
    request: {type: 'positional', description: 'request id', required: true},
    nodes: {
      type: 'string',
      description: 'admin URLs of nodes (SYCAMOREYOKE_NODES)',
    },
    logs: {
      type: 'string',
      description: 'log files of nodes (SYCAMOREYOKE_LOGS)',
    },
    json: {type: 'string', description: 'true: JSON (SYCAMOREYOKE_JSON)'},
  },
  async run({args, rawArgs}) {
    const flags = rawArgs.filter((argument) => argument !== args.request);
    try {
      await explainRequest(args.request, flags);
    } catch (error) {
      if (!(error instanceof ValidationError)) throw error;
      process.stderr.write(`${error.message}\n`);
      process.exitCode = ExitCode.USAGE;
    }
  },
});
