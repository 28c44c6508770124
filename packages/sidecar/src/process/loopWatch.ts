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

/**
 * Tells when bytes that are handled now may have arrived. A loop that has been
 * idle since its last turn handles bytes at once; bytes that a busy loop reads
 * may have arrived at any time since its last turn began, and bytes that a
 * paused process reads since it last ran.
 */
export class LoopWatch {
  private isInTurn = false;
  private turnStartMs: number;
  private lastSeenMs: number;
  private lastIdleMs: number;
  private earliestArrivalMs: number;

  constructor(private readonly parts: LoopWatchParts) {
    this.turnStartMs = parts.clock.readMs();
    this.lastSeenMs = this.turnStartMs;
    this.earliestArrivalMs = this.turnStartMs;
    this.lastIdleMs = parts.readIdleMs();
  }

  /** Records that the loop runs; called by a timer of LOOP_TICK_MS. */
  tick(): void {
    this.observeTurn();
  }

  /** Returns the earliest time at which the bytes read now can have arrived. */
  findEarliestArrivalMs(): number {
    this.observeTurn();
    return this.earliestArrivalMs;
  }

  private observeTurn(): void {
    const nowMs = this.parts.clock.readMs();
    if (!this.isInTurn) this.startTurn(nowMs);
    this.lastSeenMs = nowMs;
  }

  private startTurn(nowMs: number): void {
    this.isInTurn = true;
    this.parts.runAfterTurn(() => {
      this.isInTurn = false;
    });
    const idleMs = this.parts.readIdleMs();
    const hasIdled = idleMs - this.lastIdleMs >= MIN_IDLE_MS;
    const wasPaused = nowMs - this.lastSeenMs > MAX_UNSEEN_MS;
    const isPrompt = hasIdled && !wasPaused;
    this.earliestArrivalMs = isPrompt ? nowMs : this.turnStartMs;
    this.lastIdleMs = idleMs;
    this.turnStartMs = nowMs;
  }
}
