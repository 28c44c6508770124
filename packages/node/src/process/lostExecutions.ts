import type {Clock} from 'sycamoreyoke/clock';
import type {RequestIdentity} from 'sycamoreyoke/types';

/** All connections of a crashed process are lost within this time. */
const CRASH_WINDOW_MS = 1_000;

/** Requests whose connection to the upstream was lost recently. */
export class LostExecutions {
  private recentlyLost: ReadonlyArray<{
    readonly identity: RequestIdentity;
    readonly lostAtMs: number;
  }> = [];

  constructor(private readonly clock: Clock) {}

  add(identity: RequestIdentity): void {
    const lostAtMs = this.clock.readMs();
    this.recentlyLost = [...this.listRecent(lostAtMs), {identity, lostAtMs}];
  }

  /**
   * Returns and removes the requests that may have been in flight when the
   * upstream crashed.
   */
  take(): RequestIdentity[] {
    const recent = this.listRecent(this.clock.readMs());
    this.recentlyLost = [];
    return recent.map(({identity}) => identity);
  }

  private listRecent(nowMs: number) {
    return this.recentlyLost.filter(
      ({lostAtMs}) => nowMs - lostAtMs < CRASH_WINDOW_MS,
    );
  }
}
