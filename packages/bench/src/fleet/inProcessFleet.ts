/** Runs a platform, upstreams and nodes in the test process. */
import {createHash, randomUUID} from 'node:crypto';
import type {AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {nodeSettingsSchema} from '@sycamoreyoke/node/process/settings';
import {systemClock} from '@sycamoreyoke/node/process/systemClock';
import {TableClient} from '@sycamoreyoke/node/process/tableClient';
import type {RunningNode} from '@sycamoreyoke/node/startNode';
import {startNode} from '@sycamoreyoke/node/startNode';
import {startPlatform} from '@sycamoreyoke/standins/platform/platformServer';
import {behaviourSchema} from '@sycamoreyoke/standins/upstream/options';
import type {RunningUpstream} from '@sycamoreyoke/standins/upstream/upstreamServer';
import {startUpstream} from '@sycamoreyoke/standins/upstream/upstreamServer';
import {publishEdits} from 'sycamoreyoke/version/publish';
import type {
  CallerObject,
  ConfigurationObject,
} from 'sycamoreyoke/version/types';
import {ObjectKind} from 'sycamoreyoke/version/types';

const ADDRESS = '127.0.0.1';

/** An upstream with its node. */
export interface FleetMember {
  readonly service: string;
  readonly node: RunningNode;
  readonly upstream: RunningUpstream;
  readonly upstreamUrl: string;
}

/** A running fleet. */
export interface InProcessFleet {
  readonly members: readonly FleetMember[];
  /** Stops the nodes, then the upstreams, then the platform. */
  readonly stop: () => Promise<void>;
}

/** Creates a caller whose token is `of-` followed by its name. */
export function createCaller(
  name: string,
  classes: readonly string[],
  trusted: boolean,
): CallerObject {
  return {
    kind: ObjectKind.CALLER,
    name,
    tokenSha256: createHash('sha256').update(`of-${name}`).digest('hex'),
    classes,
    trusted,
  };
}

/**
 * Starts a platform, publishes the objects and starts one member for each
 * entry of `services`; a service listed twice gets two members.
 */
export async function startInProcessFleet(
  objects: readonly ConfigurationObject[],
  services: readonly string[],
  serviceTimeMs: number,
): Promise<InProcessFleet> {
  const platform = await startPlatform(0, ADDRESS);
  const {port} = platform.address() as AddressInfo;
  const platformUrl = `http://${ADDRESS}:${port}`;
  const edits = objects.map((object) => ({
    kind: object.kind,
    name: object.name,
    object,
  }));
  const table = new TableClient(platformUrl);
  await publishEdits(
    {table, clock: systemClock, random: Math.random, wait},
    {base: 0, edits, who: 'test', nonce: randomUUID()},
  );
  const members: FleetMember[] = [];
  for (const service of services) {
    members.push(await startMember(service, platformUrl, serviceTimeMs));
  }
  const stop = async () => {
    await Promise.all(members.map(({node}) => node.stop()));
    await Promise.all(members.map(({upstream}) => upstream.drain()));
    platform.close();
    platform.closeAllConnections();
  };
  return {members, stop};
}

async function startMember(
  service: string,
  platformUrl: string,
  serviceTimeMs: number,
): Promise<FleetMember> {
  const upstream = await startUpstream(
    {
      name: service,
      connections: 100,
      callsBelow: [],
      behaviour: behaviourSchema.parse({serviceTimeMs, coldMs: 0}),
    },
    0,
    ADDRESS,
  );
  const {port} = upstream.server.address() as AddressInfo;
  const upstreamUrl = `http://${ADDRESS}:${port}`;
  const node = await startNode(
    nodeSettingsSchema.parse({
      service,
      dataCentre: 'oviedo',
      upstream: upstreamUrl,
      tableUrl: platformUrl,
      objectStoreUrl: platformUrl,
      warmUpCalls: 0,
      logLevel: 'error',
    }),
  );
  return {service, node, upstream, upstreamUrl};
}
