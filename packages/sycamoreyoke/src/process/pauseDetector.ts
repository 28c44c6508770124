/** Notices that this process did not run for a while. */
import type {Clock} from '../clock.js';

/** A longer gap between two observations is a pause. */
export const PAUSE_GAP_MS = 1_000;
/** Interval of the timer that observes; far below the gap. */
export const PAUSE_OBSERVE_MS = 100;

export enum PauseActionKind {
  /** Refuse, with the reason `paused`, what was read and has not started. */
  REFUSE_EARLIER = 'refuse-earlier',
  /** Refresh membership and configuration, then call finishRefresh. */
  REFRESH = 'refresh',
}

/** What the node has to do after a pause. */
export interface PauseAction {
  readonly kind: PauseActionKind;
  /** Number of the pause. */
  readonly pause: number;
  readonly gapMs: number;
}

/**
 * After a pause nothing that was read before may start, and nothing is served
 * until a refresh has ended: what is read meanwhile may have waited in the
 * socket during the pause, and its timeout would count from the reading.
 */
export class PauseDetector {
  private lastMs: number;
  private pauses = 0;
  private isRefreshing = false;

  constructor(private readonly clock: Clock) {
    this.lastMs = clock.readMs();
  }

  /**
   * Called by the timer and first of all by each handler of a socket, since
   * after a pause sockets may be read before the timer runs.
   */
  observe(): PauseAction[] {
    const now = this.clock.readMs();
    const gapMs = now - this.lastMs;
    this.lastMs = now;
    if (gapMs <= PAUSE_GAP_MS) return [];
    this.pauses += 1;
    this.isRefreshing = true;
    return [PauseActionKind.REFUSE_EARLIER, PauseActionKind.REFRESH].map(
      (kind) => ({kind, pause: this.pauses, gapMs}),
    );
  }

  /** Marks a request when it is read; undefined when it is refused. */
  readMark(): number | undefined {
    return this.isRefreshing ? undefined : this.pauses;
  }

  /** True when a request with this mark may start now. */
  isCurrent(mark: number): boolean {
    const gapMs = this.clock.readMs() - this.lastMs;
    return !this.isRefreshing && mark === this.pauses && gapMs <= PAUSE_GAP_MS;
  }

  /** The refresh for a pause has ended; an earlier one does not count. */
  finishRefresh(pause: number): void {
    if (pause === this.pauses) this.isRefreshing = false;
  }
}
