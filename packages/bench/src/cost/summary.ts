/** Statistics and the result table of the cost measurement. */

/** Result of one round of calls on one path. */
export interface CostRound {
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** CPU time of all hops per call; undefined if there is no hop. */
  readonly cpuMsPerCall?: number;
}

/** A path with its rounds, in the order in which they ran. */
export interface CostPath {
  readonly name: string;
  readonly rounds: readonly CostRound[];
  /** Resident memory of all nodes on the path after the rounds. */
  readonly residentBytes?: number;
}

/** Median and range over the rounds. */
export interface Spread {
  readonly median: number;
  readonly least: number;
  readonly most: number;
}

const NOT_KNOWN = 'not known';
const BYTES_PER_MB = 1_000_000;

/** Computes median and range; undefined if a value is missing or none given. */
export function computeSpread(
  values: ReadonlyArray<number | undefined>,
): Spread | undefined {
  const definedValues = values.filter((value) => value !== undefined);
  if (definedValues.length === 0 || definedValues.length < values.length)
    return undefined;
  const sorted = [...definedValues].sort((a, b) => a - b);
  const upperMiddle = sorted[Math.floor(sorted.length / 2)] ?? NaN;
  const lowerMiddle = sorted[Math.floor((sorted.length - 1) / 2)] ?? NaN;
  return {
    median: (lowerMiddle + upperMiddle) / 2,
    least: sorted[0] ?? NaN,
    most: sorted.at(-1) ?? NaN,
  };
}

/**
 * Computes the spread of the difference between a path and a base path. The
 * values are subtracted round by round.
 */
export function computeAddedCost(
  path: CostPath,
  base: CostPath,
  read: (round: CostRound) => number | undefined,
): Spread | undefined {
  return computeSpread(
    path.rounds.map((round, index) => {
      const baseRound = base.rounds[index];
      const pathValue = read(round);
      const baseValue = baseRound && read(baseRound);
      if (pathValue === undefined || baseValue === undefined) return undefined;
      return pathValue - baseValue;
    }),
  );
}

/** Formats a median and its range. */
export function formatSpread(spread: Spread | undefined): string {
  if (!spread) return NOT_KNOWN;
  const {median, least, most} = spread;
  return `${median.toFixed(2)} (${least.toFixed(2)} to ${most.toFixed(2)})`;
}

function renderRow(path: CostPath, direct: CostPath): string {
  const {rounds, residentBytes} = path;
  const cells = [
    path.name,
    formatSpread(computeSpread(rounds.map(({p50Ms}) => p50Ms))),
    formatSpread(computeSpread(rounds.map(({p99Ms}) => p99Ms))),
    path === direct
      ? '–'
      : formatSpread(computeAddedCost(path, direct, ({p50Ms}) => p50Ms)),
    path === direct
      ? '–'
      : formatSpread(computeAddedCost(path, direct, ({p99Ms}) => p99Ms)),
    path === direct
      ? '–'
      : formatSpread(
          computeSpread(rounds.map(({cpuMsPerCall}) => cpuMsPerCall)),
        ),
    residentBytes === undefined
      ? '–'
      : (residentBytes / BYTES_PER_MB).toFixed(0),
  ];
  return `| ${cells.join(' | ')} |`;
}

/** Renders a Markdown table of paths; the first one must be the direct call. */
export function renderPaths(paths: readonly CostPath[]): string {
  const [direct] = paths;
  if (!direct) return '';
  return [
    '| path | p50 ms | p99 ms | added p50 ms | added p99 ms | CPU ms a call | memory MB |',
    '|---|---|---|---|---|---|---|',
    ...paths.map((path) => renderRow(path, direct)),
  ].join('\n');
}
