/** Bounds how long received bytes may have waited for the event loop. */
import type {Clock} from 'sycamoreyoke/clock';

/** Interval of the timer that shows that the event loop runs. */
export const LOOP_TICK_MS = 250;
/** A loop that was not seen for this long was paused or blocked. */
const MAX_UNSEEN_MS = LOOP_TICK_MS + 100;

/**
 * A loop that waited for less may have found data at once: the wait counts the
 * time of the system call.
 */
const MIN_IDLE_MS = 1;

/** Dependencies of the watch. */
export interface LoopWatchParts {
  readonly clock: Clock;
  /** Total time for which the event loop has waited for events, ms. */
  readonly readIdleMs: () => number;
  /** Calls back once the current turn of the event loop ends. */
  readonly runAfterTurn: (callback: () => void) => void;
}

/** A moment at which a turn of the loop ended. */
interface TurnEnd {
  readonly endMs: number;
  /** Total idle time of the loop by then, ms. */
  readonly idleMs: number;
}

/**
 * Tells when bytes that are handled now may have arrived. A loop that has been
 * idle since its last turn handles bytes at once; bytes that a busy loop reads
 * may have arrived at any time since it last read, and bytes that a paused
 * process reads since it last ran. Turns that nobody observes count as part of
 * the next one.
 */
export class LoopWatch {
  private isInTurn = false;
  private lastSeenMs: number;
  private lastEnd: TurnEnd;
  /** When the loop read the sockets for the turn that ended last. */
  private lastReadMs: number;
  private earliestArrivalMs: number;

  constructor(private readonly parts: LoopWatchParts) {
    this.lastEnd = this.readTurnEnd();
    this.lastSeenMs = this.lastEnd.endMs;
    this.lastReadMs = this.lastEnd.endMs;
    this.earliestArrivalMs = this.lastEnd.endMs;
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
    const idleMs = this.parts.readIdleMs() - this.lastEnd.idleMs;
    const readMs = Math.min(nowMs, this.lastEnd.endMs + idleMs);
    const wasPaused = nowMs - this.lastSeenMs > MAX_UNSEEN_MS;
    const isPrompt = idleMs >= MIN_IDLE_MS && !wasPaused;
    this.earliestArrivalMs = isPrompt ? readMs : this.lastReadMs;
    this.parts.runAfterTurn(() => {
      this.isInTurn = false;
      this.lastReadMs = readMs;
      this.lastEnd = this.readTurnEnd();
    });
  }

  private readTurnEnd(): TurnEnd {
    const {clock, readIdleMs} = this.parts;
    return {endMs: clock.readMs(), idleMs: readIdleMs()};
  }
}
