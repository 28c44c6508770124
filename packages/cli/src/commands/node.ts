import {startNode} from '@sycamoreyoke/node/startNode';
import {nodeSettingsSchema} from '@sycamoreyoke/node/process/settings';
import {printReady} from '../ready.js';
import {createSettingsCommand} from '../settingsCommand.js';

/** SIGHUP too: settings come from flags, so there is nothing to read again. */
const STOP_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

/** Runs the node beside an upstream until SIGTERM. */
export const nodeCommand = createSettingsCommand({
  name: 'node',
  description: 'Run the node beside an upstream until SIGTERM',
  examples: [
    'sycamoreyoke node --service tracking --data-centre oviedo --upstream http://127.0.0.1:8080 --table-url http://10.0.0.1:7000 --object-store-url http://10.0.0.1:7000',
  ],
  schema: nodeSettingsSchema,
  async run(settings) {
    const starting = startNode(settings);
    // A further signal joins the stop; without a handler it would cut it short.
    const stop = () => void starting.then((node) => node.stop());
    for (const signal of STOP_SIGNALS) process.on(signal, stop);
    const node = await starting;
    printReady({self: node.self, localPort: node.localPort});
  },
});
