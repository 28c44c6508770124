/** Settings of the node daemon, from flags and environment variables. */
import {z} from 'zod';

const portSchema = z.coerce.number().int().min(0).max(65_535);
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/);

/** Schema of the settings; each key is a flag and a SYCAMOREYOKE_* variable. */
export const nodeSettingsSchema = z.strictObject({
  service: nameSchema.describe('service of the upstream beside the node'),
  address: z
    .ipv4()
    .default('127.0.0.1')
    .describe('IPv4 address of the node; default 127.0.0.1'),
  dataCentre: nameSchema.describe('data centre of the VM'),
  region: nameSchema.default('default').describe('region of the VM'),
  publicPort: portSchema
    .default(0)
    .describe('calls of outside callers; 0: any free port'),
  peerPort: portSchema
    .default(0)
    .describe('calls of other nodes; 0: any free port'),
  localPort: portSchema
    .default(0)
    .describe('calls of the upstream; 0: any free port'),
  controlPort: portSchema
    .default(0)
    .describe('control messages of nodes; 0: any free port'),
  adminPort: portSchema
    .default(0)
    .describe('HTTP for operators; 0: any free port'),
  upstream: z.url().describe('URL of the upstream beside the node'),
  slots: z.coerce
    .number()
    .int()
    .min(1)
    .max(10_000)
    .default(50)
    .describe('request slots of the upstream, 1 to 10,000; default 50'),
  tableUrl: z.url().describe("URL of the platform's table service"),
  objectStoreUrl: z.url().describe("URL of the platform's object store"),
  peers: z
    .string()
    .default('')
    .transform((text) => text.split(',').filter((peer) => peer !== ''))
    .describe('control URLs of known nodes, comma-separated'),
  warmUpCalls: z.coerce
    .number()
    .int()
    .min(0)
    .max(100_000)
    .default(3_000)
    .describe(
      'warm-up calls to itself before it announces itself; default 3,000',
    ),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('debug, info, warn or error; default info'),
});

export type NodeSettings = z.output<typeof nodeSettingsSchema>;
