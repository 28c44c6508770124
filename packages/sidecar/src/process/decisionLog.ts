/** Structured log lines within a budget; writing never blocks the process. */
import {fstatSync, write} from 'node:fs';
import {Socket} from 'node:net';
import log from 'loglevel';
import type {Clock} from 'sycamoreyoke/clock';
import type {EventDetails, EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';

/** Kinds of lines with a budget of their own, so that none hides another. */
enum LineKind {
  /** Requests that were served. */
  SERVED,
  /** Links and members, of which a start brings tens at once. */
  NEIGHBOUR,
  /** Start, stop and failure of the process. */
  PROCESS,
  OTHER,
}

/** Lines a second. */
const LINE_BUDGETS: Readonly<Record<LineKind, number>> = {
  [LineKind.SERVED]: 10,
  [LineKind.NEIGHBOUR]: 10,
  [LineKind.PROCESS]: 10,
  [LineKind.OTHER]: 50,
};
const NEIGHBOUR_CODES: ReadonlySet<EventCode> = new Set([
  EventCode.LINK_UP,
  EventCode.LINK_DOWN,
  EventCode.LINK_CLOSING,
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
/** Lines are written together this often; each write wakes the process. */
const FLUSH_MS = 500;
/** Bytes that wait for a slow reader; lines beyond are dropped. */
const MAX_BUFFER_BYTES = 256 * 1024;
const STANDARD_OUTPUT = 1;

/** Writes bytes and calls back when they are gone. */
export type WriteBytes = (content: string, done: () => void) => void;

/**
 * Writes to standard output without waiting for its reader. A pipe is written
 * by the event loop; a file by a thread, since it has no other way.
 */
export function createOutputWriter(): WriteBytes {
  const kind = fstatSync(STANDARD_OUTPUT);
  if (!kind.isFIFO() && !kind.isSocket()) {
    return (content, done) => write(STANDARD_OUTPUT, content, () => done());
  }
  const output = new Socket({fd: STANDARD_OUTPUT, readable: false});
  // The reader of the log has gone, and with it the place to say so.
  output.on('error', () => output.destroy());
  output.unref();
  return (content, done) => output.write(content, () => done());
}

/** Renders events as JSON lines. */
export class DecisionLog {
  private lines: string[] = [];
  private bytes = 0;
  private isWriting = false;
  private windowMs = -Infinity;
  private lineCounts = createLineCounts();
  private dropped = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly process: string,
    private readonly clock: Clock,
    private readonly writeBytes: WriteBytes,
  ) {
    log.methodFactory = () => (line: string) => this.add(line);
    log.setLevel('info', false);
  }

  readonly record: EventRecorder = (code, details = {}, requestId) => {
    this.advance();
    if (!this.takeLine(code)) {
      this.dropped += 1;
      return;
    }
    log.info(this.format(code, details, requestId));
  };

  /** Bytes that wait to be written. */
  countBytes(): number {
    return this.bytes;
  }

  /** Whether lines are not written yet. */
  hasPending(): boolean {
    return this.isWriting || this.lines.length > 0;
  }

  countDropped(): number {
    return this.dropped;
  }

  /** Writes what is left, at the end of the process. */
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
      if (this.lines.length > 0) this.schedule();
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

  /** A new second has a new budget, and says what the last one left out. */
  private advance(): void {
    const nowMs = this.clock.readMs();
    if (nowMs - this.windowMs < BUDGET_WINDOW_MS) return;
    this.windowMs = nowMs;
    this.lineCounts = createLineCounts();
    if (this.dropped === 0) return;
    const lines = this.dropped;
    this.dropped = 0;
    log.info(this.format(EventCode.LOG_LINES_DROPPED, {lines}));
  }

  private takeLine(code: EventCode): boolean {
    const kind = identifyKind(code);
    this.lineCounts[kind] += 1;
    return this.lineCounts[kind] <= LINE_BUDGETS[kind];
  }

  private add(line: string): void {
    if (this.bytes + line.length > MAX_BUFFER_BYTES) {
      this.dropped += 1;
      return;
    }
    this.lines.push(line);
    this.bytes += line.length;
    this.schedule();
  }

  private schedule(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.flush();
    }, FLUSH_MS);
  }
}

function createLineCounts(): Record<LineKind, number> {
  return {
    [LineKind.SERVED]: 0,
    [LineKind.NEIGHBOUR]: 0,
    [LineKind.PROCESS]: 0,
    [LineKind.OTHER]: 0,
  };
}

function identifyKind(code: EventCode): LineKind {
  const isServed =
    code === EventCode.CALL_COMPLETED || code === EventCode.REQUEST_FINISHED;
  if (isServed) return LineKind.SERVED;
  if (PROCESS_CODES.has(code)) return LineKind.PROCESS;
  return NEIGHBOUR_CODES.has(code) ? LineKind.NEIGHBOUR : LineKind.OTHER;
}
