import type {PolicyResult} from './jobs.js';
import {BIN_MS} from './runCounts.js';
import {MAIN_SCENARIO} from './types.js';

const WIDTH = 800;
const HEIGHT = 360;
const MARGIN = 50;
const VARIANT_COLOURS = ['#1b6ca8', '#2a9d4a', '#c0392b'];
const SHOWN_VARIANTS = [
  'ours, lean RECOVERY',
  'ours, lean GOODPUT',
  'naive node',
];

/**
 * Renders an SVG plot of the requests served end to end per second over time.
 * Shows the first result of each main variant, and the offered load.
 */
export function renderPlot(
  title: string,
  results: readonly PolicyResult[],
): string {
  const shownResults = SHOWN_VARIANTS.flatMap(
    (name) => results.find(({job}) => job.variant === name) ?? [],
  );
  const offered = shownResults[0]?.summary.offeredBins ?? [];
  const highestCount = Math.max(1, ...offered);
  const lines = [
    renderLine(offered, highestCount, '#888888'),
    ...shownResults.map(({summary}, index) =>
      renderLine(
        summary.servedBins,
        highestCount,
        VARIANT_COLOURS[index] ?? '#000000',
      ),
    ),
  ];
  const labels = ['offered', ...shownResults.map(({job}) => job.variant)].map(
    (label, index) =>
      `<text x="${MARGIN + 8}" y="${MARGIN + 16 * index}" fill="${index === 0 ? '#888888' : (VARIANT_COLOURS[index - 1] ?? '')}">${label}</text>`,
  );
  const perSecond = Math.round((highestCount * 1_000) / BIN_MS);
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="12">`,
    '<rect width="100%" height="100%" fill="#ffffff"/>',
    renderTrigger(),
    ...lines,
    ...labels,
    `<text x="${MARGIN}" y="20">${title}: whole requests a second (top: ${perSecond}); shaded: trigger</text>`,
    `<text x="${MARGIN}" y="${HEIGHT - 12}">0 s</text>`,
    `<text x="${WIDTH - MARGIN}" y="${HEIGHT - 12}">${MAIN_SCENARIO.endMs / 1_000} s</text>`,
    '</svg>',
    '',
  ].join('\n');
}

function renderTrigger(): string {
  const left = computeX(MAIN_SCENARIO.triggerStartMs);
  const width = computeX(MAIN_SCENARIO.triggerEndMs) - left;
  return `<rect x="${left}" y="${MARGIN}" width="${width}" height="${HEIGHT - 2 * MARGIN}" fill="#f4e3d7"/>`;
}

function renderLine(
  bins: readonly number[],
  highestCount: number,
  colour: string,
): string {
  const binCount = MAIN_SCENARIO.endMs / BIN_MS;
  const points = Array.from({length: binCount}, (_, index) => {
    const height = ((bins[index] ?? 0) / highestCount) * (HEIGHT - 2 * MARGIN);
    const y = HEIGHT - MARGIN - height;
    return `${computeX(index * BIN_MS).toFixed(1)},${y.toFixed(1)}`;
  });
  return `<polyline fill="none" stroke="${colour}" points="${points.join(' ')}"/>`;
}

function computeX(timeMs: number): number {
  return MARGIN + (timeMs / MAIN_SCENARIO.endMs) * (WIDTH - 2 * MARGIN);
}
