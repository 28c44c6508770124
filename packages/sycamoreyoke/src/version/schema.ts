/** Schemas of the configuration objects. */
import {z} from 'zod';
import {RepeatGuard} from '../types.js';
import {MAX_CALLER_CLASSES} from './constants.js';
import {ImportanceName, Lean, ObjectKind} from './types.js';

const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    'must be 1 to 63 of a-z 0-9 -, not beginning with -',
  );

const serviceSchema = z.strictObject({
  kind: z.literal(ObjectKind.SERVICE),
  name,
  policy: name,
});

const requestClassSchema = z.strictObject({
  kind: z.literal(ObjectKind.REQUEST_CLASS),
  name,
  service: name,
  importance: z.enum(ImportanceName),
  idempotent: z.boolean(),
  guard: z.enum(RepeatGuard).default(RepeatGuard.NONE),
  retryLimit: name,
  timeoutMs: z.int().min(1).max(120_000),
});

const retryLimitSchema = z.strictObject({
  kind: z.literal(ObjectKind.RETRY_LIMIT),
  name,
  perRequest: z.int().min(0).max(100),
  shareOfTraffic: z.number().min(0).max(1),
  backoffBaseMs: z.int().min(1).max(10_000),
  backoffMaxMs: z.int().min(1).max(60_000),
});

const callerSchema = z.strictObject({
  kind: z.literal(ObjectKind.CALLER),
  name,
  tokenSha256: z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 hex digits'),
  classes: z.array(name).min(1).max(MAX_CALLER_CLASSES),
  trusted: z.boolean().default(false),
});

const policySchema = z.strictObject({
  kind: z.literal(ObjectKind.POLICY),
  name,
  lean: z.enum(Lean),
  queueLimit: z.int().min(0).max(100_000),
});

/** Any named object of a configuration. */
export const objectSchema = z.discriminatedUnion('kind', [
  serviceSchema,
  requestClassSchema,
  retryLimitSchema,
  callerSchema,
  policySchema,
]);

/** A configuration file; it may contain any subset of the objects. */
export const fileSchema = z.strictObject({
  $schema: z.string().optional(),
  objects: z.array(objectSchema),
});

/** Builds the JSON Schema of a configuration file, for editors. */
export function buildJsonSchema(): unknown {
  return z.toJSONSchema(fileSchema, {io: 'input'});
}
