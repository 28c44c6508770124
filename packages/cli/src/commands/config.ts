import {defineCommand} from 'citty';
import {EXIT_CODES_HELP} from './config/shared.js';

/** Groups the subcommands that check, publish and show configurations. */
export const configCommand = defineCommand({
  meta: {
    name: 'config',
    description: `Check, compare and publish the configuration.\n${EXIT_CODES_HELP}`,
  },
  subCommands: {
    check: async () => (await import('./config/check.js')).checkCommand,
    diff: async () => (await import('./config/diff.js')).diffCommand,
    publish: async () =>
      (await import('./config/publish.js')).buildPublishCommand(),
    show: async () => (await import('./config/show.js')).showCommand,
    history: async () => (await import('./config/history.js')).historyCommand,
  },
});
