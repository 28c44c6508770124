/** Settings of a load run, as written in a load plan. */
import {z} from 'zod';

/** How requests of a class are sent. */
export enum SendMode {
  /** Through the caller library, with directory, pins and retry allowance. */
  LIBRARY = 'library',
  /** Plain HTTP to a random node, with immediate resends. */
  PLAIN = 'plain',
}

/** Load of one request class. */
export const classLoadSchema = z.strictObject({
  requestClass: z.string(),
  /** Arrivals per second outside the surge. */
  perSecond: z.number().min(0).max(100_000),
  mode: z.enum(SendMode).default(SendMode.PLAIN),
  timeoutMs: z.int().min(1).max(120_000).default(1_000),
  /**
   * Plain mode: resends after a failure, without delay and with the same
   * request id.
   */
  resends: z.int().min(0).max(100).default(0),
  /** Plain mode: all sends of a request carry the same idempotency key. */
  idempotencyKey: z.boolean().default(false),
  /** True when the surge applies to this class. */
  surges: z.boolean().default(true),
});

/** A load run. */
export const loadSchema = z.strictObject({
  caller: z.string(),
  token: z.string(),
  /** Public URLs of nodes, by service. */
  entries: z.record(z.string(), z.array(z.url()).min(1)),
  classes: z.array(classLoadSchema).min(1),
  /** Plain mode: the service of each class. */
  serviceOfClass: z.record(z.string(), z.string()),
  durationMs: z.int().min(1).max(3_600_000),
  surge: z
    .strictObject({
      startMs: z.int().min(0),
      durationMs: z.int().min(0),
      factor: z.number().min(0).max(1_000),
    })
    .optional(),
  /** Limit on requests in flight; further arrivals are dropped. */
  maxInFlight: z.int().min(1).max(100_000).default(5_000),
});

export type ClassLoad = z.output<typeof classLoadSchema>;
export type LoadOptions = z.output<typeof loadSchema>;
