import {startNode} from '@sycamoreyoke/node/startNode';
import {nodeSettingsSchema} from '@sycamoreyoke/node/process/settings';
import {printReady} from '../ready.js';
import {createSettingsCommand} from '../settingsCommand.js';

/** Runs the node beside an upstream until SIGTERM. */
export const nodeCommand = createSettingsCommand({
  name: 'node',
  description: 'Run the node beside an upstream until SIGTERM',
  examples: [
    'sycamoreyoke node --service tracking --data-centre oviedo --upstream http://127.0.0.1:8080 --table-url http://10.0.0.1:7000 --object-store-url http://10.0.0.1:7000',
  ],
  schema: nodeSettingsSchema,
  async run(settings) {
    const node = await startNode(settings);
    printReady({self: node.self, localPort: node.localPort});
    process.once('SIGTERM', () => void node.stop());
    process.once('SIGINT', () => void node.stop());
  },
});
