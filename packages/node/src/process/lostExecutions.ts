import type {Clock} from 'sycamoreyoke/clock';
import type {RequestIdentity} from 'sycamoreyoke/types';

/** Connections of a crashed process close within this time of each other. */
const CRASH_WINDOW_MS = 1_000;

/** Requests whose connection to the upstream was lost a moment ago. */
export class LostExecutions {
  private lost: ReadonlyArray<{
    readonly identity: RequestIdentity;
    readonly atMs: number;
  }> = [];

  constructor(private readonly clock: Clock) {}

  add(identity: RequestIdentity): void {
    const atMs = this.clock.readMs();
    this.lost = [...this.listRecent(atMs), {identity, atMs}];
  }

  /** Takes all that may have been in flight when the upstream crashed. */
  take(): RequestIdentity[] {
    const recent = this.listRecent(this.clock.readMs());
    this.lost = [];
    return recent.map(({identity}) => identity);
  }

  private listRecent(nowMs: number) {
    return this.lost.filter(({atMs}) => nowMs - atMs < CRASH_WINDOW_MS);
  }
}
