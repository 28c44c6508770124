/** Concurrency limit derived from the slots that the upstream announces. */
import type {ConcurrencyLimiter} from 'sycamoreyoke/process/limiter';
import {SLOT_SHARE} from '../constants.js';

/**
 * Limits concurrency to SLOT_SHARE of the announced slots, whose number may
 * change with each instance of the upstream.
 */
export class SlotLimiter implements ConcurrencyLimiter {
  private limit: number;

  constructor(slots: number) {
    this.limit = computeLimit(slots);
  }

  readLimit(): number {
    return this.limit;
  }

  update(slots: number): void {
    this.limit = computeLimit(slots);
  }

  observe(): void {}
}

function computeLimit(slots: number): number {
  return Math.max(1, Math.floor(slots * SLOT_SHARE));
}
