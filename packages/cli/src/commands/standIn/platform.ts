import type {AddressInfo} from 'node:net';
import {startPlatform} from '@sycamoreyoke/standins/platform/platformServer';
import {z} from 'zod';
import {printReady} from '../../ready.js';
import {createSettingsCommand} from '../../settingsCommand.js';

const settingsSchema = z.strictObject({
  address: z.ipv4().default('127.0.0.1').describe('address to listen on'),
  port: z.coerce.number().int().min(0).max(65_535).default(0),
});

/** Runs a stand-in for the table service and the object store. */
export const platformCommand = createSettingsCommand({
  name: 'platform',
  description: 'Run a stand-in for the table service and the object store',
  examples: ['sycamoreyoke stand-in platform --port 7000'],
  schema: settingsSchema,
  async run(settings) {
    const server = await startPlatform(settings.port, settings.address);
    printReady({port: (server.address() as AddressInfo).port});
    process.once('SIGTERM', () => {
      server.close();
      server.closeAllConnections();
    });
  },
});
