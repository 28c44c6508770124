/** Entry point of the `sycamoreyoke` command. */
import {defineCommand, runMain} from 'citty';

const main = defineCommand({
  meta: {
    name: 'sycamoreyoke',
    version: '0.1.0',
    description: 'Overload control for service call graphs',
  },
  subCommands: {
    node: async () => (await import('./commands/node.js')).nodeCommand,
    config: async () => (await import('./commands/config.js')).configCommand,
    status: async () => (await import('./commands/status.js')).statusCommand,
    timeline: async () =>
      (await import('./commands/timeline.js')).timelineCommand,
    explain: async () => (await import('./commands/explain.js')).explainCommand,
    load: async () => (await import('./commands/load.js')).loadCommand,
    'stand-in': async () =>
      (await import('./commands/standIn/standIn.js')).standInCommand,
  },
});

await runMain(main);
