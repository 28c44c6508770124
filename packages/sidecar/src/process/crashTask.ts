/** Keeps requests that crash upstreams away from the upstreams of a service. */
import type {Clock} from 'sycamoreyoke/clock';
import {
  CRASH_MEMORY_MS,
  CRASH_REFUSAL_MS,
  CrashRegister,
  MAX_SUSPECTS_PER_CRASH,
} from 'sycamoreyoke/process/crashRegister';
import type {
  CrashSuspect,
  CrashVerdict,
} from 'sycamoreyoke/process/crashRegister';
import {CrashWatch} from 'sycamoreyoke/process/crashWatch';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {identifyContent} from 'sycamoreyoke/request/contentIdentity';
import {
  MAX_SPREAD_SUSPECTS,
  ROW_CHECK_MS,
  STORE_RETRY_MAX_MS,
} from '../constants.js';
import type {FleetStore, OutgoingCall, StoredRow} from '../types.js';

/** Row of a request that is refused because it has crashed upstreams. */
export interface CrashMark {
  readonly service: string;
  readonly identity: string;
}

/** What the task is built from. */
export interface CrashTaskParts {
  /** Of this start of the node; a part of the ids of its crashes. */
  readonly incarnation: string;
  readonly service: string;
  readonly clock: Clock;
  readonly record: EventRecorder;
  readonly store: Pick<FleetStore, 'writeRow' | 'removeRow'>;
  readonly encodeMark: (mark: CrashMark) => Uint8Array;
  readonly decodeMark: (content: Uint8Array) => CrashMark | undefined;
  /** Tells the other nodes of the service. */
  readonly spread: (suspects: readonly CrashSuspect[]) => void;
}

/** A row of the store that names a refused request. */
interface KnownRow {
  readonly key: string;
  readonly version: number;
  readonly learnedMs: number;
}

const ROW_PREFIX = 'crash/';
const NO_VERDICT: CrashVerdict = {isRefused: false, retryAfterMs: 0};

/** Whether a row of the node table is a mark of this task. */
export function isCrashRow({key}: Pick<StoredRow, 'key'>): boolean {
  return key.startsWith(ROW_PREFIX);
}

/**
 * Owns what the node knows of crashes. Suspects go from node to node within the
 * service, whose gates refuse; a refused request is kept in the store as well,
 * for nodes that have no link to the others or have just started.
 */
export class CrashTask {
  private readonly register: CrashRegister;
  private readonly watch: CrashWatch<OutgoingCall>;
  private readonly identities = new WeakMap<OutgoingCall, string>();
  /** Suspects of crashes of the own upstream; this node writes their rows. */
  private readonly own = new Set<string>();
  private readonly unwritten = new Set<string>();
  private readonly written = new Set<string>();
  private readonly rows = new Map<string, KnownRow>();
  private crashes = 0;
  private crashedMs = -Infinity;
  private writeTimer: NodeJS.Timeout | undefined;
  private isWriting = false;
  private readonly rowTimer: NodeJS.Timeout;

  constructor(private readonly parts: CrashTaskParts) {
    this.register = new CrashRegister(parts.clock);
    this.watch = new CrashWatch(parts.clock);
    this.rowTimer = setInterval(() => void this.removeRows(), ROW_CHECK_MS);
  }

  /** Decides whether a call may run on the upstream. */
  check(call: OutgoingCall): CrashVerdict {
    if (!this.register.hasSuspects()) return NO_VERDICT;
    return this.register.check(this.identify(call));
  }

  /** A run has ended without an answer. */
  observeUnanswered(call: OutgoingCall, startedMs: number): void {
    // The crash that ended the run may have been recorded before its end.
    if (startedMs > this.crashedMs) this.watch.recordUnanswered(call);
  }

  /** The upstream has answered a run, which has not crashed it. */
  observeAnswer(call: OutgoingCall, startedMs: number): void {
    this.watch.recordAnswer(startedMs);
    if (!this.register.hasSuspects()) return;
    this.register.clear(this.identify(call));
  }

  /** The upstream has refused a run, so it is alive. */
  observeRefusal(startedMs: number): void {
    this.watch.recordAnswer(startedMs);
  }

  /** The upstream has ended as announced. */
  recordPlannedEnd(): void {
    this.watch.clear();
  }

  /** The upstream has crashed while these calls ran; gives the suspects. */
  recordCrash(running: readonly OutgoingCall[]): number {
    this.crashedMs = this.parts.clock.readMs();
    const calls = [...this.watch.take(), ...running].slice(
      0,
      MAX_SUSPECTS_PER_CRASH,
    );
    if (calls.length === 0) return 0;
    this.crashes += 1;
    const crashId = `${this.parts.incarnation}-${this.crashes}`;
    const identities = calls.map((call) => this.identify(call));
    const suspects = this.register.recordCrash(crashId, identities, 0);
    for (const [index, {requestId}] of calls.entries()) {
      const identity = identities[index] ?? '';
      this.addOwn(identity);
      this.parts.record(
        EventCode.REQUEST_SUSPECTED,
        {identity, crashId, inFlight: calls.length},
        requestId,
      );
    }
    this.parts.spread(suspects);
    this.writeRefused(identities);
    return calls.length;
  }

  /** Takes over what another node of the service knows. */
  merge(suspects: readonly CrashSuspect[]): void {
    const learned = this.register.merge(suspects, 0);
    if (learned.length === 0) return;
    this.parts.spread(learned);
    this.writeRefused(learned.map(({identity}) => identity));
  }

  /** What a node that joins has to know. */
  listSuspects(): readonly CrashSuspect[] {
    return this.register.listSuspects(MAX_SPREAD_SUSPECTS);
  }

  /** Takes rows of the store in, after a list or a change. */
  handleRows(rows: readonly StoredRow[]): void {
    for (const {key, value, version} of rows) {
      // A list names rows again that are known.
      if (this.rows.get(key)?.version === version) continue;
      const mark = value && this.parts.decodeMark(value);
      const isOwn = mark?.service === this.parts.service;
      if (!isOwn || key !== buildKey(mark.identity)) {
        this.rows.delete(key);
        continue;
      }
      const learnedMs = this.parts.clock.readMs();
      this.rows.set(key, {key, version, learnedMs});
      this.register.mark(mark.identity);
    }
  }

  stop(): void {
    clearInterval(this.rowTimer);
    clearTimeout(this.writeTimer);
  }

  private identify(call: OutgoingCall): string {
    const known = this.identities.get(call);
    if (known !== undefined) return known;
    const identity = identifyContent(call);
    this.identities.set(call, identity);
    return identity;
  }

  private addOwn(identity: string): void {
    const [oldest] = this.own;
    if (oldest !== undefined && this.own.size >= MAX_SPREAD_SUSPECTS) {
      this.own.delete(oldest);
    }
    this.own.add(identity);
  }

  private writeRefused(identities: readonly string[]): void {
    for (const identity of identities) {
      if (!this.own.has(identity) || this.written.has(identity)) continue;
      if (this.register.check(identity).isRefused) this.unwritten.add(identity);
    }
    if (!this.writeTimer && !this.isWriting) void this.writeRows();
  }

  /** Writes until the store has all of them or they are not refused any more. */
  private async writeRows(): Promise<void> {
    const {service, store, encodeMark, record} = this.parts;
    this.isWriting = true;
    try {
      for (const identity of this.unwritten) {
        if (this.register.check(identity).isRefused) {
          this.written.add(identity);
          const row = encodeMark({service, identity});
          await store.writeRow(buildKey(identity), row);
        }
        this.unwritten.delete(identity);
      }
    } catch (error) {
      const {message} = error as Error;
      record(EventCode.CRASH_ROW_DELAYED, {message});
      this.writeTimer = setTimeout(() => {
        this.writeTimer = undefined;
        void this.writeRows();
      }, STORE_RETRY_MAX_MS);
    } finally {
      this.isWriting = false;
    }
  }

  /** Its writer removes a row; when that node is gone, the others do. */
  private async removeRows(): Promise<void> {
    const nowMs = this.parts.clock.readMs();
    for (const {key, version, learnedMs} of [...this.rows.values()]) {
      const isWriter = this.written.has(key.slice(ROW_PREFIX.length));
      const keptMs = isWriter ? CRASH_REFUSAL_MS : CRASH_MEMORY_MS;
      if (nowMs - learnedMs < keptMs) continue;
      this.rows.delete(key);
      this.written.delete(key.slice(ROW_PREFIX.length));
      try {
        await this.parts.store.removeRow(key, version);
      } catch (error) {
        const {message} = error as Error;
        this.rows.set(key, {key, version, learnedMs});
        this.parts.record(EventCode.CRASH_ROW_DELAYED, {message});
        return;
      }
    }
  }
}

function buildKey(identity: string): string {
  return `${ROW_PREFIX}${identity}`;
}
