import {DEPLOYMENTS} from './deployments.js';
import type {PolicyResult} from './jobs.js';
import {ScenarioName} from './jobs.js';
import type {RunSummary} from './summary.js';

/**
 * Request rate of each kind outside the trigger. The surge multiplies all
 * rates by the same factor, so they can weight the kinds in every phase.
 */
const REQUEST_RATES: ReadonlyMap<string, number> = new Map(
  DEPLOYMENTS.flatMap(({kinds}) =>
    kinds.map(({name, ratePerSecond}) => [name, ratePerSecond] as const),
  ),
);

/** Renders a Markdown table for each scenario and deployment with results. */
export function renderReport(results: readonly PolicyResult[]): string {
  const sections = Object.values(ScenarioName).flatMap((scenario) =>
    DEPLOYMENTS.map(({name}) =>
      renderSection(
        `${name}, ${scenario}`,
        results.filter(
          ({job}) => job.deployment === name && job.scenario === scenario,
        ),
      ),
    ),
  );
  return sections.filter((section) => section !== '').join('\n');
}

function renderSection(
  title: string,
  results: readonly PolicyResult[],
): string {
  const variants = [...new Set(results.map(({job}) => job.variant))];
  if (variants.length === 0) return '';
  const kinds = [...(results[0]?.summary.goodputByKind.keys() ?? [])];
  const ideal = kinds.map((kind) =>
    formatSpread(
      results.map(({summary}) => summary.idealByKind.get(kind) ?? 0),
    ),
  );
  const columns = [
    'variant',
    'goodput / possible',
    'by kind',
    'recovery s',
    'node retries',
    'starts',
    'wasted work',
    'CRITICAL shed',
    'violations',
    ...kinds,
  ];
  const rows = variants.map((variant) =>
    renderRow(
      variant,
      results.filter(({job}) => job.variant === variant),
      kinds,
    ),
  );
  const idealRow = ['possible', '1', '1', '', '', '', '', '', '', ...ideal];
  return [
    `### ${title}`,
    '',
    joinCells(columns),
    joinCells(columns.map(() => '---')),
    ...[idealRow, ...rows].map(joinCells),
    '',
  ].join('\n');
}

function renderRow(
  variant: string,
  results: readonly PolicyResult[],
  kinds: readonly string[],
): string[] {
  const collectFigures = (read: (summary: RunSummary) => number): number[] =>
    results.map(({summary}) => read(summary));
  return [
    variant,
    formatSpread(
      collectFigures(({goodputShare}) => goodputShare),
      3,
    ),
    formatSpread(collectFigures(computeCappedShare), 3),
    formatSpread(collectFigures(({recoveryMs}) => recoveryMs / 1_000)),
    formatMaximum(collectFigures(({mostNodeRetries}) => mostNodeRetries)),
    formatMaximum(collectFigures(({mostStarts}) => mostStarts)),
    formatSpread(
      collectFigures(({wastedShare}) => wastedShare),
      3,
    ),
    formatMaximum(collectFigures(({criticalShed}) => criticalShed)),
    formatMaximum(results.map(({violations}) => violations)),
    ...kinds.map((kind) =>
      formatSpread(
        collectFigures(({goodputByKind}) => goodputByKind.get(kind) ?? 0),
      ),
    ),
  ];
}

/**
 * Computes the served share of the ideal goodput, with the served requests of
 * each kind capped at its ideal: cheap requests served beyond it don't make up
 * for more important ones that were shed.
 */
function computeCappedShare(summary: RunSummary): number {
  let cappedServed = 0;
  let idealTotal = 0;
  for (const [kind, ideal] of summary.idealByKind) {
    const rate = REQUEST_RATES.get(kind) ?? 0;
    cappedServed +=
      rate * Math.min(ideal, summary.goodputByKind.get(kind) ?? 0);
    idealTotal += rate * ideal;
  }
  return cappedServed / idealTotal;
}

/** Formats the mean and the range over the seeds, or one value if equal. */
function formatSpread(values: readonly number[], digits = 2): string {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  const format = (value: number): string =>
    (Math.abs(value) < 0.5 * 10 ** -digits ? 0 : value).toFixed(digits);
  const lowest = format(Math.min(...values));
  const highest = format(Math.max(...values));
  return lowest === highest ? lowest : `${format(mean)} (${lowest}–${highest})`;
}

function formatMaximum(values: readonly number[]): string {
  return String(Math.max(...values));
}

function joinCells(cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`;
}
