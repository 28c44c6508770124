/** Reads events from the log files of nodes. */
import {readFileSync} from 'node:fs';
import type {TimelineEvent} from 'sycamoreyoke/process/events';
import {z} from 'zod';
import {mergeTimelines} from './fleet.js';

/** Setting: comma-separated paths of log files. */
export const logsSetting = z
  .string()
  .transform((text) => text.split(','))
  .optional()
  .describe('log files of nodes, separated by commas');

/** Fields common to all events; any other field is a detail of its event. */
const COMMON_FIELDS = {
  time: z.iso.datetime(),
  process: z.string(),
  event: z.int(),
  name: z.string(),
  requestId: z.string().optional(),
} as const;

const logLineSchema = z
  .object(COMMON_FIELDS)
  .catchall(z.union([z.string(), z.number(), z.boolean()]));

/** Reads the events of all files, oldest first. Ignores other lines. */
export function readLogFiles(paths: readonly string[]): TimelineEvent[] {
  return mergeTimelines(
    paths.map((path) => parseLog(readFileSync(path, 'utf8'))),
  );
}

/**
 * Parses the events in a log. A line may start with a prefix added by a log
 * collector; lines without an event are ignored.
 */
export function parseLog(content: string): TimelineEvent[] {
  return content
    .split('\n')
    .map(parseLine)
    .filter((event) => event !== undefined);
}

function parseLine(line: string): TimelineEvent | undefined {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  try {
    const parsed = logLineSchema.safeParse(JSON.parse(line.slice(start)));
    return parsed.data && createEvent(parsed.data);
  } catch (error) {
    // Not JSON: other programs may write to the same stream.
    if (error instanceof SyntaxError) return undefined;
    throw error;
  }
}

function createEvent(line: z.output<typeof logLineSchema>): TimelineEvent {
  const {time, process, event, requestId} = line;
  const details: Record<string, string | number | boolean> = {};
  for (const [key, value] of Object.entries(line)) {
    if (!(key in COMMON_FIELDS) && value !== undefined) details[key] = value;
  }
  return {
    time: {wallMs: Date.parse(time), counter: 0},
    process,
    code: event,
    details,
    ...(requestId === undefined ? {} : {requestId}),
  };
}

/**
 * Returns the events of a request and of all calls made to serve it, directly
 * or indirectly.
 */
export function collectRequestEvents(
  events: readonly TimelineEvent[],
  requestId: string,
): TimelineEvent[] {
  const requestIds = new Set([requestId]);
  for (let previousSize = 0; previousSize !== requestIds.size;) {
    previousSize = requestIds.size;
    for (const event of events) {
      const parent = event.details['parent'];
      const isCall = typeof parent === 'string' && requestIds.has(parent);
      if (isCall && event.requestId !== undefined)
        requestIds.add(event.requestId);
    }
  }
  return events.filter(
    (event) => event.requestId !== undefined && requestIds.has(event.requestId),
  );
}
