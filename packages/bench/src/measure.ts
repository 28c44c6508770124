/** Runs one of the measurements: `npm run measure -- NAME [FLAGS]`. */

/** A measurement reads its own flags and writes below `results/`. */
type Measurement = (flags: readonly string[]) => Promise<void>;

interface MeasurementModule {
  readonly runMeasurement: Measurement;
}

/** Module of each measurement, relative to this one. */
const MODULES: ReadonlyMap<string, string> = new Map([
  ['cost', './cost/runCost.js'],
  ['policy', './policy/runPolicy.js'],
  ['scale', './scale/runScale.js'],
]);

async function loadMeasurement(name: string): Promise<Measurement> {
  const path = MODULES.get(name);
  if (path === undefined) {
    const known = [...MODULES.keys()].join(', ');
    throw new Error(`unknown measurement "${name}"; known are: ${known}`);
  }
  try {
    const module = (await import(path)) as MeasurementModule;
    return module.runMeasurement;
  } catch (error) {
    if (!isMissing(error, path)) throw error;
    throw new Error(`measurement "${name}" does not exist yet (${path})`);
  }
}

/** Tells a missing measurement from a missing dependency of one. */
function isMissing(error: unknown, path: string): boolean {
  return (
    error instanceof Error &&
    'code' in error &&
    error.code === 'ERR_MODULE_NOT_FOUND' &&
    error.message.includes(`${path.slice(1)}' imported from`)
  );
}

async function runNamed([name, ...flags]: readonly string[]): Promise<void> {
  const run = await loadMeasurement(name ?? '');
  await run(flags);
}

try {
  await runNamed(process.argv.slice(2));
} catch (error) {
  console.error(error instanceof Error ? error.message : error);
  process.exitCode = 1;
}
