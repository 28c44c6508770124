/** Starts the processes of the cost measurement and reads their metrics. */
import {createHash} from 'node:crypto';
import type {Member} from 'sycamoreyoke/process/types';
import {RepeatGuard} from 'sycamoreyoke/types';
import type {ConfigurationObject} from 'sycamoreyoke/version/types';
import {ImportanceName, Lean, ObjectKind} from 'sycamoreyoke/version/types';
import {request} from 'undici';
import type {Launcher} from '../fleet/launcher.js';
import {findFreePorts} from '../fleet/launcher.js';
import {publishObjects} from '../fleet/publish.js';

const TOKEN = 'cost-token';
const SERVICES = ['back', 'front'] as const;
const SLOTS = 64;

/** A node of the cost measurement. */
export interface CostNode {
  readonly self: Member;
  readonly localPort: number;
}

/** The running processes of the cost measurement. */
export interface CostFleet {
  readonly upstreamUrl: string;
  /** A proxy to the upstream, and a proxy to the first proxy. */
  readonly proxyUrls: readonly [string, string];
  /** The node of the called service, and a node of another service. */
  readonly nodes: readonly [CostNode, CostNode];
}

/** Builds the headers of a call, which are the same on all paths. */
export function buildCallHeaders(requestId: string): Record<string, string> {
  return {
    'sycamoreyoke-class': 'read',
    'sycamoreyoke-request-id': requestId,
    'sycamoreyoke-timeout-ms': '5000',
    'sycamoreyoke-caller': 'bench',
    authorization: `Bearer ${TOKEN}`,
  };
}

function buildObjects(): ConfigurationObject[] {
  return [
    {
      kind: ObjectKind.POLICY,
      name: 'plain',
      lean: Lean.RECOVERY,
      queueLimit: 100,
    },
    ...SERVICES.map(
      (name) => ({kind: ObjectKind.SERVICE, name, policy: 'plain'}) as const,
    ),
    {
      kind: ObjectKind.RETRY_LIMIT,
      name: 'one-retry',
      perRequest: 1,
      shareOfTraffic: 0.1,
      backoffBaseMs: 20,
      backoffMaxMs: 200,
    },
    {
      kind: ObjectKind.REQUEST_CLASS,
      name: 'read',
      service: 'back',
      importance: ImportanceName.NORMAL,
      idempotent: true,
      guard: RepeatGuard.NONE,
      retryLimit: 'one-retry',
      timeoutMs: 5_000,
    },
    {
      kind: ObjectKind.CALLER,
      name: 'bench',
      tokenSha256: createHash('sha256').update(TOKEN).digest('hex'),
      classes: ['read'],
      trusted: false,
    },
  ];
}

/** Starts the platform, an upstream, two proxies and two nodes. */
export async function startCostFleet(
  launcher: Launcher,
  folder: string,
): Promise<CostFleet> {
  const platform = await launcher.start('platform', ['stand-in', 'platform']);
  const platformUrl = `http://127.0.0.1:${Number(platform.readyFields['port'])}`;
  await publishObjects(launcher, platformUrl, buildObjects(), folder);
  const upstream = await launcher.start('upstream', [
    ...['stand-in', 'upstream', '--service-time-ms', '0', '--cold-ms', '0'],
    ...['--slots', String(SLOTS)],
  ]);
  const upstreamUrl = `http://127.0.0.1:${Number(upstream.readyFields['port'])}`;
  const [firstPort = 0, secondPort = 0] = await findFreePorts(2);
  const proxyUrls = [
    `http://127.0.0.1:${firstPort}`,
    `http://127.0.0.1:${secondPort}`,
  ] as const;
  await launcher.startProxy('proxy-1', firstPort, upstreamUrl);
  await launcher.startProxy('proxy-2', secondPort, proxyUrls[0]);
  const startNode = async (service: string): Promise<CostNode> => {
    const {readyFields} = await launcher.start(`node-${service}`, [
      ...['node', '--service', service, '--data-centre', 'oviedo'],
      ...['--upstream', upstreamUrl, '--slots', String(SLOTS)],
      ...['--table-url', platformUrl, '--object-store-url', platformUrl],
      ...['--log-level', 'warn'],
    ]);
    return {
      self: readyFields['self'] as Member,
      localPort: Number(readyFields['localPort']),
    };
  };
  // Started one after the other, so that the second node finds the seed row of
  // the first one.
  const nodes = [await startNode('back'), await startNode('front')] as const;
  return {upstreamUrl, proxyUrls, nodes};
}

/** Returns the value of a metric without labels; undefined if it is missing. */
export function parseMetric(text: string, name: string): number | undefined {
  const line = text.split('\n').find((each) => each.startsWith(`${name} `));
  return line === undefined ? undefined : Number(line.split(' ')[1]);
}

/** Reads the /metrics text of a node. */
export async function readMetrics({self}: CostNode): Promise<string> {
  const url = `http://${self.address}:${self.adminPort}/metrics`;
  return (await request(url)).body.text();
}

/** Reads the CPU time of a bare proxy in milliseconds. */
export async function readProxyCpuMs(url: string): Promise<number> {
  return Number(await (await request(`${url}/cpu`)).body.text()) / 1_000;
}

/** Reads the CPU time of a node in ms; undefined if it isn't exported. */
export async function readNodeCpuMs(
  node: CostNode,
): Promise<number | undefined> {
  const text = await readMetrics(node);
  const seconds = parseMetric(text, 'sycamoreyoke_cpu_seconds_total');
  return seconds === undefined ? undefined : seconds * 1_000;
}
