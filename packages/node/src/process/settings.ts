/** Settings of the node daemon, from flags and environment variables. */
import {ValidationError} from 'sycamoreyoke/errors';
import {z} from 'zod';

const port = z.coerce.number().int().min(0).max(65_535);
const serviceName = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/);

/** Schema of the settings; each key is a flag and a SYCAMOREYOKE_* variable. */
export const nodeSettingsSchema = z.strictObject({
  service: serviceName,
  address: z.ipv4().default('127.0.0.1'),
  dataCentre: serviceName,
  region: serviceName.default('default'),
  publicPort: port.default(0),
  peerPort: port.default(0),
  localPort: port.default(0),
  controlPort: port.default(0),
  adminPort: port.default(0),
  upstream: z.url().describe('URL of the upstream beside the node'),
  slots: z.coerce.number().int().min(1).max(10_000).default(50),
  tableUrl: z.url(),
  objectStoreUrl: z.url(),
  peers: z
    .string()
    .default('')
    .transform((text) => text.split(',').filter((peer) => peer !== '')),
  warmUpCalls: z.coerce.number().int().min(0).max(100_000).default(3_000),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

export type NodeSettings = z.output<typeof nodeSettingsSchema>;

const ENVIRONMENT_PREFIX = 'SYCAMOREYOKE_';

/** Name of the environment variable of a setting. */
export function formatVariableName(setting: string): string {
  const snake = setting.replace(/[A-Z]/g, (letter) => `_${letter}`);
  return ENVIRONMENT_PREFIX + snake.toUpperCase();
}

/** Reads settings; flags go before variables; reports all faults together. */
export function readNodeSettings(
  flags: Readonly<Record<string, unknown>>,
  environment: Readonly<Record<string, string | undefined>>,
): NodeSettings {
  const names = Object.keys(nodeSettingsSchema.shape);
  const variables = new Map(
    names.map((setting) => [formatVariableName(setting), setting]),
  );
  const raw: Record<string, unknown> = {};
  const unknown: string[] = [];
  for (const [variable, value] of Object.entries(environment)) {
    if (!variable.startsWith(ENVIRONMENT_PREFIX)) continue;
    const setting = variables.get(variable);
    if (setting === undefined) unknown.push(variable);
    else raw[setting] = value;
  }
  const result = nodeSettingsSchema.safeParse({...raw, ...flags});
  const findings = unknown.map((variable) => ({
    place: variable,
    message: 'unknown environment variable',
  }));
  if (result.success && findings.length === 0) return result.data;
  const issues = result.success ? [] : result.error.issues;
  throw new ValidationError('settings of the node', [
    ...findings,
    ...issues.map((issue) => ({
      place: issue.path.join('.') || 'settings',
      message: issue.message,
    })),
  ]);
}
