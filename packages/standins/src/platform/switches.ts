import {z} from 'zod';

/** Faults of the platform stand-in, switchable while it runs. */
export const switchesSchema = z.strictObject({
  tableOutage: z.boolean().default(false),
  objectStoreOutage: z.boolean().default(false),
  delayMs: z.int().min(0).max(60_000).default(0),
  /** Share of writes that take effect but whose answer is lost. */
  lostAnswers: z.number().min(0).max(1).default(0),
  writesPerSecond: z.int().min(1).default(500),
  readsPerSecond: z.int().min(1).default(2_000),
});

export type Switches = z.output<typeof switchesSchema>;

/** Counts operations of the current second against a limit. */
export class RateLimit {
  private second = 0;
  private used = 0;

  /** True while the limit of this second is not used up. */
  take(nowMs: number, limit: number): boolean {
    const second = Math.floor(nowMs / 1_000);
    if (second !== this.second) {
      this.second = second;
      this.used = 0;
    }
    this.used += 1;
    return this.used <= limit;
  }
}
