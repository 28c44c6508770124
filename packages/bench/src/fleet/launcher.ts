/** Starts and ends processes of the command line for demos and measurements. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {SycamoreyokeError} from 'sycamoreyoke/errors';

const COMMAND = fileURLToPath(
  new URL('../../../cli/bin/sycamoreyoke.js', import.meta.url),
);
const READY_TIMEOUT_MS = 30_000;
const STOP_TIMEOUT_MS = 20_000;

/** A process that printed its ready line. */
export interface LaunchedProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** What the ready line said. */
  readonly ready: Readonly<Record<string, unknown>>;
}

/** Finds ports that are free now. */
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

/** Owns the processes of a run and ends them all. */
export class Launcher {
  private readonly running = new Map<string, LaunchedProcess>();

  constructor(private readonly logFolder: string) {}

  /** Starts a command and waits for its ready line. */
  async start(
    name: string,
    args: readonly string[],
    environment: Readonly<Record<string, string>> = {},
  ): Promise<LaunchedProcess> {
    const child = spawn(process.execPath, [COMMAND, ...args], {
      env: {...process.env, ...environment},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stderr.pipe(
      createWriteStream(`${this.logFolder}/${name}.log`, {flags: 'a'}),
    );
    const ready = await waitForReady(name, child);
    const launched: LaunchedProcess = {name, child, ready};
    this.running.set(name, launched);
    child.once('exit', () => {
      if (this.running.get(name) === launched) this.running.delete(name);
    });
    return launched;
  }

  /** Ends a process gracefully and returns its exit code. */
  async stop(name: string): Promise<number | null> {
    const launched = this.running.get(name);
    if (!launched) return null;
    launched.child.kill('SIGTERM');
    return waitForExit(launched.child);
  }

  /** Ends a process at once. */
  async kill(name: string): Promise<void> {
    const launched = this.running.get(name);
    if (!launched) return;
    launched.child.kill('SIGKILL');
    await waitForExit(launched.child);
  }

  /** Sends a signal such as SIGSTOP. */
  send(name: string, signal: NodeJS.Signals): void {
    this.running.get(name)?.child.kill(signal);
  }

  /** Resolves with the exit code when the process ends by itself. */
  async wait(name: string): Promise<number | null> {
    const launched = this.running.get(name);
    return launched ? waitForExit(launched.child) : null;
  }

  /** Ends all processes that are still running. */
  async stopAll(): Promise<void> {
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
    child.once('exit', (code) => fail(`exited with ${code ?? 'a signal'}`));
    if (!child.stdout) return;
    createInterface(child.stdout).on('line', (line) => {
      if (!line.startsWith('{"ready":true')) return;
      clearTimeout(timer);
      resolve(JSON.parse(line) as Record<string, unknown>);
    });
  });
}

/** Waits for the exit; kills the process when it takes too long. */
function waitForExit(child: ChildProcess): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve(child.exitCode);
  }
  return new Promise((resolve) => {
    const timer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS);
    child.once('exit', (code) => {
      clearTimeout(timer);
      resolve(code);
    });
  });
}
