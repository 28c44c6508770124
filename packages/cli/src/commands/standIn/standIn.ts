import {defineCommand} from 'citty';

/** Runs a stand-in of an outside system. */
export const standInCommand = defineCommand({
  meta: {name: 'stand-in', description: 'Run a stand-in of an outside system'},
  subCommands: {
    platform: async () => (await import('./platform.js')).platformCommand,
    upstream: async () => (await import('./upstream.js')).upstreamCommand,
  },
});
