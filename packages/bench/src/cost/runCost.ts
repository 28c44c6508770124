/** Measures what a node adds to a call, compared with a bare proxy. */
import {execFileSync} from 'node:child_process';
import {randomUUID} from 'node:crypto';
import {mkdir, writeFile} from 'node:fs/promises';
import {loadavg} from 'node:os';
import {setTimeout as wait} from 'node:timers/promises';
import {SycamoreyokeError} from 'sycamoreyoke/errors';
import {request} from 'undici';
import {Launcher} from '../fleet/launcher.js';
import {computeQuantile, sendCalls} from './callLoop.js';
import type {CostFleet, CostNode} from './costFleet.js';
import {
  buildCallHeaders,
  parseMetric,
  readMetrics,
  readNodeCpuMs,
  readProxyCpuMs,
  startCostFleet,
} from './costFleet.js';
import {measureIdle, renderIdle} from './idle.js';
import type {CostPath, CostRound} from './summary.js';
import {computeSpread, formatSpread, renderPaths} from './summary.js';

const RESULT_FOLDER = 'results/cost';
const ROUND_COUNT = 5;
const CALLS_PER_ROUND = 1_000;
const CALLS_PER_SECOND = 300;
const WARM_UP_CALLS = 4_000;
const WARM_UP_CALLS_PER_SECOND = 1_000;
/** Limit for the second node to discover the first one. */
const ROUTE_TIMEOUT_MS = 40_000;
const ROUTE_POLL_MS = 200;

/** A path from the caller to the upstream. */
interface Route {
  readonly name: string;
  readonly origin: string;
  /** Total CPU time of all hops; undefined if there is no hop. */
  readonly readCpuMs: () => Promise<number | undefined>;
}

/** Sums the readings; undefined if one of them is missing. */
async function computeTotal(
  readings: ReadonlyArray<Promise<number | undefined>>,
): Promise<number | undefined> {
  const values = await Promise.all(readings);
  return values.reduce(
    (sum, value) =>
      sum === undefined || value === undefined ? undefined : sum + value,
    0,
  );
}

function listRoutes({upstreamUrl, proxyUrls, nodes}: CostFleet): Route[] {
  const [proxy, chainedProxy] = proxyUrls;
  const [backNode, frontNode] = nodes;
  return [
    {
      name: 'direct call',
      origin: upstreamUrl,
      readCpuMs: () => Promise.resolve(undefined),
    },
    {
      name: 'bare proxy',
      origin: proxy,
      readCpuMs: () => readProxyCpuMs(proxy),
    },
    {
      name: 'one node',
      origin: `http://${backNode.self.address}:${backNode.self.publicPort}`,
      readCpuMs: () => readNodeCpuMs(backNode),
    },
    {
      name: 'bare proxy twice',
      origin: chainedProxy,
      readCpuMs: () => computeTotal([proxy, chainedProxy].map(readProxyCpuMs)),
    },
    {
      name: 'two nodes',
      origin: `http://127.0.0.1:${frontNode.localPort}`,
      readCpuMs: () => computeTotal([backNode, frontNode].map(readNodeCpuMs)),
    },
  ];
}

/**
 * Waits until a call over the route succeeds.
 * @throws SycamoreyokeError after 40 s.
 */
async function waitForRoute({name, origin}: Route): Promise<void> {
  const startMs = performance.now();
  while (performance.now() - startMs < ROUTE_TIMEOUT_MS) {
    const response = await request(origin, {
      headers: buildCallHeaders(randomUUID()),
    });
    await response.body.dump();
    if (response.statusCode === 200) return;
    await wait(ROUTE_POLL_MS);
  }
  throw new SycamoreyokeError(`no call over "${name}" succeeded`);
}

function sendCallsOnRoute({origin}: Route, calls: number, perSecond: number) {
  const buildHeaders = () => buildCallHeaders(randomUUID());
  return sendCalls({origin, path: '/', buildHeaders}, calls, perSecond);
}

async function runRound(route: Route): Promise<CostRound> {
  const before = await route.readCpuMs();
  const latencies = await sendCallsOnRoute(
    route,
    CALLS_PER_ROUND,
    CALLS_PER_SECOND,
  );
  const after = await route.readCpuMs();
  return {
    p50Ms: computeQuantile(latencies, 0.5),
    p99Ms: computeQuantile(latencies, 0.99),
    ...(before === undefined || after === undefined
      ? {}
      : {cpuMsPerCall: (after - before) / CALLS_PER_ROUND}),
  };
}

async function computeResidentBytes(
  nodes: readonly CostNode[],
): Promise<number | undefined> {
  return computeTotal(
    nodes.map(async (node) =>
      parseMetric(await readMetrics(node), 'sycamoreyoke_resident_bytes'),
    ),
  );
}

/** Adds the resident memory of the nodes to the paths that include them. */
async function addMemory(
  paths: readonly CostPath[],
  [backNode, frontNode]: CostFleet['nodes'],
): Promise<CostPath[]> {
  const byName = new Map([
    ['one node', await computeResidentBytes([backNode])],
    ['two nodes', await computeResidentBytes([backNode, frontNode])],
  ]);
  return paths.map((path) => {
    const residentBytes = byName.get(path.name);
    return residentBytes === undefined ? path : {...path, residentBytes};
  });
}

/** Formats the CPU time as a multiple of the base, as spread over rounds. */
function formatRatio(path?: CostPath, base?: CostPath): string {
  const ratios = (path?.rounds ?? []).map(({cpuMsPerCall}, index) => {
    const before = base?.rounds[index]?.cpuMsPerCall;
    if (cpuMsPerCall === undefined || before === undefined) return undefined;
    return cpuMsPerCall / before;
  });
  return formatSpread(computeSpread(ratios));
}

function readCommit(): string {
  return execFileSync('git', ['rev-parse', '--short', 'HEAD'], {
    encoding: 'utf8',
  }).trim();
}

function formatLoad(): string {
  return loadavg()
    .map((load) => load.toFixed(1))
    .join(', ');
}

async function measure(launcher: Launcher): Promise<string> {
  const fleet = await startCostFleet(launcher, RESULT_FOLDER);
  const routes = listRoutes(fleet);
  for (const route of routes) {
    await waitForRoute(route);
    await sendCallsOnRoute(route, WARM_UP_CALLS, WARM_UP_CALLS_PER_SECOND);
  }
  const loadBefore = formatLoad();
  const rounds = new Map<Route, CostRound[]>(
    routes.map((route) => [route, []]),
  );
  for (let round = 0; round < ROUND_COUNT; round += 1) {
    for (const route of routes) {
      rounds.get(route)?.push(await runRound(route));
    }
  }
  const loadAfter = formatLoad();
  const measuredPaths = routes.map((route) => ({
    name: route.name,
    rounds: rounds.get(route) ?? [],
  }));
  const paths = await addMemory(measuredPaths, fleet.nodes);
  const [, proxy, node, chainedProxy, twoNodes] = paths;
  return [
    '# Cost of a node',
    '',
    `Commit ${readCommit()}. ${ROUND_COUNT} interleaved rounds of ${CALLS_PER_ROUND} calls at ${CALLS_PER_SECOND} a second on each path, after ${WARM_UP_CALLS} calls of warm-up each. Figures are medians over the rounds, with the lowest and the highest round. Load average of the machine (1, 5, 15 minutes): ${loadBefore} before, ${loadAfter} after.`,
    '',
    renderPaths(paths),
    '',
    `CPU time as a multiple of the bare proxy: one hop ${formatRatio(node, proxy)}, two hops ${formatRatio(twoNodes, chainedProxy)}. Targets: at most 1.3 for one hop, 0.49 ms added at p99.`,
    '',
    '## Two idle nodes',
    '',
    'Over 10 s without a call.',
    '',
    renderIdle(await measureIdle(fleet.nodes)),
    '',
  ].join('\n');
}

/** Runs the cost measurement and writes its page. */
export async function runMeasurement(): Promise<void> {
  await mkdir(RESULT_FOLDER, {recursive: true});
  const launcher = new Launcher(RESULT_FOLDER);
  try {
    const page = await measure(launcher);
    await writeFile(`${RESULT_FOLDER}/cost.md`, page);
    await writeFile('docs/cost.md', page);
    process.stdout.write(page);
  } finally {
    await launcher.stopAll();
  }
}
