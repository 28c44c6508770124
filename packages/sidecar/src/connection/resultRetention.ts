/** Bounds the unacknowledged results that a gate keeps for its origins. */
import type {Clock} from 'sycamoreyoke/clock';
import {RETAINED_RESULT_BYTES, RETAINED_RESULT_MS} from '../constants.js';

/** Where a result is kept. */
export interface ResultHolder {
  removeResult(id: number): void;
}

interface RetainedResult {
  readonly holder: ResultHolder;
  readonly id: number;
  readonly bytes: number;
  readonly addedMs: number;
}

/** Headers and other fields of a result, which are not counted one by one. */
const RESULT_OVERHEAD_BYTES = 1_024;

/** Drops the oldest results of all sessions by their age and total size. */
export class ResultRetention {
  private queue: RetainedResult[] = [];
  private first = 0;
  private totalBytes = 0;

  constructor(private readonly clock: Clock) {}

  /** Makes room for a result; returns false if it is too large to be kept. */
  add(holder: ResultHolder, id: number, bodyBytes: number): boolean {
    const bytes = bodyBytes + RESULT_OVERHEAD_BYTES;
    if (bytes > RETAINED_RESULT_BYTES / 2) return false;
    this.queue.push({holder, id, bytes, addedMs: this.clock.readMs()});
    this.totalBytes += bytes;
    this.removeOldest();
    return true;
  }

  /** Drops what is too old; called regularly and with each new result. */
  removeOldest(): void {
    const oldestMs = this.clock.readMs() - RETAINED_RESULT_MS;
    for (;;) {
      const oldest = this.queue[this.first];
      const isKept =
        !oldest ||
        (oldest.addedMs > oldestMs && this.totalBytes <= RETAINED_RESULT_BYTES);
      if (isKept) break;
      this.first += 1;
      this.totalBytes -= oldest.bytes;
      oldest.holder.removeResult(oldest.id);
    }
    if (this.first * 2 <= this.queue.length) return;
    this.queue = this.queue.slice(this.first);
    this.first = 0;
  }
}
