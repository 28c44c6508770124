/** Time source of the library; daemons pass a real one, tests a virtual one. */
export interface Clock {
  /** Monotonic milliseconds. */
  readMs(): number;
  /** Wall-clock time; never compared between machines. */
  readDate(): Date;
}

/** Clock that moves only when told to. */
export class VirtualClock implements Clock {
  private elapsedMs = 0;

  constructor(private readonly startDate = new Date(0)) {}

  readMs(): number {
    return this.elapsedMs;
  }

  readDate(): Date {
    return new Date(this.startDate.getTime() + this.elapsedMs);
  }

  /** Moves the clock forward. */
  advance(milliseconds: number): void {
    this.elapsedMs += milliseconds;
  }
}
