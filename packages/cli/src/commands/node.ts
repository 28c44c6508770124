import {startNode} from '@sycamoreyoke/node/startNode';
import {nodeSettingsSchema} from '@sycamoreyoke/node/process/settings';
import {defineCommand} from 'citty';
import {readSettings} from 'sycamoreyoke/settings';
import {printReady} from '../ready.js';

/** Runs the node beside an upstream until SIGTERM. */
export const nodeCommand = defineCommand({
  meta: {name: 'node', description: 'Run the node beside an upstream'},
  async run({rawArgs}) {
    const settings = readSettings(
      'settings of the node',
      nodeSettingsSchema,
      rawArgs,
      process.env,
    );
    const node = await startNode(settings);
    printReady({self: node.self, localPort: node.localPort});
    process.once('SIGTERM', () => void node.stop());
    process.once('SIGINT', () => void node.stop());
  },
});
