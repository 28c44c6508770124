/**
 * Time source of the library. The daemons pass the system clock, tests pass a
 * virtual one.
 */
export interface Clock {
  /** Monotonic time in milliseconds. */
  readMs(): number;
  /** Wall-clock time. Must not be compared between machines. */
  readDate(): Date;
}

/** Clock for tests that moves only when `advance` is called. */
export class VirtualClock implements Clock {
  private elapsedMs = 0;

  constructor(private readonly startDate = new Date(0)) {}

  readMs(): number {
    return this.elapsedMs;
  }

  readDate(): Date {
    return new Date(this.startDate.getTime() + this.elapsedMs);
  }

  advance(milliseconds: number): void {
    this.elapsedMs += milliseconds;
  }
}
