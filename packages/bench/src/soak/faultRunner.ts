/** Carries out the faults of a schedule. */
import {readFile, writeFile} from 'node:fs/promises';
import {setTimeout as wait} from 'node:timers/promises';
import type {Seat, ServiceFleet} from '../fleet/serviceFleet.js';
import {SUELAS_FILES} from '../fleet/serviceFleet.js';
import type {Collector} from './collector.js';
import type {Fault} from './faults.js';
import {FaultKind} from './faults.js';

const SLOW_MS = 800;
const LOST_SHARE = 0.5;
const FIRST_QUEUE_LIMIT = 'queueLimit: 100';

/** A fault as it was carried out. */
export interface FaultRecord {
  readonly fault: Fault;
  readonly startMs: number;
  readonly endMs: number;
  readonly note: string;
}

/** Carries out faults and keeps what was seen. */
export class FaultRunner {
  readonly records: FaultRecord[] = [];
  readonly failures: string[] = [];
  private publishes = 0;

  constructor(
    private readonly fleet: ServiceFleet,
    private readonly collector: Collector,
    private readonly folder: string,
    private readonly readMs: () => number,
  ) {}

  /** Runs the faults of a step at the same time. */
  async run(faults: readonly Fault[]): Promise<void> {
    await Promise.all(faults.map((fault) => this.runFault(fault)));
  }

  private async runFault(fault: Fault): Promise<void> {
    const startMs = this.readMs();
    const seat = this.fleet.seats[fault.target];
    if (!seat) return;
    const note = await this.execute(fault, seat).catch((error: unknown) => {
      this.failures.push(`${fault.kind} at ${seat.node}: ${String(error)}`);
      return 'failed';
    });
    const endMs = this.readMs();
    this.records.push({fault, startMs, endMs, note});
    const span = `${(startMs / 1_000).toFixed(1)}-${(endMs / 1_000).toFixed(1)} s`;
    console.log(`fault ${span} ${fault.kind} ${note}`);
  }

  private async execute(fault: Fault, seat: Seat): Promise<string> {
    const {durationMs} = fault;
    switch (fault.kind) {
      case FaultKind.KILL_NODE:
        return this.killNode(seat, durationMs);
      case FaultKind.KILL_UPSTREAM:
        return this.killUpstream(seat, durationMs);
      case FaultKind.PAUSE_NODE:
        return this.runPause(seat.node, durationMs);
      case FaultKind.PAUSE_UPSTREAM:
        return this.runPause(seat.upstream, durationMs);
      case FaultKind.TABLE_OUTAGE:
        return this.runSwitch('tableOutage', true, false, durationMs);
      case FaultKind.SLOW_PLATFORM:
        return this.runSwitch('delayMs', SLOW_MS, 0, durationMs);
      case FaultKind.LOST_ANSWERS:
        return this.runSwitch('lostAnswers', LOST_SHARE, 0, durationMs);
      case FaultKind.STOP_NODE:
        return this.stopNode(seat);
      case FaultKind.TWO_PUBLISHES:
        return this.publishTwice();
    }
  }

  private async killNode(seat: Seat, durationMs: number): Promise<string> {
    await this.collector.collect();
    await this.fleet.launcher.kill(seat.node);
    this.collector.markRestart(seat.node);
    await wait(durationMs);
    await this.fleet.startNode(seat);
    return seat.node;
  }

  private async killUpstream(seat: Seat, durationMs: number): Promise<string> {
    await this.collector.collect();
    await this.fleet.launcher.kill(seat.upstream);
    this.collector.markRestart(seat.upstream);
    await wait(durationMs);
    await this.fleet.startUpstream(seat);
    return seat.upstream;
  }

  private async runPause(name: string, durationMs: number): Promise<string> {
    this.fleet.launcher.send(name, 'SIGSTOP');
    await wait(durationMs);
    this.fleet.launcher.send(name, 'SIGCONT');
    return name;
  }

  private async runSwitch(
    name: 'tableOutage' | 'delayMs' | 'lostAnswers',
    on: boolean | number,
    off: boolean | number,
    durationMs: number,
  ): Promise<string> {
    await this.fleet.applySwitches({[name]: on});
    await wait(durationMs);
    await this.fleet.applySwitches({[name]: off});
    return String(on);
  }

  private async stopNode(seat: Seat): Promise<string> {
    const code = await this.fleet.launcher.stop(seat.node);
    if (code !== 0) this.failures.push(`${seat.node} exited with ${code}`);
    this.collector.markRestart(seat.node);
    await this.fleet.startNode(seat);
    return `${seat.node} exit=${code}`;
  }

  /** Two operators change the same object from the same version. */
  private async publishTwice(): Promise<string> {
    const statuses = await Promise.all(
      this.fleet.seats.map((seat) =>
        this.fleet.readStatus(seat).catch(() => undefined),
      ),
    );
    const versions = statuses.map((status) => status?.configurationVersion);
    const base = Math.max(...versions.map((version) => version ?? 0));
    const ends = await Promise.all(
      [1, 2].map(async () => this.fleet.publish(base, await this.writeSet())),
    );
    const codes = ends.map(({code}) => code);
    if (codes.every((code) => code === 0)) {
      this.failures.push(`both publishes at version ${base} were accepted`);
    }
    return `base=${base} exits=${codes.join(',')}`;
  }

  private async writeSet(): Promise<string[]> {
    this.publishes += 1;
    const [services = '', ...others] = SUELAS_FILES;
    const text = await readFile(services, 'utf8');
    const path = `${this.folder}/services-${this.publishes}.yaml`;
    const limit = `queueLimit: ${100 + this.publishes}`;
    await writeFile(path, text.replace(FIRST_QUEUE_LIMIT, limit));
    return [path, ...others];
  }
}
