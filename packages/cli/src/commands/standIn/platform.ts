import type {AddressInfo} from 'node:net';
import {startPlatform} from '@sycamoreyoke/standins/platform/platformServer';
import {defineCommand} from 'citty';
import {readSettings} from 'sycamoreyoke/settings';
import {z} from 'zod';
import {printReady} from '../../ready.js';

const settingsSchema = z.strictObject({
  address: z.ipv4().default('127.0.0.1').describe('address to listen on'),
  port: z.coerce.number().int().min(0).max(65_535).default(0),
});

/** Runs the stand-in of the table service and the object store. */
export const platformCommand = defineCommand({
  meta: {name: 'platform', description: 'Table service and object store'},
  async run({rawArgs}) {
    const settings = readSettings(
      'settings of the platform stand-in',
      settingsSchema,
      rawArgs,
      process.env,
    );
    const server = await startPlatform(settings.port, settings.address);
    printReady({port: (server.address() as AddressInfo).port});
    process.once('SIGTERM', () => {
      server.close();
      server.closeAllConnections();
    });
  },
});
