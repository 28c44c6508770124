import {DEPLOYMENTS} from './deployments.js';
import type {PolicyResult} from './jobs.js';
import {ScenarioName} from './jobs.js';
import type {RunSummary} from './summary.js';

/**
 * Request rate of each kind outside the trigger. The surge multiplies all
 * rates by the same factor, so they can weight the kinds in every phase.
 */
const RATES: ReadonlyMap<string, number> = new Map(
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
  const possible = ['possible', '1', '1', '', '', '', '', '', '', ...ideal];
  return [
    `### ${title}`,
    '',
    joinCells(columns),
    joinCells(columns.map(() => '---')),
    ...[possible, ...rows].map(joinCells),
    '',
  ].join('\n');
}

function renderRow(
  variant: string,
  results: readonly PolicyResult[],
  kinds: readonly string[],
): string[] {
  const measure = (read: (summary: RunSummary) => number): number[] =>
    results.map(({summary}) => read(summary));
  return [
    variant,
    formatSpread(
      measure(({goodputShare}) => goodputShare),
      3,
    ),
    formatSpread(measure(computeCappedShare), 3),
    formatSpread(measure(({recoveryMs}) => recoveryMs / 1_000)),
    formatMost(measure(({mostNodeRetries}) => mostNodeRetries)),
    formatMost(measure(({mostStarts}) => mostStarts)),
    formatSpread(
      measure(({wastedShare}) => wastedShare),
      3,
    ),
    formatMost(measure(({criticalShed}) => criticalShed)),
    formatMost(results.map(({violations}) => violations)),
    ...kinds.map((kind) =>
      formatSpread(measure(({goodputByKind}) => goodputByKind.get(kind) ?? 0)),
    ),
  ];
}

/**
 * Computes the served share of the ideal goodput, with the served requests of
 * each kind capped at its ideal: cheap requests served beyond it don't make up
 * for more important ones that were shed.
 */
function computeCappedShare(summary: RunSummary): number {
  let served = 0;
  let possible = 0;
  for (const [kind, ideal] of summary.idealByKind) {
    const rate = RATES.get(kind) ?? 0;
    served += rate * Math.min(ideal, summary.goodputByKind.get(kind) ?? 0);
    possible += rate * ideal;
  }
  return served / possible;
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

function formatMost(values: readonly number[]): string {
  return String(Math.max(...values));
}

function joinCells(cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`;
}
