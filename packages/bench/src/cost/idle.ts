/** Measures the resource usage of nodes without load. */
import {setTimeout as wait} from 'node:timers/promises';
import type {CostNode} from './costFleet.js';
import {parseMetric, readMetrics} from './costFleet.js';

const IDLE_DURATION_MS = 10_000;

/** Usage of an idle node; undefined where the node exports no metric. */
export interface IdleUsage {
  readonly node: string;
  readonly receivedBytesPerSecond: number | undefined;
  readonly sentBytesPerSecond: number | undefined;
  /** CPU time as a share of one core. */
  readonly cpuShare: number | undefined;
  readonly residentBytes: number | undefined;
}

/** Measures the usage of the nodes over 10 s, in which no call is sent. */
export async function measureIdle(
  nodes: readonly CostNode[],
): Promise<IdleUsage[]> {
  const startMs = performance.now();
  const before = await Promise.all(nodes.map(readMetrics));
  await wait(IDLE_DURATION_MS);
  const after = await Promise.all(nodes.map(readMetrics));
  const seconds = (performance.now() - startMs) / 1_000;
  return nodes.map(({self}, index) => {
    const first = before[index] ?? '';
    const last = after[index] ?? '';
    const computeRate = (name: string) => {
      const from = parseMetric(first, name);
      const to = parseMetric(last, name);
      if (from === undefined || to === undefined) return undefined;
      return (to - from) / seconds;
    };
    return {
      node: self.service,
      receivedBytesPerSecond: computeRate(
        'sycamoreyoke_control_received_bytes_total',
      ),
      sentBytesPerSecond: computeRate('sycamoreyoke_control_sent_bytes_total'),
      cpuShare: computeRate('sycamoreyoke_cpu_seconds_total'),
      residentBytes: parseMetric(last, 'sycamoreyoke_resident_bytes'),
    };
  });
}

function formatNumber(value: number | undefined, digits: number): string {
  return value === undefined ? 'not known' : value.toFixed(digits);
}

/** Renders the idle usage as a Markdown table. */
export function renderIdle(usages: readonly IdleUsage[]): string {
  return [
    '| node | control bytes/s received | control bytes/s sent | CPU, % of a core | memory MB |',
    '|---|---|---|---|---|',
    ...usages.map((usage) => {
      const cpu =
        usage.cpuShare === undefined ? undefined : usage.cpuShare * 100;
      const residentMb =
        usage.residentBytes === undefined
          ? undefined
          : usage.residentBytes / 1e6;
      const cells = [
        usage.node,
        formatNumber(usage.receivedBytesPerSecond, 0),
        formatNumber(usage.sentBytesPerSecond, 0),
        formatNumber(cpu, 2),
        formatNumber(residentMb, 0),
      ];
      return `| ${cells.join(' | ')} |`;
    }),
  ].join('\n');
}
