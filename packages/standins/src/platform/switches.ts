import {z} from 'zod';

/** Faults and limits of the platform stand-in, changeable while it runs. */
export const switchesSchema = z.strictObject({
  tableOutage: z.boolean().default(false),
  objectStoreOutage: z.boolean().default(false),
  /** Delay of each request to the table and the object store. */
  delayMs: z.int().min(0).max(60_000).default(0),
  /** Fraction of writes that take effect although their response is lost. */
  lostAnswers: z.number().min(0).max(1).default(0),
  writesPerSecond: z.int().min(1).default(500),
  readsPerSecond: z.int().min(1).default(2_000),
});

export type Switches = z.output<typeof switchesSchema>;

/** Limits the operations in each second of the clock. */
export class RateLimiter {
  private currentSecond = 0;
  private usedCount = 0;

  /** Counts an operation; false when it exceeds the limit of its second. */
  take(nowMs: number, limit: number): boolean {
    const second = Math.floor(nowMs / 1_000);
    if (second !== this.currentSecond) {
      this.currentSecond = second;
      this.usedCount = 0;
    }
    this.usedCount += 1;
    return this.usedCount <= limit;
  }
}
