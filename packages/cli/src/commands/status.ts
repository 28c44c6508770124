import {z} from 'zod';
import {ExitCode} from '../exitCodes.js';
import type {NodeReport} from '../fleet.js';
import {readFleet} from '../fleet.js';
import {jsonSetting, nodesSetting} from '../nodesSetting.js';
import {renderTable} from '../renderTable.js';
import {createSettingsCommand} from '../settingsCommand.js';

const COLUMN_TITLES = [
  'service',
  'dataCentre',
  'state',
  'ready',
  'version',
  'limit',
  'running',
  'waiting',
  'violations',
  'admin',
];

function renderRow({url, status, error}: NodeReport): (string | number)[] {
  if (!status) return ['?', '?', error ?? '?', '', '', '', '', '', '', url];
  return [
    status.self.service,
    status.self.dataCentre,
    status.self.state,
    String(status.isReady),
    status.configurationVersion,
    status.gate.limit,
    status.gate.running,
    status.gate.waiting,
    status.invariantViolations,
    url,
  ];
}

/** Shows the given nodes and all members that they know. */
export const statusCommand = createSettingsCommand({
  name: 'status',
  description: 'Show all nodes: state, configuration version, limit, queue',
  examples: ['sycamoreyoke status --nodes http://10.0.0.1:9100'],
  schema: z.strictObject({nodes: nodesSetting, json: jsonSetting}),
  async run({nodes, json}) {
    const reports = await readFleet(nodes);
    const rows = reports.map(renderRow).sort();
    const output = json
      ? JSON.stringify(reports, null, 2)
      : renderTable(COLUMN_TITLES, rows);
    process.stdout.write(`${output}\n`);
    if (!reports.some(({status}) => status)) {
      process.exitCode = ExitCode.UNAVAILABLE;
    }
  },
});
