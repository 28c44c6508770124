/** Starts and stops CLI processes for demos, tests and measurements. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {SycamoreyokeError} from 'sycamoreyoke/errors';

const CLI_PATH = fileURLToPath(
  new URL('../../../cli/bin/sycamoreyoke.js', import.meta.url),
);
const BARE_PROXY_PATH = fileURLToPath(
  new URL('../cost/bareProxy.js', import.meta.url),
);
const READY_TIMEOUT_MS = 30_000;
const STOP_TIMEOUT_MS = 20_000;

/** A process that has printed its ready line. */
export interface LaunchedProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Fields of the JSON ready line. */
  readonly readyFields: Readonly<Record<string, unknown>>;
}

/**
 * Finds free TCP ports on 127.0.0.1. Nothing reserves them: another process may
 * take one before it is used.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({length: count}, async () => {
      const server = createServer();
      await new Promise<void>((resolve) =>
        server.listen(0, '127.0.0.1', resolve),
      );
      return server;
    }),
  );
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map(
      (server) => new Promise<void>((resolve) => server.close(() => resolve())),
    ),
  );
  return ports;
}

/** Starts the processes of a run, and stops them all at its end. */
export class Launcher {
  private readonly running = new Map<string, ChildProcess>();
  private isStopping = false;

  constructor(
    private readonly logFolder: string,
    private readonly stopTimeoutMs = STOP_TIMEOUT_MS,
  ) {}

  /**
   * Starts a CLI command and waits for its ready line.
   * @throws SycamoreyokeError if the process exits or isn't ready in 30 s, or
   *     after {@link stopAll} was called.
   */
  start(
    name: string,
    args: readonly string[],
    environment: Readonly<Record<string, string>> = {},
  ): Promise<LaunchedProcess> {
    return this.startProcess(name, [CLI_PATH, ...args], environment);
  }

  /** Like {@link start}, for the bare proxy of the cost measurement. */
  startProxy(
    name: string,
    port: number,
    target: string,
  ): Promise<LaunchedProcess> {
    return this.startProcess(name, [BARE_PROXY_PATH, String(port), target], {});
  }

  private async startProcess(
    name: string,
    args: readonly string[],
    environment: Readonly<Record<string, string>>,
  ): Promise<LaunchedProcess> {
    if (this.isStopping)
      throw new SycamoreyokeError(`${name}: not started, the run is stopping`);
    const child = spawn(process.execPath, args, {
      env: {...process.env, ...environment},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stderr.pipe(
      createWriteStream(`${this.logFolder}/${name}.log`, {flags: 'a'}),
    );
    // Registered before it is ready, so that stopAll also ends a process whose
    // start failed.
    this.running.set(name, child);
    child.once('exit', () => {
      if (this.running.get(name) === child) this.running.delete(name);
    });
    return {name, child, readyFields: await waitForReady(name, child)};
  }

  /**
   * Runs a CLI command to completion and returns its exit code, or null if a
   * signal ended it. Calls `observe` with each line of its output.
   */
  async run(
    name: string,
    args: readonly string[],
    observe: (line: string) => void,
  ): Promise<number | null> {
    if (this.isStopping)
      throw new SycamoreyokeError(`${name}: not started, the run is stopping`);
    const child = spawn(process.execPath, [CLI_PATH, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.running.set(name, child);
    child.once('exit', () => this.running.delete(name));
    for (const stream of [child.stdout, child.stderr]) {
      createInterface(stream).on('line', observe);
    }
    return waitForClose(child);
  }

  /**
   * Sends SIGTERM to a process, or SIGKILL if it is still running after the
   * stop timeout. Returns its exit code, or null if it was killed or unknown.
   */
  async stop(name: string): Promise<number | null> {
    const child = this.running.get(name);
    if (!child) return null;
    child.kill('SIGTERM');
    return waitForExit(child, this.stopTimeoutMs);
  }

  /** Ends a process with SIGKILL. */
  async kill(name: string): Promise<void> {
    const child = this.running.get(name);
    if (!child) return;
    child.kill('SIGKILL');
    await waitForExit(child, this.stopTimeoutMs);
  }

  /** Sends a signal such as SIGSTOP. */
  sendSignal(name: string, signal: NodeJS.Signals): void {
    this.running.get(name)?.kill(signal);
  }

  /**
   * Waits for a process to exit by itself and returns its exit code. Kills it
   * and returns null if it is still running after the stop timeout.
   */
  async wait(name: string): Promise<number | null> {
    const child = this.running.get(name);
    return child ? waitForExit(child, this.stopTimeoutMs) : null;
  }

  /** Stops all running processes; later starts throw. */
  async stopAll(): Promise<void> {
    this.isStopping = true;
    await Promise.all([...this.running.keys()].map((name) => this.stop(name)));
  }
}

function waitForReady(
  name: string,
  child: ChildProcess,
): Promise<Record<string, unknown>> {
  return new Promise((resolve, reject) => {
    const fail = (message: string) => {
      clearTimeout(timer);
      reject(new SycamoreyokeError(`${name}: ${message}`));
    };
    const timer = setTimeout(() => {
      child.kill('SIGKILL');
      fail(`not ready after ${READY_TIMEOUT_MS} ms`);
    }, READY_TIMEOUT_MS);
    child.once('exit', (code) =>
      fail(`exited before it was ready, with ${code ?? 'a signal'}`),
    );
    if (!child.stdout) return;
    createInterface(child.stdout).on('line', (line) => {
      if (!line.startsWith('{"ready":true')) return;
      clearTimeout(timer);
      resolve(JSON.parse(line) as Record<string, unknown>);
    });
  });
}

/** Waits until the process has exited and its output has been read. */
function waitForClose(child: ChildProcess): Promise<number | null> {
  return new Promise((resolve) => child.once('close', resolve));
}

/** Waits for the process to exit; kills it after the timeout. */
function waitForExit(
  child: ChildProcess,
  timeoutMs: number,
): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve(child.exitCode);
  }
  return new Promise((resolve) => {
    const timer = setTimeout(() => child.kill('SIGKILL'), timeoutMs);
    child.once('exit', (code) => {
      clearTimeout(timer);
      resolve(code);
    });
  });
}
