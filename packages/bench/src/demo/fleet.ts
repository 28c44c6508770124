/** Starts and controls the processes of the demo. */
import type {Member} from 'sycamoreyoke/process/types';
import {request} from 'undici';
import type {Launcher} from '../fleet/launcher.js';
import {findFreePorts} from '../fleet/launcher.js';
import {publishObjects} from '../fleet/publish.js';
import {RESULT_FOLDER} from './constants.js';
import {SERVICES, buildObjects} from './deployment.js';
import type {DemoService} from './types.js';

const HTTP_OK = 200;
/** Warm-up calls of each node; kept low as eight nodes share the machine. */
const WARM_UP_CALLS = 500;

/** An upstream and its node. */
export interface DemoPair {
  readonly service: string;
  readonly node: string;
  readonly upstreamUrl: string;
  readonly localUrl: string;
  readonly self: Member;
}

/** The processes of the demo. */
export class DemoFleet {
  private constructor(
    private readonly launcher: Launcher,
    readonly pairs: readonly DemoPair[],
  ) {}

  /** Starts the platform, publishes the objects, then starts all pairs. */
  static async start(launcher: Launcher): Promise<DemoFleet> {
    const platform = await launcher.start('platform', ['stand-in', 'platform']);
    const platformUrl = `http://127.0.0.1:${Number(platform.readyFields['port'])}`;
    await publishObjects(launcher, platformUrl, buildObjects(), RESULT_FOLDER);
    const placements = SERVICES.flatMap((service) =>
      service.dataCentres.map((dataCentre, index) => ({
        service,
        dataCentre,
        name: `${service.name}-${index + 1}`,
      })),
    );
    const ports = await findFreePorts(placements.length * 2);
    const pairs = await Promise.all(
      placements.map((placement, index) =>
        startPair(launcher, platformUrl, placement, [
          ports[2 * index] ?? 0,
          ports[2 * index + 1] ?? 0,
        ]),
      ),
    );
    return new DemoFleet(launcher, pairs);
  }

  /** Returns the public URLs of the nodes of each service. */
  listEntries(): Record<string, string[]> {
    return Object.fromEntries(
      SERVICES.map(({name}) => [
        name,
        this.findPairs(name).map(
          ({self}) => `http://${self.address}:${self.publicPort}`,
        ),
      ]),
    );
  }

  findPairs(service: string): DemoPair[] {
    return this.pairs.filter((pair) => pair.service === service);
  }

  /** Changes the simulated behaviour of all upstreams of a service. */
  async setBehaviour(service: string, behaviour: object): Promise<void> {
    await Promise.all(
      this.findPairs(service).map(async ({upstreamUrl}) => {
        const response = await request(`${upstreamUrl}/stand-in/behaviour`, {
          method: 'POST',
          body: JSON.stringify(behaviour),
        });
        await response.body.dump();
      }),
    );
  }

  /** Kills a node with SIGKILL. */
  async kill({node}: DemoPair): Promise<void> {
    await this.launcher.kill(node);
  }

  /**
   * Drains an upstream through its node and returns the node's exit code. Stops
   * the node with SIGTERM if it doesn't accept the drain request.
   */
  async drain({node, localUrl}: DemoPair): Promise<number | null> {
    const exitCode = this.launcher.wait(node);
    const isAccepted = await request(`${localUrl}/drain`, {method: 'POST'})
      .then(async ({statusCode, body}) => {
        await body.dump();
        return statusCode >= HTTP_OK && statusCode < 300;
      })
      .catch(() => false);
    return isAccepted ? exitCode : this.launcher.stop(node);
  }
}

async function startPair(
  launcher: Launcher,
  platformUrl: string,
  placement: {service: DemoService; dataCentre: string; name: string},
  [upstreamPort, localPort]: readonly [number, number],
): Promise<DemoPair> {
  const {service, dataCentre, name} = placement;
  const upstreamUrl = `http://127.0.0.1:${upstreamPort}`;
  const localUrl = `http://127.0.0.1:${localPort}`;
  await launcher.start(`upstream-${name}`, [
    ...['stand-in', 'upstream', '--name', name],
    ...['--port', String(upstreamPort), '--egress', localUrl],
    ...['--slots', String(service.slots), '--calls', service.calls],
    ...['--connections', String(service.connections)],
    ...['--service-time-ms', String(service.serviceTimeMs)],
  ]);
  const node = await launcher.start(`node-${name}`, [
    ...['node', '--service', service.name, '--data-centre', dataCentre],
    ...['--upstream', upstreamUrl, '--local-port', String(localPort)],
    ...['--slots', String(service.slots), '--log-level', 'warn'],
    ...['--table-url', platformUrl, '--object-store-url', platformUrl],
    ...['--warm-up-calls', String(WARM_UP_CALLS)],
  ]);
  const self = node.readyFields['self'] as Member;
  return {
    service: service.name,
    node: node.name,
    upstreamUrl,
    localUrl,
    self,
  };
}
