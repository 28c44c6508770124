/** Settings of the load stand-in. */
import {z} from 'zod';

/** How requests of a class are sent. */
export enum SendMode {
  /** Through the caller library: directory, pins, allowance. */
  LIBRARY = 'library',
  /** Plain HTTP to any node, with hard resends. */
  PLAIN = 'plain',
}

/** Load of one request class. */
export const classLoadSchema = z.strictObject({
  requestClass: z.string(),
  /** Arrivals a second outside a surge. */
  perSecond: z.number().min(0).max(100_000),
  mode: z.enum(SendMode).default(SendMode.PLAIN),
  timeoutMs: z.int().min(1).max(120_000).default(1_000),
  /** Resends after a failure, at once and with the same request id. */
  resends: z.int().min(0).max(100).default(0),
  /** Plain mode: send an idempotency key that stays the same. */
  idempotencyKey: z.boolean().default(false),
  /** The class takes part in the surge. */
  surges: z.boolean().default(true),
});

/** A load run. */
export const loadSchema = z.strictObject({
  caller: z.string(),
  token: z.string(),
  /** Public URLs of nodes by service. */
  entries: z.record(z.string(), z.array(z.url()).min(1)),
  classes: z.array(classLoadSchema).min(1),
  /** Service of each class, for plain mode. */
  serviceOfClass: z.record(z.string(), z.string()),
  durationMs: z.int().min(1).max(3_600_000),
  surge: z
    .strictObject({
      startMs: z.int().min(0),
      durationMs: z.int().min(0),
      factor: z.number().min(0).max(1_000),
    })
    .optional(),
  /** Requests in flight at most; arrivals above it are not sent. */
  maxInFlight: z.int().min(1).max(100_000).default(5_000),
});

export type ClassLoad = z.output<typeof classLoadSchema>;
export type LoadOptions = z.output<typeof loadSchema>;
