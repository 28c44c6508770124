/** Collects counts that a process loses when it is killed. */
import type {Execution} from '@sycamoreyoke/standins/upstream/executions';
import type {Seat, ServiceFleet} from '../fleet/serviceFleet.js';

const PERIOD_MS = 500;

/** Keeps the latest counts of every process, over its restarts. */
export class Collector {
  private readonly executions = new Map<string, readonly Execution[]>();
  private readonly violations = new Map<string, number>();
  private readonly starts = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly fleet: ServiceFleet) {}

  start(): void {
    this.timer = setInterval(() => void this.collect(), PERIOD_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Reads everything; a process that does not answer keeps its last counts. */
  async collect(): Promise<void> {
    await Promise.all(
      this.fleet.seats.flatMap((seat) => [
        this.collectExecutions(seat).catch(() => undefined),
        this.collectViolations(seat).catch(() => undefined),
      ]),
    );
  }

  /** Later counts of the process belong to its next start. */
  markRestart(name: string): void {
    this.starts.set(name, (this.starts.get(name) ?? 0) + 1);
  }

  /** Runs of each request over all upstreams and their restarts. */
  countRuns(): Map<string, number> {
    const runs = new Map<string, number>();
    for (const {requestId, started} of [...this.executions.values()].flat()) {
      runs.set(requestId, (runs.get(requestId) ?? 0) + started);
    }
    return runs;
  }

  countViolations(): number {
    return [...this.violations.values()].reduce((sum, count) => sum + count, 0);
  }

  private buildKey(name: string): string {
    return `${name}#${this.starts.get(name) ?? 0}`;
  }

  private async collectExecutions(seat: Seat): Promise<void> {
    const key = this.buildKey(seat.upstream);
    this.executions.set(key, await this.fleet.readExecutions(seat));
  }

  private async collectViolations(seat: Seat): Promise<void> {
    const key = this.buildKey(seat.node);
    const {invariantViolations} = await this.fleet.readStatus(seat);
    this.violations.set(key, invariantViolations);
  }
}
