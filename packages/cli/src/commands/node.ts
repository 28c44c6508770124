import {startNode} from '@sycamoreyoke/node/startNode';
import {nodeSettingsSchema} from '@sycamoreyoke/node/process/settings';
import {printReady} from '../ready.js';
import {createSettingsCommand} from '../settingsCommand.js';

/**
 * SIGHUP stops the node too: settings come from flags and variables, so there
 * is nothing to reload.
 */
const STOP_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

/** Runs the node beside an upstream until a stop signal. */
export const nodeCommand = createSettingsCommand({
  name: 'node',
  description: 'Run the node beside an upstream until SIGTERM',
  examples: [
    'sycamoreyoke node --service tracking --data-centre oviedo --upstream http://127.0.0.1:8080 --table-url http://10.0.0.1:7000 --object-store-url http://10.0.0.1:7000',
  ],
  schema: nodeSettingsSchema,
  async run(settings) {
    const nodePromise = startNode(settings);
    // The handlers stay installed, so that a second signal does not kill the
    // process during the stop.
    const stop = () => void nodePromise.then((node) => node.stop());
    for (const signal of STOP_SIGNALS) process.on(signal, stop);
    const node = await nodePromise;
    printReady({self: node.self, localPort: node.localPort});
  },
});
