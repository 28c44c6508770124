/** Estimates how many requests of an account arrive at an origin. */
import {DEMAND_MS} from './constants.js';

/** Exponentially decaying count of arrivals. */
export class Demand {
  private value = 0;
  private updatedMs = -Infinity;

  observe(nowMs: number): void {
    this.value = this.readValue(nowMs) + 1;
    this.updatedMs = nowMs;
  }

  /** Requests expected within a time; 0 after a single request. */
  compute(nowMs: number, withinMs: number): number {
    const expected = (this.readValue(nowMs) * withinMs) / DEMAND_MS;
    return Math.max(0, Math.floor(expected) - 1);
  }

  /** Whether no request is expected soon. */
  isOver(nowMs: number): boolean {
    return nowMs - this.updatedMs > 4 * DEMAND_MS;
  }

  private readValue(nowMs: number): number {
    return this.value * Math.exp((this.updatedMs - nowMs) / DEMAND_MS);
  }
}
