/** Determines which requests were running on an upstream when it crashed. */
import type {Clock} from '../clock.js';

/**
 * An execution that ended without a response is suspect for this long. A
 * restarted upstream reports its start within two heartbeats.
 */
export const SUSPECT_MS = 10_000;
/**
 * Maximum number of unanswered executions kept; the oldest is evicted first.
 */
export const MAX_UNANSWERED = 512;

interface UnansweredRun<T> {
  readonly run: T;
  readonly endedMs: number;
}

/**
 * Keeps the executions that ended without a response, until the upstream is
 * known to have crashed or survived. A lost connection alone does not prove a
 * crash: an upstream that answers a later request has survived.
 */
export class CrashWatch<T> {
  private unanswered: Array<UnansweredRun<T>> = [];

  constructor(private readonly clock: Clock) {}

  /** Records an execution that ended without a response, for any reason. */
  recordUnanswered(run: T): void {
    this.unanswered.push({run, endedMs: this.clock.readMs()});
    if (this.unanswered.length > MAX_UNANSWERED) this.unanswered.shift();
  }

  /**
   * Records a response to an execution that started at `startedMs`. It clears
   * the executions that ended before.
   */
  recordAnswer(startedMs: number): void {
    if (this.unanswered.length === 0) return;
    this.unanswered = this.unanswered.filter(
      ({endedMs}) => endedMs >= startedMs,
    );
  }

  /** Returns and clears the suspects. Call when the upstream has crashed. */
  takeSuspects(): readonly T[] {
    const oldestMs = this.clock.readMs() - SUSPECT_MS;
    const recent = this.unanswered.filter(({endedMs}) => endedMs >= oldestMs);
    this.clear();
    return recent.map(({run}) => run);
  }

  /** Clears all suspects. Call when the upstream has shut down normally. */
  clear(): void {
    this.unanswered = [];
  }
}
