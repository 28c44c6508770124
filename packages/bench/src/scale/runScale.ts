/** Measures how the costs of membership and configuration grow with size. */
import {readFileSync} from 'node:fs';
import {mkdir, writeFile} from 'node:fs/promises';
import {loadavg} from 'node:os';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {createRandom} from 'sycamoreyoke/random';
import {VirtualState} from 'sycamoreyoke/process/virtualNetwork';
import {measureConfiguration} from './configurationCosts.js';
import {
  measureFraming,
  measureHttp1Memory,
  measureHttp2Memory,
} from './connectionCosts.js';
import {computeLinearFit} from './linearFit.js';
import type {FleetNode, Traffic} from './membershipFleet.js';
import {MembershipFleet} from './membershipFleet.js';
import {SquareRootDirectory} from './squareRootDirectory.js';

const OUTPUT_FOLDER = new URL('../../../../results/scale/', import.meta.url);
const WARM_UP_MS = 5_000;
const IDLE_MS = 5_000;
const CONVERGENCE_TIMEOUT_MS = 60_000;

/** Parts of the measurement, by the name of their flag and output file. */
export enum ScalePart {
  CONNECTIONS = 'connections',
  CONFIGURATION = 'configuration',
  SIZES = 'sizes',
  LARGE = 'large',
  FLEET = 'fleet',
  EVENTS = 'events',
  DIRECTORY = 'directory',
}

/** The default parts: under a minute together. The others take minutes each. */
const DEFAULT_PARTS = [
  ScalePart.CONNECTIONS,
  ScalePart.CONFIGURATION,
  ScalePart.SIZES,
  ScalePart.DIRECTORY,
];

/** Runs the parts and writes one Markdown file for each. */
export async function runScale(
  parts: readonly ScalePart[] = DEFAULT_PARTS,
): Promise<void> {
  setFlagsFromString('--expose-gc');
  setFlagsFromString('--max-old-space-size=7000');
  globalThis.gc = runInNewContext('gc') as NodeJS.GCFunction;
  await mkdir(OUTPUT_FOLDER, {recursive: true});
  const framing = await measureFraming();
  const framingBytes = (framing.requestBytes + framing.responseBytes) / 2;
  const run: Record<ScalePart, () => Promise<string[]> | string[]> = {
    [ScalePart.CONNECTIONS]: () => measureConnections(framing),
    [ScalePart.CONFIGURATION]: measureConfigurations,
    [ScalePart.SIZES]: () => measureSizes([100, 300, 1_000], framingBytes),
    [ScalePart.LARGE]: () => measureSizes([3_000], framingBytes),
    [ScalePart.FLEET]: () => measureFleet(framingBytes),
    [ScalePart.EVENTS]: () => measureEvents(framingBytes),
    [ScalePart.DIRECTORY]: () => measureDirectory(framingBytes),
  };
  for (const part of parts) {
    const startMs = Date.now();
    const lines = await run[part]();
    const seconds = Math.round((Date.now() - startMs) / 1_000);
    const head = `# ${part}: commit ${readCommit()}, load ${loadavg()[0]?.toFixed(1)}, ${seconds} s`;
    const text = [head, '', ...lines, ''].join('\n');
    await writeFile(new URL(`${part}.md`, OUTPUT_FOLDER), text);
    console.log(text);
  }
}

async function measureConnections(framing: object): Promise<string[]> {
  const lines = [JSON.stringify(framing), ''];
  for (const [name, measure] of [
    ['HTTP/1.1', measureHttp1Memory],
    ['HTTP/2', measureHttp2Memory],
  ] as const) {
    await measure(50);
    const points: Array<[number, number]> = [];
    for (const count of [100, 300, 1_000]) {
      points.push([count, await measure(count)]);
    }
    lines.push(...formatFit(`${name} connections, both ends, bytes`, points));
  }
  return lines;
}

function measureConfigurations(): string[] {
  measureConfiguration(1_000, readHeapBytes);
  const sizes = [1_000, 5_000, 20_000];
  const costs = sizes.map(
    (size) => [size, measureConfiguration(size, readHeapBytes)] as const,
  );
  return [
    ...formatFit(
      'heap bytes',
      costs.map(([size, cost]) => [size, cost.heapBytes]),
    ),
    ...formatFit(
      'JSON bytes',
      costs.map(([size, cost]) => [size, cost.jsonBytes]),
    ),
    ...formatFit(
      'compile CPU ms',
      costs.map(([size, cost]) => [size, cost.compileCpuMs]),
    ),
  ];
}

/** Measures one service of each size. */
function measureSizes(
  sizes: readonly number[],
  framingBytes: number,
): string[] {
  const lines = [
    `| members | messages /s | bytes /s sent | CPU us a message | state bytes a member | leave known s | death known s | tenth leaving s | tenth: bytes a node |`,
    '|---|---|---|---|---|---|---|---|---|',
  ];
  const stateBytesPoints: Array<[number, number]> = [];
  for (const members of sizes) {
    const heapBefore = readHeapBytes();
    const fleet = new MembershipFleet(1, members);
    const stateBytes = (readHeapBytes() - heapBefore) / members;
    stateBytesPoints.push([members, stateBytes]);
    const idleCells = measureIdle(fleet, framingBytes);
    const [leavingNode, crashedNode, ...otherNodes] = fleet.services[0] as [
      FleetNode,
      FleetNode,
    ];
    fleet.startLeave(leavingNode);
    const leaveSeconds = fleet.measureSecondsUntil(
      () => fleet.hasConvergedOnRemoved([leavingNode]),
      CONVERGENCE_TIMEOUT_MS,
    );
    fleet.run(3_000);
    crashedNode.host.state = VirtualState.LOST;
    const deathSeconds = fleet.measureSecondsUntil(
      () => fleet.hasConvergedOnRemoved([crashedNode]),
      CONVERGENCE_TIMEOUT_MS,
    );
    fleet.run(3_000);
    fleet.takeTraffic();
    const leavingNodes = (otherNodes as FleetNode[]).slice(0, members / 10);
    for (const node of leavingNodes) fleet.startLeave(node);
    const tenthLeaveSeconds = fleet.measureSecondsUntil(
      () => fleet.hasConvergedOnRemoved(leavingNodes),
      CONVERGENCE_TIMEOUT_MS,
    );
    const burstTraffic = formatTraffic(
      fleet.takeTraffic(),
      members,
      1,
      framingBytes,
    );
    addRow(
      lines,
      `| ${members} | ${idleCells} | ${(stateBytes / members).toFixed(0)} | ${leaveSeconds} | ${deathSeconds} | ${tenthLeaveSeconds} | ${burstTraffic} |`,
    );
  }
  if (sizes.length < 3) return lines;
  return [...lines, '', ...formatFit('table bytes a node', stateBytesPoints)];
}

/** Measures a fleet of 950 services with 24 nodes each. */
function measureFleet(framingBytes: number): string[] {
  const heapBefore = readHeapBytes();
  const fleet = new MembershipFleet(950, 24);
  const stateBytes = (readHeapBytes() - heapBefore) / (950 * 24);
  const idleCells = measureIdle(fleet, framingBytes);
  const leavingNodes = fleet.services
    .flat()
    .filter((_, index) => index % 10 === 0);
  for (const node of leavingNodes) fleet.startLeave(node);
  const tenthLeaveSeconds = fleet.measureSecondsUntil(
    () =>
      leavingNodes.every((node) => {
        const self = node.membership.readSelf();
        const index = Number(self.service.slice('service-number-'.length));
        return (fleet.services[index] ?? []).every(
          (peer) =>
            peer === node || !peer.membership.isUsable(self.incarnation),
        );
      }),
    CONVERGENCE_TIMEOUT_MS,
  );
  const burstTraffic = formatTraffic(
    fleet.takeTraffic(),
    950 * 24,
    1,
    framingBytes,
  );
  return [
    '| members | messages /s | bytes /s sent | CPU us a message | state bytes a node | tenth leaving s | tenth: messages, bytes a node |',
    '|---|---|---|---|---|---|---|',
    `| 950 x 24 | ${idleCells} | ${stateBytes.toFixed(0)} | ${tenthLeaveSeconds} | ${burstTraffic} |`,
  ];
}

/** Measures the effect of failures and restarts of many nodes at once. */
function measureEvents(framingBytes: number): string[] {
  const lines = [
    '| event | service | settled after s | messages, bytes a node |',
    '|---|---|---|---|',
  ];
  for (const members of [24, 1_000]) {
    const services = members === 24 ? 20 : 1;
    const nodes = services * members;
    const size = `${services} x ${members}`;
    const fleet = new MembershipFleet(services, members);
    fleet.run(WARM_UP_MS);
    fleet.takeTraffic();
    const lostNodes =
      fleet.services[0]?.slice(0, members === 24 ? 2 : 40) ?? [];
    for (const node of lostNodes) node.host.state = VirtualState.LOST;
    const seconds = fleet.measureSecondsUntil(
      () => fleet.hasConvergedOnRemoved(lostNodes),
      CONVERGENCE_TIMEOUT_MS,
    );
    const traffic = formatTraffic(fleet.takeTraffic(), nodes, 1, framingBytes);
    addRow(
      lines,
      `| ${lostNodes.length} nodes silent | ${size} | ${seconds} | ${traffic} |`,
    );
    addRow(
      lines,
      measureDataCentreRestart(services, members, size, framingBytes),
    );
    addRow(lines, measurePartition(services, members, size, framingBytes));
  }
  return lines;
}

/** Loses one of the 7 data centres, then restarts its nodes within 60 s. */
function measureDataCentreRestart(
  services: number,
  members: number,
  size: string,
  framingBytes: number,
): string {
  const fleet = new MembershipFleet(services, members);
  fleet.run(WARM_UP_MS);
  const lostNodes = fleet.services
    .flat()
    .filter((node) => node.host.dataCentre === 'a1');
  for (const node of lostNodes) node.host.state = VirtualState.LOST;
  fleet.run(15_000);
  fleet.takeTraffic();
  const replacements: FleetNode[] = [];
  fleet.services.forEach((nodes, service) => {
    const contacts = nodes
      .filter((node) => node.host.dataCentre !== 'a1')
      .slice(0, 4);
    for (const node of nodes.filter((peer) => lostNodes.includes(peer))) {
      fleet.schedule(60_000 * fleet.random(), () =>
        replacements.push(fleet.startReplacement(service, node, contacts)),
      );
    }
  });
  fleet.run(61_100);
  const eventTraffic = formatTraffic(
    fleet.takeTraffic(),
    services * members,
    1,
    framingBytes,
  );
  const convergenceSeconds = fleet.measureSecondsUntil(
    () => fleet.hasConvergedOnLive(replacements),
    CONVERGENCE_TIMEOUT_MS,
  );
  return `| data centre back in 60 s (${replacements.length} nodes) | ${size} | ${convergenceSeconds} after the last | ${eventTraffic} |`;
}

/** Partitions region c from the other regions, then heals the partition. */
function measurePartition(
  services: number,
  members: number,
  size: string,
  framingBytes: number,
): string {
  const fleet = new MembershipFleet(services, members);
  fleet.run(WARM_UP_MS);
  fleet.takeTraffic();
  fleet.partitionedRegions.add('c');
  const partitionMs = members < 100 ? 300_000 : 60_000;
  fleet.run(partitionMs);
  const nodes = services * members;
  const eventTraffic = formatTraffic(
    fleet.takeTraffic(),
    nodes,
    1,
    framingBytes,
  );
  fleet.partitionedRegions.clear();
  const runningNodes = fleet.listRunning();
  const convergenceSeconds = fleet.measureSecondsUntil(
    () => fleet.hasConvergedOnLive(runningNodes),
    CONVERGENCE_TIMEOUT_MS,
  );
  const healTraffic = formatTraffic(
    fleet.takeTraffic(),
    nodes,
    1,
    framingBytes,
  );
  return `| region cut ${partitionMs / 1_000} s, healed | ${size} | ${convergenceSeconds} after the heal | cut: ${eventTraffic}; heal: ${healTraffic} |`;
}

function measureDirectory(framingBytes: number): string[] {
  const lines = [
    '| members | entries | state bytes | messages /s sent | bytes /s sent | stale s | failed lookups, a tenth gone |',
    '|---|---|---|---|---|---|---|',
  ];
  const points: Array<[number, number]> = [];
  for (const members of [100, 1_000, 23_000]) {
    const directory = new SquareRootDirectory(members, createRandom(members));
    const figures = directory.measure(100 + framingBytes, 20_000);
    points.push([Math.sqrt(members), figures.bytes]);
    lines.push(
      `| ${members} | ${figures.entries.toFixed(0)} | ${figures.stateBytes.toFixed(0)} | ${figures.messages.toFixed(0)} | ${figures.bytes.toFixed(0)} | ${figures.staleSeconds.toFixed(1)} | ${figures.failedLookups} |`,
    );
  }
  return [...lines, '', ...formatFit('bytes /s by square root', points)];
}

/** Measures traffic and CPU time while no member changes. */
function measureIdle(fleet: MembershipFleet, framingBytes: number): string {
  fleet.run(WARM_UP_MS);
  fleet.takeTraffic();
  const cpuBefore = process.cpuUsage();
  fleet.run(IDLE_MS);
  const cpuUsage = process.cpuUsage(cpuBefore);
  const traffic = fleet.takeTraffic();
  const nodes = fleet.services.flat().length;
  const cpuUs = (cpuUsage.user + cpuUsage.system) / traffic.messages;
  const trafficText = formatTraffic(
    traffic,
    nodes,
    IDLE_MS / 1_000,
    framingBytes,
  );
  return `${trafficText.replace(', ', ' | ')} | ${cpuUs.toFixed(1)}`;
}

/** Formats messages and bytes that a node sends per second, with framing. */
function formatTraffic(
  traffic: Traffic,
  nodes: number,
  seconds: number,
  framingBytes: number,
): string {
  const messages = traffic.messages / nodes / seconds;
  const bytes = traffic.bytes / nodes / seconds + messages * framingBytes;
  return `${messages.toFixed(2)}, ${bytes.toFixed(0)}`;
}

function formatFit(
  name: string,
  points: ReadonlyArray<readonly [number, number]>,
): string[] {
  const {slope, intercept, r2} = computeLinearFit(points);
  const values = points.map(([x, y]) => `${x}: ${y.toFixed(1)}`).join(', ');
  const fit = `${intercept.toFixed(1)} + ${slope.toFixed(3)} x, R2 ${r2.toFixed(4)}`;
  return [`${name}: ${values}; fit ${fit}`, ''];
}

/** Adds a row and prints it at once, as a long part takes minutes. */
function addRow(lines: string[], line: string): void {
  console.log(line);
  lines.push(line);
}

function readHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Short hash of the commit of a linked work tree; otherwise 'unknown'. */
function readCommit(): string {
  const gitFile = new URL('../../../../.git', import.meta.url);
  try {
    const link = readFileSync(gitFile, 'utf8').replace('gitdir: ', '').trim();
    const head = readFileSync(`${link}/HEAD`, 'utf8')
      .replace('ref: ', '')
      .trim();
    return readFileSync(`${link}/../../${head}`, 'utf8').slice(0, 7);
  } catch {
    return 'unknown';
  }
}

/** Measures the parts named by the flags, or the default ones. */
export async function runMeasurement(flags: readonly string[]): Promise<void> {
  const parts = flags as readonly ScalePart[];
  await runScale(parts.length > 0 ? parts : undefined);
}
