/** Runs one of the measurements: `npm run measure -- NAME [FLAGS]`. */
import {SycamoreyokeError} from 'sycamoreyoke/errors';

/** A measurement reads its own flags and writes below `results/`. */
type Measurement = (flags: readonly string[]) => Promise<void>;

/** Loaded by name, since each brings modules that the others do not need. */
const LOADERS: ReadonlyMap<string, () => Promise<Measurement>> = new Map([
  ['cost', async () => (await import('./cost/runCost.js')).runMeasurement],
  [
    'policy',
    async () => (await import('./policy/runPolicy.js')).runMeasurement,
  ],
  ['scale', async () => (await import('./scale/runScale.js')).runMeasurement],
]);

async function runNamed([name = '', ...flags]: readonly string[]) {
  const load = LOADERS.get(name);
  if (!load) {
    const known = [...LOADERS.keys()].join(', ');
    throw new SycamoreyokeError(
      `unknown measurement "${name}"; known are: ${known}`,
    );
  }
  const run = await load();
  await run(flags);
}

try {
  await runNamed(process.argv.slice(2));
} catch (error) {
  console.error(error instanceof Error ? error.message : error);
  process.exitCode = 1;
}
