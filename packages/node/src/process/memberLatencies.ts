import type {Clock} from 'sycamoreyoke/clock';
import {LatencyHistogram} from 'sycamoreyoke/connection/latencyHistogram';
import {computeResponseTimeout} from 'sycamoreyoke/connection/linkState';

/** Maximum number of members with stored latencies; about 0.5 KB each. */
const MAX_MEMBERS = 2_000;

/** Response latencies in ms of the members that this node calls. */
export class MemberLatencies {
  private readonly latencyWindows = new Map<string, LatencyHistogram>();

  constructor(private readonly clock: Clock) {}

  record(incarnation: string, latencyMs: number): void {
    const latencyWindow =
      this.latencyWindows.get(incarnation) ?? new LatencyHistogram(this.clock);
    latencyWindow.record(latencyMs);
    // Reinsert the key, so that the least recently called member is evicted.
    this.latencyWindows.delete(incarnation);
    this.latencyWindows.set(incarnation, latencyWindow);
    if (this.latencyWindows.size <= MAX_MEMBERS) return;
    const oldest = this.latencyWindows.keys().next();
    if (!oldest.done) this.latencyWindows.delete(oldest.value);
  }

  /** Time in ms without a response after which a member is unresponsive. */
  computeTimeout(incarnation: string): number {
    return computeResponseTimeout(
      this.latencyWindows.get(incarnation)?.readP99Ms(),
    );
  }
}
