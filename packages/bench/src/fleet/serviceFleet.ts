/**
 * Runs the platform, upstreams and nodes of the Suelas example as separate
 * processes.
 */
import {execFile} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import type {NodeStatus} from '@sycamoreyoke/cli/fleet';
import type {Execution} from '@sycamoreyoke/standins/upstream/executions';
import type {Switches} from '@sycamoreyoke/standins/platform/switches';
import {SycamoreyokeError} from 'sycamoreyoke/errors';
import {findFreePorts, Launcher} from './launcher.js';

const CLI_PATH = fileURLToPath(
  new URL('../../../cli/bin/sycamoreyoke.js', import.meta.url),
);
const EXAMPLES = fileURLToPath(
  new URL('../../../../examples/suelas', import.meta.url),
);
/** Configuration files that `start` publishes. */
export const SUELAS_FILES = ['services', 'classes', 'callers'].map(
  (name) => `${EXAMPLES}/${name}.yaml`,
);
const COMMAND_TIMEOUT_MS = 30_000;
const READ_TIMEOUT_MS = 1_000;

/** A node and its upstream, with ports that stay the same over restarts. */
export interface NodePair {
  readonly service: string;
  readonly node: string;
  readonly upstream: string;
  readonly upstreamPort: number;
  readonly publicPort: number;
  readonly controlPort: number;
  readonly adminPort: number;
}

/** Result of a CLI command. */
export interface CommandResult {
  /** Exit code; -1 if the command was killed or could not be started. */
  readonly code: number;
  readonly output: string;
}

/** Runs a CLI command to completion, for at most 30 s. */
function runCommand(args: readonly string[]): Promise<CommandResult> {
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [CLI_PATH, ...args],
      {timeout: COMMAND_TIMEOUT_MS},
      (error, stdout, stderr) => {
        const code = typeof error?.code === 'number' ? error.code : -1;
        resolve({code: error ? code : 0, output: stdout + stderr});
      },
    );
  });
}

async function readJson<T>(url: string): Promise<T> {
  const response = await fetch(url, {
    signal: AbortSignal.timeout(READ_TIMEOUT_MS),
  });
  return (await response.json()) as T;
}

/** Starts and restarts the processes of a few services. */
export class ServiceFleet {
  readonly launcher: Launcher;
  /** Exit code and signal of each node process that ended, in order. */
  readonly nodeExits: string[] = [];
  pairs: readonly NodePair[] = [];
  private platformUrl = '';

  constructor(
    logFolder: string,
    private readonly upstreamFlags: readonly string[],
  ) {
    this.launcher = new Launcher(logFolder);
  }

  /** Starts the platform, and two upstreams with nodes for each service. */
  async start(services: readonly string[]): Promise<void> {
    const platform = await this.launcher.start('platform', [
      'stand-in',
      'platform',
    ]);
    this.platformUrl = `http://127.0.0.1:${String(platform.readyFields['port'])}`;
    const published = await this.publish(0, SUELAS_FILES);
    if (published.code !== 0) throw new SycamoreyokeError(published.output);
    const placements = services.flatMap((service) => [
      [service, 'a'] as const,
      [service, 'b'] as const,
    ]);
    const ports = await findFreePorts(placements.length * 4);
    this.pairs = placements.map(([service, suffix], index) => ({
      service,
      node: `node-${service}-${suffix}`,
      upstream: `upstream-${service}-${suffix}`,
      upstreamPort: ports[index * 4] ?? 0,
      publicPort: ports[index * 4 + 1] ?? 0,
      controlPort: ports[index * 4 + 2] ?? 0,
      adminPort: ports[index * 4 + 3] ?? 0,
    }));
    await Promise.all(this.pairs.map((pair) => this.startUpstream(pair)));
    await Promise.all(this.pairs.map((pair) => this.startNode(pair)));
  }

  async startUpstream(pair: NodePair): Promise<void> {
    await this.launcher.start(pair.upstream, [
      ...['stand-in', 'upstream', '--name', pair.upstream],
      ...['--port', String(pair.upstreamPort)],
      ...this.upstreamFlags,
    ]);
  }

  async startNode(pair: NodePair): Promise<void> {
    const peers = this.pairs
      .filter(
        (otherPair) => otherPair.service === pair.service && otherPair !== pair,
      )
      .map(({controlPort}) => `http://127.0.0.1:${controlPort}`);
    const {child} = await this.launcher.start(pair.node, [
      ...['node', '--service', pair.service, '--data-centre', 'oviedo'],
      ...['--upstream', `http://127.0.0.1:${pair.upstreamPort}`],
      ...['--table-url', this.platformUrl],
      ...['--object-store-url', this.platformUrl],
      ...['--public-port', String(pair.publicPort)],
      ...['--control-port', String(pair.controlPort)],
      ...['--admin-port', String(pair.adminPort)],
      ...['--peers', peers.join(','), '--warm-up-calls', '200'],
    ]);
    child.once('exit', (code, signal) => {
      this.nodeExits.push(
        `${pair.node} code=${String(code)} signal=${String(signal)}`,
      );
    });
  }

  /** Publishes files as the complete configuration, on top of `base`. */
  publish(base: number, files: readonly string[]): Promise<CommandResult> {
    return runCommand([
      ...['config', 'publish', '--table-url', this.platformUrl],
      ...['--object-store-url', this.platformUrl],
      ...['--base', String(base), ...files],
    ]);
  }

  /** Turns simulated platform faults on or off. */
  async applySwitches(switches: Partial<Switches>): Promise<void> {
    const response = await fetch(`${this.platformUrl}/v1/switches`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(switches),
    });
    if (!response.ok) throw new SycamoreyokeError(await response.text());
  }

  /** Returns the public URLs of the nodes of a service. */
  listEntries(service: string): string[] {
    return this.pairs
      .filter((pair) => pair.service === service)
      .map(({publicPort}) => `http://127.0.0.1:${publicPort}`);
  }

  readStatus(pair: NodePair): Promise<NodeStatus> {
    return readJson<NodeStatus>(`http://127.0.0.1:${pair.adminPort}/status`);
  }

  async readExecutions(pair: NodePair): Promise<readonly Execution[]> {
    const url = `http://127.0.0.1:${pair.upstreamPort}/stand-in/executions`;
    return (await readJson<{executions: Execution[]}>(url)).executions;
  }

  /**
   * Waits until every node is ready and sees two active members of its service.
   * @throws SycamoreyokeError after the timeout.
   */
  async waitForReady(timeoutMs: number): Promise<void> {
    const deadline = performance.now() + timeoutMs;
    for (;;) {
      const readiness = await Promise.all(
        this.pairs.map(async (pair) => {
          const status = await this.readStatus(pair).catch(() => undefined);
          const activeMembers = status?.members.filter(
            ({service, state}) =>
              service === pair.service && String(state) === 'active',
          );
          return status?.isReady === true && (activeMembers?.length ?? 0) >= 2;
        }),
      );
      if (readiness.every(Boolean)) return;
      if (performance.now() > deadline) {
        throw new SycamoreyokeError(`nodes not ready after ${timeoutMs} ms`);
      }
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
  }

  /** Stops all processes; resumes paused ones first, so that they can exit. */
  async stop(): Promise<void> {
    for (const pair of this.pairs) {
      this.launcher.sendSignal(pair.node, 'SIGCONT');
      this.launcher.sendSignal(pair.upstream, 'SIGCONT');
    }
    // The platform stops last, so that the nodes can still reach it.
    const nodeNames = this.pairs.map(({node}) => node);
    await Promise.all(nodeNames.map((name) => this.launcher.stop(name)));
    await this.launcher.stopAll();
  }
}
