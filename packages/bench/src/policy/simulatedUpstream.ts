import type {Random} from 'sycamoreyoke/random';
import type {EventQueue} from './eventQueue.js';

/** Requests that an upstream can queue per slot. */
const BACKLOG_PER_SLOT = 1;

/** A request on an upstream; it holds a slot from its start to its end. */
export interface UpstreamTask {
  startedMs?: number;
  isFinished: boolean;
  /** Total time spent waiting for child calls. */
  childCallMs: number;
  /** Called when the task gets a slot. */
  readonly begin: () => void;
}

/** An upstream with slots, a bounded backlog and a service time factor. */
export class SimulatedUpstream {
  private busySlots = 0;
  private readonly backlog: UpstreamTask[] = [];

  constructor(
    private readonly events: EventQueue,
    private readonly random: Random,
    readonly slots: number,
    /** Factor applied to every processing time; above 1 is slower. */
    readonly serviceTimeFactor: number,
  ) {}

  /**
   * Starts a task or adds it to the backlog; returns undefined if both the
   * slots and the backlog are full.
   */
  submit(begin: () => void): UpstreamTask | undefined {
    const task: UpstreamTask = {isFinished: false, childCallMs: 0, begin};
    if (this.busySlots < this.slots) {
      this.start(task);
      return task;
    }
    if (this.backlog.length >= this.slots * BACKLOG_PER_SLOT) return undefined;
    this.backlog.push(task);
    return task;
  }

  /**
   * Ends a task and frees its slot. Returns the time in ms for which the slot
   * was held; 0 if the task never started or has already ended.
   */
  finish(task: UpstreamTask): number {
    if (task.isFinished) return 0;
    task.isFinished = true;
    if (task.startedMs === undefined) return 0;
    this.busySlots -= 1;
    this.startNext();
    return this.events.clock.readMs() - task.startedMs;
  }

  /**
   * Calls `done` after a random processing time: the sum of two exponentially
   * distributed times (Erlang-2), which varies but is rarely close to 0.
   */
  schedule(meanMs: number, done: () => void): void {
    const halfMs = (meanMs * this.serviceTimeFactor) / 2;
    const delayMs =
      -halfMs * Math.log((1 - this.random()) * (1 - this.random()));
    this.events.schedule(delayMs, done);
  }

  private start(task: UpstreamTask): void {
    this.busySlots += 1;
    task.startedMs = this.events.clock.readMs();
    task.begin();
  }

  private startNext(): void {
    let next = this.backlog.shift();
    while (next?.isFinished) next = this.backlog.shift();
    if (next) this.start(next);
  }
}
