/** Tells which requests ran on an upstream when it crashed. */
import type {Clock} from '../clock.js';

/**
 * A run that ended without an answer stays a suspect for this long: a restarted
 * upstream tells of its start within two heartbeats.
 */
export const SUSPECT_MS = 10_000;
/** Runs that are remembered; the oldest is forgotten first. */
export const MAX_UNANSWERED = 512;

interface UnansweredRun<T> {
  readonly run: T;
  readonly endedMs: number;
}

/**
 * Remembers the runs that ended without an answer. A lost connection alone is
 * no crash: an upstream that answers a later request has survived.
 */
export class CrashWatch<T> {
  private unanswered: Array<UnansweredRun<T>> = [];

  constructor(private readonly clock: Clock) {}

  /** A run has ended, for whatever reason, without an answer. */
  recordUnanswered(run: T): void {
    this.unanswered.push({run, endedMs: this.clock.readMs()});
    if (this.unanswered.length > MAX_UNANSWERED) this.unanswered.shift();
  }

  /** The upstream has answered a run that started then. */
  recordAnswer(startedMs: number): void {
    if (this.unanswered.length === 0) return;
    this.unanswered = this.unanswered.filter(
      ({endedMs}) => endedMs >= startedMs,
    );
  }

  /** The upstream has crashed: gives the suspects and forgets them. */
  take(): readonly T[] {
    const oldestMs = this.clock.readMs() - SUSPECT_MS;
    const recent = this.unanswered.filter(({endedMs}) => endedMs >= oldestMs);
    this.clear();
    return recent.map(({run}) => run);
  }

  /** The upstream has ended as planned. */
  clear(): void {
    this.unanswered = [];
  }
}
