import type {VirtualClock} from 'sycamoreyoke/clock';
import {Heap} from 'sycamoreyoke/process/heap';

interface ScheduledEvent {
  readonly timeMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

/**
 * Discrete-event scheduler: runs events by time, and events of the same time
 * in the order in which they were scheduled, on a virtual clock.
 */
export class EventQueue {
  private readonly events = new Heap<ScheduledEvent>(
    (first, second) =>
      first.timeMs - second.timeMs || first.sequence - second.sequence,
  );
  private nextSequence = 0;

  constructor(readonly clock: VirtualClock) {}

  /** Schedules an event; a negative delay counts as 0. */
  schedule(delayMs: number, run: () => void): void {
    const timeMs = this.clock.readMs() + Math.max(0, delayMs);
    this.events.add({timeMs, sequence: this.nextSequence, run});
    this.nextSequence += 1;
  }

  /**
   * Runs every event up to and including a time. The first later event is
   * discarded, so a run can't be continued.
   */
  run(untilMs: number): void {
    let event = this.events.takeFirst();
    while (event && event.timeMs <= untilMs) {
      this.clock.advance(event.timeMs - this.clock.readMs());
      event.run();
      event = this.events.takeFirst();
    }
  }
}
