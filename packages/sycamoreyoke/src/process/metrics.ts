/** Counters, gauges and histograms of a process. */
import type {Histogram} from 'hdr-histogram-js';
// Loading the index of the library creates Intl number formats, which takes a
// twentieth of the CPU time of a start.
import {build} from 'hdr-histogram-js/dist/HistogramBuilder.js';

/** Labels of a series. */
export type Labels = Readonly<Record<string, string>>;

const HIGHEST_VALUE_US = 120_000_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = ['0.5', '0.9', '0.99', '0.999'] as const;
const US_PER_SECOND = 1_000_000;
const US_PER_MS = 1_000;

interface Series {
  readonly name: string;
  readonly labels: Labels;
}

interface Counter extends Series {
  value: number;
}

interface Gauge extends Series {
  readonly read: () => number;
}

/** A value of a counter that is kept elsewhere. */
export interface ReadSeries {
  readonly labels: Labels;
  readonly value: number;
}

interface Timer extends Series {
  readonly histogram: Histogram;
  sumUs: number;
}

function formatLabels(labels: Labels): string {
  const pairs = Object.entries(labels).map(
    ([name, value]) => `${name}="${escapeLabel(value)}"`,
  );
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
}

function escapeLabel(value: string): string {
  return value.replace(/[\\"\n]/g, (character) =>
    character === '\n' ? '\\n' : `\\${character}`,
  );
}

/** Builds the key of a series; cheaper than rendering its labels. */
function buildKey(name: string, labels: Labels): string {
  let key = name;
  for (const label in labels) key += `\u0000${labels[label]}`;
  return key;
}

/** Owns all series of a process and renders them. */
export class Metrics {
  private readonly counters = new Map<string, Counter>();
  private readonly gauges = new Map<string, Gauge>();
  private readonly readers = new Map<string, () => readonly ReadSeries[]>();
  private readonly timers = new Map<string, Timer>();

  /** Adds to a counter. */
  count(name: string, labels: Labels = {}, amount = 1): void {
    const key = buildKey(name, labels);
    const counter = this.counters.get(key);
    if (counter) counter.value += amount;
    else this.counters.set(key, {name, labels, value: amount});
  }

  /** Returns the value of a counter, 0 if it does not exist. */
  readCount(name: string, labels: Labels = {}): number {
    return this.counters.get(buildKey(name, labels))?.value ?? 0;
  }

  /** Registers a gauge that is read when the metrics are rendered. */
  watch(name: string, read: () => number, labels: Labels = {}): void {
    this.gauges.set(buildKey(name, labels), {name, labels, read});
  }

  /** Registers counters whose series are read when metrics are rendered. */
  watchSeries(name: string, read: () => readonly ReadSeries[]): void {
    this.readers.set(name, read);
  }

  /** Records a duration in milliseconds. */
  observe(name: string, milliseconds: number, labels: Labels = {}): void {
    const key = buildKey(name, labels);
    const timer = this.timers.get(key) ?? this.createTimer(key, name, labels);
    const us = Math.min(
      HIGHEST_VALUE_US,
      Math.max(1, Math.round(milliseconds * US_PER_MS)),
    );
    timer.histogram.recordValue(us);
    timer.sumUs += us;
  }

  /** Renders all series in the Prometheus text format. */
  render(): string {
    const read = [...this.readers].flatMap(([name, list]) =>
      list().map((series) => ({name, ...series})),
    );
    const counters = [...this.counters.values(), ...read];
    return [
      ...renderFamilies(counters, 'counter', (counter) => [
        `${counter.name}${formatLabels(counter.labels)} ${counter.value}`,
      ]),
      ...renderFamilies([...this.gauges.values()], 'gauge', (gauge) => [
        `${gauge.name}${formatLabels(gauge.labels)} ${gauge.read()}`,
      ]),
      ...renderFamilies([...this.timers.values()], 'summary', renderTimer),
      '',
    ].join('\n');
  }

  private createTimer(key: string, name: string, labels: Labels): Timer {
    const histogram = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: HIGHEST_VALUE_US,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      bitBucketSize: 32,
    });
    const timer = {name, labels, histogram, sumUs: 0};
    this.timers.set(key, timer);
    return timer;
  }
}

function renderTimer(timer: Timer): string[] {
  const quantiles = QUANTILES.map((quantile) => {
    const labels = {...timer.labels, quantile};
    const seconds =
      timer.histogram.getValueAtPercentile(Number(quantile) * 100) /
      US_PER_SECOND;
    return `${timer.name}${formatLabels(labels)} ${seconds}`;
  });
  const suffix = formatLabels(timer.labels);
  return [
    ...quantiles,
    `${timer.name}_sum${suffix} ${timer.sumUs / US_PER_SECOND}`,
    `${timer.name}_count${suffix} ${timer.histogram.totalCount}`,
  ];
}

/** Renders series grouped by name, as the text format requires. */
function renderFamilies<T extends Series>(
  series: readonly T[],
  type: string,
  renderSeries: (series: T) => string[],
): string[] {
  const names = [...new Set(series.map(({name}) => name))].sort();
  return names.flatMap((name) => [
    `# TYPE ${name} ${type}`,
    ...series.filter((each) => each.name === name).flatMap(renderSeries),
  ]);
}
