/** Bounds how long received bytes may have waited for the event loop. */
import type {Clock} from 'sycamoreyoke/clock';

/** Interval of the timer that shows that the event loop runs. */
export const LOOP_TICK_MS = 250;
/** A loop that was not seen for this long was paused or blocked. */
const MAX_UNSEEN_MS = LOOP_TICK_MS + 100;

/** Dependencies of the watch. */
export interface LoopWatchParts {
  readonly clock: Clock;
  /**
   * Calls back when the current turn of the event loop ends. While a callback
   * is due, the loop reads the sockets without waiting for events.
   */
  readonly runAfterTurn: (callback: () => void) => void;
}

/**
 * Tells when bytes that are handled now may have arrived. After each observed
 * turn, the loop reads once without waiting: what it finds may have arrived at
 * any time since that turn began. A loop that finds nothing has caught up, and
 * handles bytes as they arrive from then on. Idle times that the event loop
 * reports are not used: a process that is descheduled in a system call seems
 * idle. Bytes that a paused process reads may have arrived since it last ran.
 */
export class LoopWatch {
  private isInTurn = false;
  /** Whether the loop has read without waiting since the last turn. */
  private isBehind = false;
  private turnStartMs: number;
  private lastSeenMs: number;
  private earliestArrivalMs: number;

  constructor(private readonly parts: LoopWatchParts) {
    this.turnStartMs = parts.clock.readMs();
    this.lastSeenMs = this.turnStartMs;
    this.earliestArrivalMs = this.turnStartMs;
  }

  /**
   * Records that the loop runs; called by a timer of LOOP_TICK_MS, and when
   * bytes of other nodes are read.
   */
  observe(): void {
    const nowMs = this.parts.clock.readMs();
    if (!this.isInTurn) this.startTurn(nowMs);
    this.lastSeenMs = nowMs;
  }

  /** Returns the earliest time at which the bytes read now can have arrived. */
  findEarliestArrivalMs(): number {
    this.observe();
    return this.earliestArrivalMs;
  }

  private startTurn(nowMs: number): void {
    this.isInTurn = true;
    const wasPaused = nowMs - this.lastSeenMs > MAX_UNSEEN_MS;
    const mayBeOld = this.isBehind || wasPaused;
    this.earliestArrivalMs = mayBeOld ? this.turnStartMs : nowMs;
    this.turnStartMs = nowMs;
    this.parts.runAfterTurn(() => this.endTurn());
  }

  private endTurn(): void {
    this.isInTurn = false;
    this.isBehind = true;
    this.parts.runAfterTurn(() => {
      if (!this.isInTurn) this.isBehind = false;
    });
  }
}
