import {startNode} from '@sycamoreyoke/node/startNode';
import {readNodeSettings} from '@sycamoreyoke/node/process/settings';
import {defineCommand} from 'citty';

/** Runs the node beside an upstream. */
export const nodeCommand = defineCommand({
  meta: {name: 'node', description: 'Run the node beside an upstream'},
  async run({rawArgs}) {
    const settings = readNodeSettings(parseFlags(rawArgs), process.env);
    const node = await startNode(settings);
    console.log(JSON.stringify({self: node.self, localPort: node.localPort}));
    process.once('SIGTERM', () => void node.stop());
    process.once('SIGINT', () => void node.stop());
  },
});

function parseFlags(rawArgs: readonly string[]): Record<string, string> {
  const flags: Record<string, string> = {};
  for (let index = 0; index < rawArgs.length; index += 2) {
    const name = (rawArgs[index] ?? '').replace(/^--/, '');
    const camel = name.replace(/-([a-z])/g, (_match, letter: string) =>
      letter.toUpperCase(),
    );
    flags[camel] = rawArgs[index + 1] ?? '';
  }
  return flags;
}
