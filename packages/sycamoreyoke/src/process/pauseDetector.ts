/** Detects that this process was paused, for example by SIGSTOP. */
import type {Clock} from '../clock.js';

/** A longer gap between two observations counts as a pause. */
export const MIN_PAUSE_MS = 1_000;
/** Interval of the observing timer, far below the gap. */
export const PAUSE_CHECK_INTERVAL_MS = 100;

export enum PauseActionKind {
  /** Refuse requests that were read but not started; reason `paused`. */
  REFUSE_EARLIER = 'refuse-earlier',
  /** Refresh membership and configuration, then call finishRefresh. */
  REFRESH = 'refresh',
}

/** What the node has to do after a pause. */
export interface PauseAction {
  readonly kind: PauseActionKind;
  /** Sequence number of the pause. */
  readonly pause: number;
  readonly gapMs: number;
}

/**
 * Detects pauses of this process. After a pause, requests that were read before
 * it must not start, and no request is accepted until a refresh has finished:
 * it may have waited in the socket during the pause, and its timeout would be
 * counted only from when it was read.
 */
export class PauseDetector {
  private lastObservedMs: number;
  private pauses = 0;
  private isRefreshing = false;

  constructor(private readonly clock: Clock) {
    this.lastObservedMs = clock.readMs();
  }

  /**
   * Must be called by a timer and at the start of each socket handler, since
   * sockets may be read before the timer runs after a pause.
   */
  observe(): PauseAction[] {
    const now = this.clock.readMs();
    const gapMs = now - this.lastObservedMs;
    this.lastObservedMs = now;
    if (gapMs <= MIN_PAUSE_MS) return [];
    this.pauses += 1;
    this.isRefreshing = true;
    return [PauseActionKind.REFUSE_EARLIER, PauseActionKind.REFRESH].map(
      (kind) => ({kind, pause: this.pauses, gapMs}),
    );
  }

  /** Returns a mark for a request just read; undefined to refuse it. */
  readMark(): number | undefined {
    return this.isRefreshing ? undefined : this.pauses;
  }

  /** Returns true if a request with this mark may start now. */
  isCurrent(mark: number): boolean {
    const gapMs = this.clock.readMs() - this.lastObservedMs;
    return !this.isRefreshing && mark === this.pauses && gapMs <= MIN_PAUSE_MS;
  }

  /** Ends the refresh, unless another pause has followed the given one. */
  finishRefresh(pause: number): void {
    if (pause === this.pauses) this.isRefreshing = false;
  }
}
