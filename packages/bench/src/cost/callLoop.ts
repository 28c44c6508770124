/** Sends calls at a constant rate and measures their latencies. */
import {setTimeout as wait} from 'node:timers/promises';
import {Pool} from 'undici';

/** Target of the calls, and the headers of each call by its index. */
export interface CallTarget {
  readonly origin: string;
  readonly path: string;
  readonly buildHeaders: (index: number) => Record<string, string>;
}

const CONNECTIONS = 64;
const TICK_MS = 1;
const MS_PER_SECOND = 1_000;

/**
 * Sends `count` calls at `perSecond` and returns their latencies in ms, in the
 * order of completion. The rate doesn't depend on the responses.
 * @throws Error if a call gets a status other than 200.
 */
export async function sendCalls(
  target: CallTarget,
  count: number,
  perSecond: number,
): Promise<number[]> {
  const pool = new Pool(target.origin, {
    connections: CONNECTIONS,
    pipelining: 1,
  });
  const latencies: number[] = [];
  const pending: Array<Promise<void>> = [];
  const startMs = performance.now();
  while (pending.length < count) {
    const elapsedMs = performance.now() - startMs;
    const dueCount = Math.min(
      count,
      Math.floor((elapsedMs * perSecond) / MS_PER_SECOND) + 1,
    );
    while (pending.length < dueCount) {
      pending.push(sendCall(pool, target, pending.length, latencies));
    }
    await wait(TICK_MS);
  }
  await Promise.all(pending);
  await pool.close();
  return latencies;
}

async function sendCall(
  pool: Pool,
  target: CallTarget,
  index: number,
  latencies: number[],
): Promise<void> {
  const startMs = performance.now();
  const response = await pool.request({
    path: target.path,
    method: 'GET',
    headers: target.buildHeaders(index),
  });
  await response.body.arrayBuffer();
  if (response.statusCode !== 200) {
    throw new Error(`call failed with status ${response.statusCode}`);
  }
  latencies.push(performance.now() - startMs);
}

/** Returns the quantile at `fraction` (0 to 1); NaN if there are no values. */
export function computeQuantile(
  values: readonly number[],
  fraction: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(
    sorted.length - 1,
    Math.floor(sorted.length * fraction),
  );
  return sorted[index] ?? NaN;
}
