/** Refreshes what the node knows after its process did not run for a while. */
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

/** What the task acts on. */
export interface PauseHandlers {
  /** Stops taking new work and refuses what has not started. */
  readonly pauseWork: () => void;
  /** True while the node has not heard from a peer since it woke up. */
  readonly isStale: () => boolean;
  readonly resumeWork: () => void;
  readonly record: EventRecorder;
}

/** Owns the pause detector and its timer. */
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

  /** Called by the timer and first of all by each handler of a socket. */
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

  private waitForRefresh(pause: number): void {
    setTimeout(() => {
      if (this.handlers.isStale()) {
        this.waitForRefresh(pause);
        return;
      }
      this.detector.finishRefresh(pause);
      if (this.detector.readMark() !== undefined) this.handlers.resumeWork();
    }, REFRESH_POLL_MS);
  }
}
