/** Publishes the first configuration to an empty table. */
import {writeFile} from 'node:fs/promises';
import {SycamoreyokeError} from 'sycamoreyoke/errors';
import type {ConfigurationObject} from 'sycamoreyoke/version/types';
import type {Launcher} from './launcher.js';

/**
 * Publishes a set of objects with `config publish`. Leaves the published file,
 * configuration.json, in the folder.
 * @throws SycamoreyokeError with the output of the command if it fails.
 */
export async function publishObjects(
  launcher: Launcher,
  platformUrl: string,
  objects: readonly ConfigurationObject[],
  folder: string,
): Promise<void> {
  const path = `${folder}/configuration.json`;
  await writeFile(path, JSON.stringify({objects}));
  const lines: string[] = [];
  const code = await launcher.run(
    'publish',
    [
      ...['config', 'publish', '--base', '0', '--who', 'bench'],
      ...['--table-url', platformUrl, '--object-store-url', platformUrl, path],
    ],
    (line) => lines.push(line),
  );
  if (code === 0) return;
  throw new SycamoreyokeError(`publish failed: ${lines.join('; ')}`);
}
