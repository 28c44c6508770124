/** Runs a measurement: `npm run measure -- NAME [FLAGS]`. */
import {SycamoreyokeError} from 'sycamoreyoke/errors';

/** A measurement parses its own flags and writes its results to `results/`. */
type Measurement = (flags: readonly string[]) => Promise<void>;

/** Measurements by name, imported only when needed to keep the start fast. */
const LOADERS: ReadonlyMap<string, () => Promise<Measurement>> = new Map([
  ['cost', async () => (await import('./cost/runCost.js')).runMeasurement],
  [
    'policy',
    async () => (await import('./policy/runPolicy.js')).runMeasurement,
  ],
  ['scale', async () => (await import('./scale/runScale.js')).runMeasurement],
]);

async function runNamedMeasurement([name = '', ...flags]: readonly string[]) {
  const loadMeasurement = LOADERS.get(name);
  if (!loadMeasurement) {
    const availableNames = [...LOADERS.keys()].join(', ');
    throw new SycamoreyokeError(
      `unknown measurement "${name}"; available: ${availableNames}`,
    );
  }
  const runMeasurement = await loadMeasurement();
  await runMeasurement(flags);
}

try {
  await runNamedMeasurement(process.argv.slice(2));
} catch (error) {
  console.error(error instanceof Error ? error.message : error);
  process.exitCode = 1;
}
