import {defineCommand} from 'citty';

/** Groups the stand-ins for external systems, for tests and demos. */
export const standInCommand = defineCommand({
  meta: {
    name: 'stand-in',
    description: 'Run a stand-in for an external system',
  },
  subCommands: {
    platform: async () => (await import('./platform.js')).platformCommand,
    upstream: async () => (await import('./upstream.js')).upstreamCommand,
  },
});
