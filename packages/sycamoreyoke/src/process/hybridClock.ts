import type {Clock} from '../clock.js';

/** Hybrid logical time: wall-clock time, ms, and a counter to break ties. */
export interface HybridTime {
  readonly wallMs: number;
  readonly counter: number;
}

/** Orders two hybrid times; negative when the first is earlier. */
export function compareHybridTimes(a: HybridTime, b: HybridTime): number {
  return a.wallMs - b.wallMs || a.counter - b.counter;
}

/** Hybrid logical clock of a process. */
export class HybridClock {
  private last: HybridTime = {wallMs: 0, counter: 0};

  constructor(private readonly clock: Clock) {}

  /** Returns a time later than all times read or observed before. */
  read(): HybridTime {
    const wallMs = this.clock.readDate().getTime();
    this.last =
      wallMs > this.last.wallMs
        ? {wallMs, counter: 0}
        : {...this.last, counter: this.last.counter + 1};
    return this.last;
  }

  /** Advances the clock to the time received in a message. */
  observe(remote: HybridTime): void {
    if (compareHybridTimes(remote, this.last) > 0) {
      this.last = remote;
    }
  }
}
