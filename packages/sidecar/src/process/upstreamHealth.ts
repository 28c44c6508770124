/** Tracks whether the upstream beside the node is down, crashed or replaced. */
import type {Clock} from 'sycamoreyoke/clock';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {UpstreamPresence} from 'sycamoreyoke/process/upstreamPresence';
import {SendEnd} from 'sycamoreyoke/request/resend';
import type {UpstreamPool} from '../connection/upstreamPool.js';
import {PROBE_INTERVAL_MS, UPSTREAM_DOWN_MS} from '../constants.js';
import type {RunEnd} from '../request/upstreamRun.js';
import type {OutgoingCall} from '../types.js';
import {GateReason} from '../types.js';
import type {CrashTask} from './crashTask.js';

/** The methods of the crash task that are told about runs. */
export type CrashObserver = Pick<
  CrashTask,
  | 'observeAnswer'
  | 'observeRefusal'
  | 'observeUnanswered'
  | 'recordCrash'
  | 'recordPlannedEnd'
>;

/** Dependencies of the health tracker. */
export interface UpstreamHealthParts {
  readonly drainMs: number;
  readonly clock: Clock;
  readonly presence: UpstreamPresence;
  readonly pool: UpstreamPool;
  readonly crashes: CrashObserver;
  readonly record: EventRecorder;
  /** Lists the calls that the upstream may be running. */
  readonly listRunning: () => readonly OutgoingCall[];
  /** Called when the upstream becomes available, leaves or is lost. */
  readonly handleChange: () => void;
  /** Called when the upstream no longer accepts connections. */
  readonly handleDown: () => void;
}

/** Infers the state of the upstream from the ends of its runs. */
export class UpstreamHealth {
  private downUntilMs = 0;
  private lastProbeMs = -Infinity;

  constructor(private readonly parts: UpstreamHealthParts) {}

  isDown(): boolean {
    return this.parts.clock.readMs() < this.downUntilMs;
  }

  /** Whether the drain time is over, so that the upstream's end is planned. */
  isPastDrain(): boolean {
    const nowMs = this.parts.clock.readMs();
    const {drainingSinceMs = nowMs} = this.parts.presence.read() ?? {};
    return nowMs - drainingSinceMs >= this.parts.drainMs;
  }

  /** Updates the crash records and the upstream's state after a run. */
  observeRunEnd(
    call: OutgoingCall,
    instance: string,
    startedMs: number,
    {result: {end, reason}, ...run}: RunEnd,
  ): void {
    const {crashes} = this.parts;
    if (end === SendEnd.RESPONSE) crashes.observeAnswer(call, startedMs);
    if (end === SendEnd.REFUSED_BY_UPSTREAM) crashes.observeRefusal(startedMs);
    if (end === SendEnd.LOST) {
      crashes.observeUnanswered(call, startedMs);
      if (reason === GateReason.CONNECTION_LOST) this.probe();
    }
    if (run.isConnectionRefused) this.markDown(run.hasNoListener);
    if (run.isOtherInstance) this.clearInstance(instance);
  }

  /** Records that the upstream has ended, by a crash or as planned. */
  recordEnd(isPlanned: boolean): void {
    if (isPlanned) {
      this.parts.crashes.recordPlannedEnd();
      return;
    }
    const inFlight = this.parts.crashes.recordCrash(this.parts.listRunning());
    if (inFlight === 0) return;
    const instance = this.parts.presence.read()?.instance ?? '';
    this.parts.record(EventCode.UPSTREAM_CRASHED, {instance, inFlight});
  }

  /** Checks for a crash, of which a lost connection may be the first sign. */
  private probe(): void {
    const nowMs = this.parts.clock.readMs();
    if (this.isDown() || nowMs < this.lastProbeMs + PROBE_INTERVAL_MS) return;
    this.lastProbeMs = nowMs;
    this.parts.pool.probe(() => this.markDown(true));
  }

  private markDown(hasNoListener: boolean): void {
    const wasDown = this.isDown();
    if (hasNoListener) {
      this.parts.presence.recordEnd();
      this.recordEnd(this.isPastDrain());
    }
    this.downUntilMs = this.parts.clock.readMs() + UPSTREAM_DOWN_MS;
    if (wasDown) return;
    this.parts.handleDown();
    this.parts.pool.close();
    this.parts.record(EventCode.UPSTREAM_UNREACHABLE, {
      instance: this.parts.presence.read()?.instance ?? '',
      running: this.parts.listRunning().length,
    });
    this.parts.handleChange();
    setTimeout(() => this.parts.handleChange(), UPSTREAM_DOWN_MS + 1);
  }

  private clearInstance(instance: string): void {
    this.parts.presence.clearInstance(instance);
    this.parts.record(EventCode.UPSTREAM_REPLACED, {instance});
    this.parts.handleChange();
  }
}
