import type {Random} from 'sycamoreyoke/random';
import type {EventQueue} from './eventQueue.js';

/** Requests that an upstream holds beyond its slots, as a share of these. */
const BACKLOG_SHARE = 1;

/** Work of one request on an upstream; the slot is held until it finishes. */
export interface UpstreamRun {
  startedMs?: number;
  isOver: boolean;
  /** Time in which calls of its own were in flight. */
  childMs: number;
  readonly begin: () => void;
}

/** An upstream with slots, a short backlog of its own and a speed. */
export class UpstreamFake {
  private busy = 0;
  private readonly backlog: UpstreamRun[] = [];

  constructor(
    private readonly events: EventQueue,
    private readonly random: Random,
    readonly slots: number,
    /** Factor of the service time. */
    readonly speed: number,
  ) {}

  /** Starts work or puts it in the backlog; undefined when both are full. */
  submit(begin: () => void): UpstreamRun | undefined {
    const run: UpstreamRun = {isOver: false, childMs: 0, begin};
    if (this.busy < this.slots) {
      this.start(run);
      return run;
    }
    if (this.backlog.length >= this.slots * BACKLOG_SHARE) return undefined;
    this.backlog.push(run);
    return run;
  }

  /** Frees the slot; returns the time for which it was held. */
  finish(run: UpstreamRun): number {
    if (run.isOver) return 0;
    run.isOver = true;
    if (run.startedMs === undefined) return 0;
    this.busy -= 1;
    this.startNext();
    return this.events.clock.readMs() - run.startedMs;
  }

  /** Sum of two exponential times, so that work varies but is rarely tiny. */
  schedule(meanMs: number, done: () => void): void {
    const halfMs = (meanMs * this.speed) / 2;
    const delayMs =
      -halfMs * Math.log((1 - this.random()) * (1 - this.random()));
    this.events.schedule(delayMs, done);
  }

  private start(run: UpstreamRun): void {
    this.busy += 1;
    run.startedMs = this.events.clock.readMs();
    run.begin();
  }

  private startNext(): void {
    let next = this.backlog.shift();
    while (next?.isOver) next = this.backlog.shift();
    if (next) this.start(next);
  }
}
