import type {HybridClock, HybridTime} from './hybridClock.js';

/** Event codes, documented in docs/events.md. */
export enum EventCode {
  NODE_STARTED = 1000,
  NODE_READY = 1001,
  NODE_LEAVING = 1002,
  NODE_STOPPED = 1003,
  NODE_PAUSED = 1004,
  NODE_WARMED = 1005,
  SETTINGS_RELOADED = 1006,
  PROCESS_FAILED = 1007,
  REQUEST_ADMITTED = 1100,
  REQUEST_REFUSED = 1102,
  REQUEST_STARTED = 1103,
  REQUEST_FINISHED = 1104,
  REQUEST_JOINED = 1105,
  REQUEST_REPLAYED = 1106,
  REQUEST_MALFORMED = 1107,
  REQUEST_CANCELLED = 1108,
  REQUEST_UNROUTED = 1109,
  GATE_REFUSED = 1110,
  UPSTREAM_RUN_FAILED = 1111,
  REQUEST_UNAUTHENTICATED = 1112,
  REQUEST_NOT_BEGUN = 1120,
  REQUEST_OVER_ALLOTMENT = 1113,
  CALL_ROUTED = 1200,
  CALL_RETRIED = 1201,
  CALL_COMPLETED = 1202,
  CALL_REFUSED_EARLY = 1203,
  RESPONSE_DROPPED = 1204,
  CONNECTION_REPLACED = 1205,
  CLIENT_CONNECTION_CUT = 1206,
  CLIENT_CONNECTION_DROPPED = 1207,
  FRAME_SKIPPED = 1208,
  CLAIM_MADE = 1400,
  CLAIM_REFUSED = 1401,
  CLAIM_RELEASED = 1402,
  MEMBER_JOINED = 1500,
  MEMBER_SUSPECT = 1501,
  MEMBER_LEAVING = 1502,
  MEMBER_DEAD = 1503,
  LINK_UP = 1504,
  LINK_DOWN = 1505,
  NODE_ROW_DELAYED = 1506,
  LINK_CLOSING = 1507,
  LINK_RESUMED = 1508,
  LINK_CALLS_FORGOTTEN = 1509,
  CONFIGURATION_ADOPTED = 1600,
  CONFIGURATION_STALE_REFUSED = 1601,
  CONFIGURATION_ASKED = 1602,
  CONFIGURATION_ODD = 1603,
  UPSTREAM_CRASHED = 1700,
  REQUEST_SUSPECTED = 1701,
  UPSTREAM_PRESENT = 1702,
  UPSTREAM_DRAINING = 1703,
  UPSTREAM_REPLACED = 1704,
  HEARTBEAT_REFUSED = 1705,
  CRASH_ROW_DELAYED = 1706,
  UPSTREAM_UNREACHABLE = 1707,
  LEAVING_ROW_DELAYED = 1708,
  LEAVING_LEARNED = 1709,
  UPSTREAM_PACED = 1710,
  UPSTREAM_CHECKED = 1711,
  THROTTLE_CHANGED = 1720,
  PLATFORM_UNAVAILABLE = 1800,
  PLATFORM_AVAILABLE = 1801,
  MESSAGE_MALFORMED = 1802,
  STORE_HISTORY_LOST = 1803,
  LOG_LINES_DROPPED = 1804,
  STORE_CALL_FAILED = 1805,
  STORE_RESTORED = 1806,
  ROW_REWRITTEN = 1807,
  INVARIANT_VIOLATED = 1900,
}

/** Named values of an event. */
export type EventDetails = Readonly<Record<string, string | number | boolean>>;

/** Recorded event with its time and process. */
export interface TimelineEvent {
  readonly time: HybridTime;
  readonly process: string;
  readonly code: EventCode;
  readonly requestId?: string;
  readonly details: EventDetails;
}

/** Records an event; `requestId` is set if it belongs to one request. */
export type EventRecorder = (
  code: EventCode,
  details?: EventDetails,
  requestId?: string,
) => void;

/** Receives every recorded event, for example to log it. */
export type EventSink = (event: TimelineEvent) => void;

/** Maximum number of events that each process keeps. */
export const EVENT_RING_CAPACITY = 10_000;

/** Ring buffer of the latest events of a process. */
export class EventRing {
  private readonly slots: Array<TimelineEvent | undefined>;
  private nextIndex = 0;

  constructor(
    private readonly process: string,
    private readonly hybridClock: HybridClock,
    private readonly sink: EventSink = () => undefined,
    capacity = EVENT_RING_CAPACITY,
  ) {
    this.slots = new Array<TimelineEvent | undefined>(capacity);
  }

  /** Adds an event; replaces the oldest one if the ring is full. */
  readonly record: EventRecorder = (code, details = {}, requestId) => {
    const event: TimelineEvent = {
      time: this.hybridClock.read(),
      process: this.process,
      code,
      details,
      ...(requestId === undefined ? {} : {requestId}),
    };
    this.slots[this.nextIndex % this.slots.length] = event;
    this.nextIndex += 1;
    this.sink(event);
  };

  /** Lists the kept events, oldest first. */
  list(): TimelineEvent[] {
    const start = Math.max(0, this.nextIndex - this.slots.length);
    const events: TimelineEvent[] = [];
    for (let index = start; index < this.nextIndex; index += 1) {
      const event = this.slots[index % this.slots.length];
      if (event) events.push(event);
    }
    return events;
  }
}
