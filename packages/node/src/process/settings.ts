/** Settings of the node daemon, from flags and environment variables. */
import {z} from 'zod';

const port = z.coerce.number().int().min(0).max(65_535);
const serviceName = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/);

/** Schema of the settings; each key is a flag and a SYCAMOREYOKE_* variable. */
export const nodeSettingsSchema = z.strictObject({
  service: serviceName.describe('service of the upstream beside the node'),
  address: z
    .ipv4()
    .default('127.0.0.1')
    .describe('IPv4 address of the node; default 127.0.0.1'),
  dataCentre: serviceName.describe('data centre of the VM'),
  region: serviceName.default('default').describe('region of the VM'),
  publicPort: port.default(0).describe('calls of callers outside; 0: any'),
  peerPort: port.default(0).describe('calls of other nodes; 0: any'),
  localPort: port.default(0).describe('calls of the own upstream; 0: any'),
  controlPort: port.default(0).describe('messages between nodes; 0: any'),
  adminPort: port.default(0).describe('operators; 0: any'),
  upstream: z.url().describe('URL of the upstream beside the node'),
  slots: z.coerce
    .number()
    .int()
    .min(1)
    .max(10_000)
    .default(50)
    .describe('slots that the upstream announces, 1 to 10,000; default 50'),
  tableUrl: z.url().describe("URL of the platform's table service"),
  objectStoreUrl: z.url().describe("URL of the platform's object store"),
  peers: z
    .string()
    .default('')
    .transform((text) => text.split(',').filter((peer) => peer !== ''))
    .describe('control URLs of known nodes, with commas between'),
  warmUpCalls: z.coerce
    .number()
    .int()
    .min(0)
    .max(100_000)
    .default(3_000)
    .describe('calls to itself before it announces itself; default 3,000'),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('debug, info, warn or error; default info'),
});

export type NodeSettings = z.output<typeof nodeSettingsSchema>;
