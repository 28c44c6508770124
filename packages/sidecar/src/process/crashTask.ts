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
import type {StorePosition} from 'sycamoreyoke/process/storePosition';
import type {Random} from 'sycamoreyoke/random';
import {identifyContent} from 'sycamoreyoke/request/contentIdentity';
import {
  MAX_SENT_SUSPECTS,
  ROW_CHECK_INTERVAL_MS,
  STORE_RETRY_MAX_MS,
} from '../constants.js';
import type {FleetStore, OutgoingCall, StoredRow} from '../types.js';
import {HeldRows} from './heldRows.js';

/** Stored row of a request that is refused because it crashed upstreams. */
export interface CrashMark {
  readonly service: string;
  readonly identity: string;
}

/** Dependencies of the task. */
export interface CrashTaskParts {
  /** Name of the node. */
  readonly node: string;
  /** Differs for each start of the node; prefix of its crash ids. */
  readonly incarnation: string;
  readonly service: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly record: EventRecorder;
  readonly countNodes: () => number;
  readonly store: Pick<FleetStore, 'writeRow' | 'removeRow'>;
  readonly encodeMark: (mark: CrashMark) => Uint8Array;
  readonly decodeMark: (content: Uint8Array) => CrashMark | undefined;
  /** Sends suspects to the other nodes of the service. */
  readonly broadcastSuspects: (suspects: readonly CrashSuspect[]) => void;
}

const ROW_PREFIX = 'crash/';
const NOT_REFUSED: CrashVerdict = {isRefused: false, retryAfterMs: 0};

/** Whether a row of the node table is a crash mark. */
export function isCrashRow({key}: Pick<StoredRow, 'key'>): boolean {
  return key.startsWith(ROW_PREFIX);
}

/**
 * Tracks the requests suspected of crashing upstreams. Suspects are exchanged
 * between the nodes of the service, and its gates refuse a request once it is
 * suspected of several crashes. Refused requests are also kept in the store,
 * for nodes that have no link to the others or have just started.
 */
export class CrashTask {
  private readonly register: CrashRegister;
  private readonly watch: CrashWatch<OutgoingCall>;
  private readonly identities = new WeakMap<OutgoingCall, string>();
  /**
   * Identities of the suspects of crashes of this node's upstream. This node
   * writes their rows.
   */
  private readonly ownSuspects = new Set<string>();
  private readonly unwrittenIdentities = new Set<string>();
  private readonly writtenIdentities = new Set<string>();
  private readonly rows: HeldRows;
  /** When this node learned of the row of a mark, clock ms, by its key. */
  private readonly learnedMs = new Map<string, number>();
  private crashCount = 0;
  private lastCrashMs = -Infinity;
  private writeTimer: NodeJS.Timeout | undefined;
  private isWriting = false;
  private readonly rowTimer: NodeJS.Timeout;

  constructor(private readonly parts: CrashTaskParts) {
    this.register = new CrashRegister(parts.clock);
    this.watch = new CrashWatch(parts.clock);
    this.rows = new HeldRows({
      node: parts.node,
      random: parts.random,
      record: parts.record,
      store: parts.store,
      countNodes: parts.countNodes,
      isOwner: (key) => this.writtenIdentities.has(parseKey(key)),
      buildValue: (key, value) =>
        this.register.check(parseKey(key)).isRefused ? value : undefined,
      handleDelay: ({message}) =>
        parts.record(EventCode.CRASH_ROW_DELAYED, {message}),
    });
    this.rowTimer = setInterval(
      () => void this.removeRows(),
      ROW_CHECK_INTERVAL_MS,
    );
  }

  /** Decides whether a call may run on the upstream. */
  check(call: OutgoingCall): CrashVerdict {
    if (!this.register.hasSuspects()) return NOT_REFUSED;
    return this.register.check(this.identify(call));
  }

  /** Records that a run has ended without a response. */
  observeUnanswered(call: OutgoingCall, startedMs: number): void {
    // The crash that ended the run may have been recorded before its end.
    if (startedMs > this.lastCrashMs) this.watch.recordUnanswered(call);
  }

  /** Records that the upstream has answered a run, so the run was harmless. */
  observeAnswer(call: OutgoingCall, startedMs: number): void {
    this.watch.recordAnswer(startedMs);
    if (!this.register.hasSuspects()) return;
    this.register.clear(this.identify(call));
  }

  /** Records that the upstream has refused a run, so it is alive. */
  observeRefusal(startedMs: number): void {
    this.watch.recordAnswer(startedMs);
  }

  /** Records that the upstream has ended as announced. */
  recordPlannedEnd(): void {
    this.watch.clear();
  }

  /**
   * Records a crash of the upstream while these calls ran. Returns the number
   * of suspects.
   */
  recordCrash(running: readonly OutgoingCall[]): number {
    this.lastCrashMs = this.parts.clock.readMs();
    const calls = [...this.watch.takeSuspects(), ...running].slice(
      0,
      MAX_SUSPECTS_PER_CRASH,
    );
    if (calls.length === 0) return 0;
    this.crashCount += 1;
    const crashId = `${this.parts.incarnation}-${this.crashCount}`;
    const identities = calls.map((call) => this.identify(call));
    const suspects = this.register.recordCrash(crashId, identities, 0);
    for (const [index, {requestId}] of calls.entries()) {
      const identity = identities[index] ?? '';
      this.addOwnSuspect(identity);
      this.parts.record(
        EventCode.REQUEST_SUSPECTED,
        {identity, crashId, inFlight: calls.length},
        requestId,
      );
    }
    this.parts.broadcastSuspects(suspects);
    this.writeRefused(identities);
    return calls.length;
  }

  /** Merges the suspects known to another node of the service. */
  merge(suspects: readonly CrashSuspect[]): void {
    const learned = this.register.merge(suspects, 0);
    if (learned.length === 0) return;
    this.parts.broadcastSuspects(learned);
    this.writeRefused(learned.map(({identity}) => identity));
  }

  /** Lists the suspects that a joining node has to know. */
  listSuspects(): readonly CrashSuspect[] {
    return this.register.listSuspects(MAX_SENT_SUSPECTS);
  }

  /**
   * Handles rows of the store, from a change or from a list, which has a
   * position and all rows of this kind. A row that a restored store still has,
   * or that this node reads in a later era, does not extend a refusal.
   */
  handleRows(rows: readonly StoredRow[], list?: StorePosition): void {
    const ownRows = rows.filter((row) => this.isOwnRow(row));
    const nowMs = this.parts.clock.readMs();
    for (const {key, value} of this.rows.handleRows(ownRows, list)) {
      if (!value) continue;
      this.register.refuse(parseKey(key));
      this.learnedMs.set(key, nowMs);
    }
    for (const {key} of ownRows) {
      if (this.rows.has(key) && !this.learnedMs.has(key)) {
        this.learnedMs.set(key, nowMs);
      }
    }
    for (const key of this.learnedMs.keys()) {
      if (!this.rows.has(key)) this.learnedMs.delete(key);
    }
  }

  stop(): void {
    clearInterval(this.rowTimer);
    clearTimeout(this.writeTimer);
    this.rows.stop();
  }

  /** Whether a row is a mark of the service, or the removal of any mark. */
  private isOwnRow({key, value}: StoredRow): boolean {
    if (!value) return true;
    const mark = this.parts.decodeMark(value);
    return (
      mark?.service === this.parts.service && key === buildKey(mark.identity)
    );
  }

  private identify(call: OutgoingCall): string {
    const known = this.identities.get(call);
    if (known !== undefined) return known;
    const identity = identifyContent(call);
    this.identities.set(call, identity);
    return identity;
  }

  private addOwnSuspect(identity: string): void {
    const [oldest] = this.ownSuspects;
    if (oldest !== undefined && this.ownSuspects.size >= MAX_SENT_SUSPECTS) {
      this.ownSuspects.delete(oldest);
    }
    this.ownSuspects.add(identity);
  }

  private writeRefused(identities: readonly string[]): void {
    for (const identity of identities) {
      if (
        !this.ownSuspects.has(identity) ||
        this.writtenIdentities.has(identity)
      )
        continue;
      if (this.register.check(identity).isRefused)
        this.unwrittenIdentities.add(identity);
    }
    if (!this.writeTimer && !this.isWriting) void this.writeRows();
  }

  /** Writes rows, with retries, until all are stored or no longer refused. */
  private async writeRows(): Promise<void> {
    const {service, store, encodeMark, record} = this.parts;
    this.isWriting = true;
    try {
      for (const identity of this.unwrittenIdentities) {
        if (this.register.check(identity).isRefused) {
          this.writtenIdentities.add(identity);
          const key = buildKey(identity);
          const row = encodeMark({service, identity});
          this.rows.hold(key, row, await store.writeRow(key, row));
        }
        this.unwrittenIdentities.delete(identity);
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

  /**
   * Removes expired rows. A row is removed by its writer; the other nodes wait
   * longer and remove it only if the writer is gone.
   */
  private async removeRows(): Promise<void> {
    const nowMs = this.parts.clock.readMs();
    for (const [key, learnedMs] of [...this.learnedMs]) {
      const isWriter = this.writtenIdentities.has(parseKey(key));
      const retentionMs = isWriter ? CRASH_REFUSAL_MS : CRASH_MEMORY_MS;
      if (nowMs - learnedMs < retentionMs) continue;
      if (!(await this.rows.remove(key))) return;
      this.learnedMs.delete(key);
      this.writtenIdentities.delete(parseKey(key));
    }
  }
}

function buildKey(identity: string): string {
  return `${ROW_PREFIX}${identity}`;
}

function parseKey(key: string): string {
  return key.slice(ROW_PREFIX.length);
}
