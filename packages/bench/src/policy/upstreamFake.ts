import type {Random} from 'sycamoreyoke/random';
import type {EventQueue} from './eventQueue.js';

/** Backlog capacity of an upstream as a share of its slots. */
const BACKLOG_SHARE = 1;

/** A request on an upstream; it holds a slot from its start to its end. */
export interface UpstreamRun {
  startedMs?: number;
  isOver: boolean;
  /** Total time spent waiting for child calls. */
  childMs: number;
  /** Called when the task gets a slot. */
  readonly begin: () => void;
}

/** An upstream with slots, a bounded backlog and a service time factor. */
export class UpstreamFake {
  private busy = 0;
  private readonly backlog: UpstreamRun[] = [];

  constructor(
    private readonly events: EventQueue,
    private readonly random: Random,
    readonly slots: number,
    /** Factor applied to every processing time; above 1 is slower. */
    readonly speed: number,
  ) {}

  /**
   * Starts a task or adds it to the backlog; returns undefined if both the
   * slots and the backlog are full.
   */
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

  /**
   * Ends a task and frees its slot. Returns the time in ms for which the slot
   * was held; 0 if the task never started or has already ended.
   */
  finish(run: UpstreamRun): number {
    if (run.isOver) return 0;
    run.isOver = true;
    if (run.startedMs === undefined) return 0;
    this.busy -= 1;
    this.startNext();
    return this.events.clock.readMs() - run.startedMs;
  }

  /**
   * Calls `done` after a random processing time: the sum of two exponentially
   * distributed times (Erlang-2), which varies but is rarely close to 0.
   */
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
