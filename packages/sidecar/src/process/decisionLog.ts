/** Structured, rate-limited log; writing never blocks the process. */
import {fstatSync, write} from 'node:fs';
import {Socket} from 'node:net';
import log from 'loglevel';
import type {Clock} from 'sycamoreyoke/clock';
import type {EventDetails, EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';

/** Kinds of lines; each has its own budget so that none crowds out another. */
enum LineKind {
  /** Requests that were served. */
  SERVED,
  /** Links and members; a start of the node logs tens of them at once. */
  PEER,
  /** Start, stop and failure of the process. */
  PROCESS,
  OTHER,
}

/** Lines per second. */
const LINE_BUDGETS: Readonly<Record<LineKind, number>> = {
  [LineKind.SERVED]: 10,
  [LineKind.PEER]: 10,
  [LineKind.PROCESS]: 10,
  [LineKind.OTHER]: 50,
};
const PEER_CODES: ReadonlySet<EventCode> = new Set([
  EventCode.LINK_UP,
  EventCode.LINK_DOWN,
  EventCode.LINK_CLOSING,
  EventCode.LINK_RESUMED,
  EventCode.LINK_CALLS_FORGOTTEN,
  EventCode.MEMBER_JOINED,
]);
const PROCESS_CODES: ReadonlySet<EventCode> = new Set([
  EventCode.NODE_STARTED,
  EventCode.NODE_LEAVING,
  EventCode.NODE_STOPPED,
  EventCode.SETTINGS_RELOADED,
  EventCode.PROCESS_FAILED,
]);
const BUDGET_WINDOW_MS = 1_000;
/** Lines are batched for this long, since each write wakes the process. */
const FLUSH_MS = 500;
/** Limit of the bytes buffered for a slow reader; further lines are dropped. */
const MAX_BUFFER_BYTES = 256 * 1024;
const STANDARD_OUTPUT = 1;

/** Writes text and calls back once it is written. */
export type WriteBytes = (content: string, done: () => void) => void;

/**
 * Creates a writer to standard output that does not wait for its reader. Pipes
 * and sockets are written by the event loop; files, for which the event loop
 * has no asynchronous write, by the thread pool.
 */
export function createOutputWriter(): WriteBytes {
  const outputStats = fstatSync(STANDARD_OUTPUT);
  if (!outputStats.isFIFO() && !outputStats.isSocket()) {
    return (content, done) => write(STANDARD_OUTPUT, content, () => done());
  }
  const output = new Socket({fd: STANDARD_OUTPUT, readable: false});
  // The reader of the log has gone, so the error cannot be logged either.
  output.on('error', () => output.destroy());
  output.unref();
  return (content, done) => output.write(content, () => done());
}

/** Writes events as JSON lines. */
export class DecisionLog {
  private lines: string[] = [];
  private bytes = 0;
  private isWriting = false;
  private windowStartMs = -Infinity;
  private lineCounts = createLineCounts();
  private droppedLines = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly process: string,
    private readonly clock: Clock,
    private readonly writeBytes: WriteBytes,
  ) {
    log.methodFactory = () => (line: string) => this.addLine(line);
    log.setLevel('info', false);
  }

  readonly record: EventRecorder = (code, details = {}, requestId) => {
    this.advanceWindow();
    if (!this.takeLine(code)) {
      this.droppedLines += 1;
      return;
    }
    log.info(this.format(code, details, requestId));
  };

  /** Returns the size of the buffered lines, in characters. */
  countBytes(): number {
    return this.bytes;
  }

  /** Whether some lines are not written yet. */
  hasPending(): boolean {
    return this.isWriting || this.lines.length > 0;
  }

  countDropped(): number {
    return this.droppedLines;
  }

  /** Writes the buffered lines, unless a write is already in progress. */
  flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.lines.length === 0 || this.isWriting) return;
    const content = `${this.lines.join('\n')}\n`;
    this.lines = [];
    this.bytes = 0;
    this.isWriting = true;
    this.writeBytes(content, () => {
      this.isWriting = false;
      if (this.lines.length > 0) this.scheduleFlush();
    });
  }

  private format(
    code: EventCode,
    details: EventDetails,
    requestId?: string,
  ): string {
    return JSON.stringify({
      time: this.clock.readDate().toISOString(),
      process: this.process,
      event: code,
      name: EventCode[code],
      ...(requestId === undefined ? {} : {requestId}),
      ...details,
    });
  }

  /** Resets the budgets each second and logs how many lines were dropped. */
  private advanceWindow(): void {
    const nowMs = this.clock.readMs();
    if (nowMs - this.windowStartMs < BUDGET_WINDOW_MS) return;
    this.windowStartMs = nowMs;
    this.lineCounts = createLineCounts();
    if (this.droppedLines === 0) return;
    const lines = this.droppedLines;
    this.droppedLines = 0;
    log.info(this.format(EventCode.LOG_LINES_DROPPED, {lines}));
  }

  private takeLine(code: EventCode): boolean {
    const kind = identifyKind(code);
    this.lineCounts[kind] += 1;
    return this.lineCounts[kind] <= LINE_BUDGETS[kind];
  }

  private addLine(line: string): void {
    if (this.bytes + line.length > MAX_BUFFER_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.lines.push(line);
    this.bytes += line.length;
    this.scheduleFlush();
  }

  private scheduleFlush(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.flush();
    }, FLUSH_MS);
  }
}

function createLineCounts(): Record<LineKind, number> {
  return {
    [LineKind.SERVED]: 0,
    [LineKind.PEER]: 0,
    [LineKind.PROCESS]: 0,
    [LineKind.OTHER]: 0,
  };
}

function identifyKind(code: EventCode): LineKind {
  const isServed =
    code === EventCode.CALL_COMPLETED || code === EventCode.REQUEST_FINISHED;
  if (isServed) return LineKind.SERVED;
  if (PROCESS_CODES.has(code)) return LineKind.PROCESS;
  return PEER_CODES.has(code) ? LineKind.PEER : LineKind.OTHER;
}
