/**
 * Refreshes the state of the node after its process was paused, for example by
 * a frozen VM.
 */
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {
  PauseAction,
  PauseDetector,
} from 'sycamoreyoke/process/pauseDetector';
import {
  PAUSE_CHECK_INTERVAL_MS,
  PauseActionKind,
} from 'sycamoreyoke/process/pauseDetector';

const REFRESH_POLL_MS = 20;

/** Callbacks of a PauseTask. */
export interface PauseHandlers {
  /** Stops accepting new work and refuses requests that have not started. */
  readonly pauseWork: () => void;
  /** Whether no peer has been heard from since the pause ended. */
  readonly isStale: () => boolean;
  readonly resumeWork: () => void;
  readonly record: EventRecorder;
}

/** Runs the pause detector on a timer and applies its actions. */
export class PauseTask {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly detector: PauseDetector,
    private readonly handlers: PauseHandlers,
  ) {}

  start(): void {
    this.timer = setInterval(() => this.observe(), PAUSE_CHECK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Checks for a pause. Called by the timer, and by each socket handler before
   * anything else, since sockets may be read before the timer runs.
   */
  observe(): void {
    for (const action of this.detector.observe()) this.apply(action);
  }

  private apply({kind, pause, gapMs}: PauseAction): void {
    if (kind === PauseActionKind.REFUSE_EARLIER) {
      this.handlers.record(EventCode.NODE_PAUSED, {gapMs});
      this.handlers.pauseWork();
    } else {
      this.waitForRefresh(pause);
    }
  }

  private waitForRefresh(pauseNumber: number): void {
    setTimeout(() => {
      if (this.handlers.isStale()) {
        this.waitForRefresh(pauseNumber);
        return;
      }
      this.detector.finishRefresh(pauseNumber);
      if (this.detector.readMark() !== undefined) this.handlers.resumeWork();
    }, REFRESH_POLL_MS);
  }
}
