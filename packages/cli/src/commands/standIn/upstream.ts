import type {AddressInfo} from 'node:net';
import {
  behaviourSchema,
  parseOutgoingCalls,
} from '@sycamoreyoke/standins/upstream/options';
import {startUpstream} from '@sycamoreyoke/standins/upstream/upstreamServer';
import {z} from 'zod';
import {printReady} from '../../ready.js';
import {createSettingsCommand} from '../../settingsCommand.js';

const settingsSchema = z.strictObject({
  address: z.ipv4().default('127.0.0.1').describe('address to listen on'),
  port: z.coerce.number().int().min(0).max(65_535).default(0),
  name: z.string().default('upstream').describe('name in its responses'),
  connections: z.coerce.number().int().min(1).max(10_000).default(350),
  egress: z.url().optional().describe('URL of the local port of its node'),
  calls: z
    .string()
    .default('')
    .describe('calls that it makes, such as "book-resole>status"'),
  ...behaviourSchema.shape,
});

/** Runs a stand-in for an upstream until SIGTERM. */
export const upstreamCommand = createSettingsCommand({
  name: 'upstream',
  description: 'Run a stand-in for an upstream until SIGTERM',
  examples: [
    'sycamoreyoke stand-in upstream --name a --slots 35 --egress http://127.0.0.1:7301 --calls "book-resole>status"',
  ],
  schema: settingsSchema,
  async run(settings) {
    const {address, port, name, connections, egress, calls, ...behaviour} =
      settings;
    const upstream = await startUpstream(
      {
        name,
        connections,
        callsBelow: parseOutgoingCalls(calls),
        behaviour,
        ...(egress === undefined ? {} : {egress}),
      },
      port,
      address,
    );
    printReady({port: (upstream.server.address() as AddressInfo).port});
    process.once('SIGTERM', () => {
      void upstream.drain().then(() => process.exit(0));
    });
  },
});
