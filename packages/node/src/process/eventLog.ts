/** Writes events to the log, one JSON line each. */
import log from 'loglevel';
import type {LogLevelDesc} from 'loglevel';
import type {EventSink, TimelineEvent} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';

const ERROR_CODES = new Set([
  EventCode.INVARIANT_VIOLATED,
  EventCode.PROCESS_FAILED,
]);

const WARNING_CODES = new Set([
  EventCode.NODE_PAUSED,
  EventCode.MEMBER_SUSPECT,
  EventCode.MEMBER_DEAD,
  EventCode.CONFIGURATION_STALE_REFUSED,
  EventCode.UPSTREAM_CRASHED,
  EventCode.REQUEST_SUSPECTED,
  EventCode.PLATFORM_UNAVAILABLE,
  EventCode.MESSAGE_MALFORMED,
]);

/**
 * Range of the event codes that concern a single request. They are logged at
 * level debug, because they would flood the log at level info.
 */
const FIRST_REQUEST_CODE = 1100;
const LAST_REQUEST_CODE = 1399;

function isRequestCode(code: EventCode): boolean {
  const codeNumber = Number(code);
  return codeNumber >= FIRST_REQUEST_CODE && codeNumber <= LAST_REQUEST_CODE;
}

/** Renders an event as one JSON line. */
export function formatEvent(event: TimelineEvent): string {
  return JSON.stringify({
    time: new Date(event.time.wallMs).toISOString(),
    counter: event.time.counter,
    process: event.process,
    event: event.code,
    name: EventCode[event.code],
    ...(event.requestId === undefined ? {} : {requestId: event.requestId}),
    ...event.details,
  });
}

/** Creates an event sink that writes to standard error. */
export function createEventLog(level: LogLevelDesc): EventSink {
  log.methodFactory = () => (line: string) => {
    process.stderr.write(`${line}\n`);
  };
  log.setLevel(level, false);
  return (event) => {
    // Check the level first, since formatting each request event is expensive.
    if (isRequestCode(event.code)) {
      if (log.getLevel() <= log.levels.DEBUG) log.debug(formatEvent(event));
    } else if (ERROR_CODES.has(event.code)) {
      log.error(formatEvent(event));
    } else if (WARNING_CODES.has(event.code)) {
      log.warn(formatEvent(event));
    } else {
      log.info(formatEvent(event));
    }
  };
}
