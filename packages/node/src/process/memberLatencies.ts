import type {Clock} from 'sycamoreyoke/clock';
import {LatencyHistogram} from 'sycamoreyoke/connection/latencyHistogram';
import {computeResponseTimeout} from 'sycamoreyoke/connection/linkState';

/** Members whose latencies are kept; about 0.5 KB each. */
const MAX_MEMBERS = 2_000;

/** Latencies of the members that this node calls. */
export class MemberLatencies {
  private readonly windows = new Map<string, LatencyHistogram>();

  constructor(private readonly clock: Clock) {}

  record(incarnation: string, latencyMs: number): void {
    const window =
      this.windows.get(incarnation) ?? new LatencyHistogram(this.clock);
    window.record(latencyMs);
    // Set again, so that the member called longest ago is dropped first.
    this.windows.delete(incarnation);
    this.windows.set(incarnation, window);
    if (this.windows.size <= MAX_MEMBERS) return;
    const oldest = this.windows.keys().next();
    if (!oldest.done) this.windows.delete(oldest.value);
  }

  /** Time without a response after which a connection counts as silent. */
  computeTimeout(incarnation: string): number {
    return computeResponseTimeout(this.windows.get(incarnation)?.readP99Ms());
  }
}
