/** Concurrency limit derived from the slots that the upstream announces. */
import type {
  ConcurrencyLimiter,
  LimitSample,
} from 'sycamoreyoke/process/limiter';
import {StartPace} from 'sycamoreyoke/process/startPace';
import {SLOT_SHARE} from '../constants.js';

/**
 * Limits concurrency to SLOT_SHARE of the announced slots, whose number may
 * change with each instance of the upstream, and to less after a start.
 */
export class SlotLimiter implements ConcurrencyLimiter {
  private fullLimit: number;
  private readonly pace = new StartPace();

  constructor(slots: number) {
    this.fullLimit = computeLimit(slots);
  }

  readLimit(): number {
    return this.pace.computeLimit(this.fullLimit);
  }

  update(slots: number): void {
    this.fullLimit = computeLimit(slots);
  }

  /** Lowers the limit until answers prove that the upstream serves more. */
  startPace(): void {
    this.pace.start(this.fullLimit);
  }

  observe(sample: LimitSample): void {
    this.pace.observe(sample, this.fullLimit);
  }
}

function computeLimit(slots: number): number {
  return Math.max(1, Math.floor(slots * SLOT_SHARE));
}
