/**
 * Keeps what a node knows of its leaving upstream beyond the end of its process:
 * at the other nodes and, if the node stops or none of them can be told, in the
 * store.
 */
import {setTimeout as wait} from 'node:timers/promises';
import type {Clock} from 'sycamoreyoke/clock';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {UpstreamLeaving} from 'sycamoreyoke/process/upstreamLeavings';
import {MAX_LEAVINGS} from 'sycamoreyoke/process/upstreamLeavings';
import type {StorePosition} from 'sycamoreyoke/process/storePosition';
import type {NodeProcess} from 'sycamoreyoke/process/linkedProcesses';
import type {Random} from 'sycamoreyoke/random';
import {STORE_RETRY_MAX_MS} from '../constants.js';
import type {FleetStore, LeavingNotice, StoredRow} from '../types.js';
import {HeldRows} from './heldRows.js';

/** Dependencies of the task. */
export interface LeavingTaskParts {
  /** Name of the node. */
  readonly node: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly record: EventRecorder;
  readonly countNodes: () => number;
  readonly store: Pick<FleetStore, 'writeRow' | 'removeRow'>;
  readonly encodeLeavings: (leavings: readonly UpstreamLeaving[]) => Uint8Array;
  readonly decodeLeavings: (content: Uint8Array) => readonly UpstreamLeaving[];
  /** Lists the leavings of the node's own upstream. */
  readonly listOwn: () => readonly UpstreamLeaving[];
  /** Applies leavings that an earlier process of the node acknowledged. */
  readonly applyOwn: (leavings: readonly UpstreamLeaving[]) => void;
  /** Called when a peer knew what the node's former process was told. */
  readonly recordTold: () => void;
  /** Whether this node was linked to the process before the given one. */
  readonly hasKnownFormer: (process: NodeProcess) => boolean;
  /** Sends a notice to the linked nodes; returns how many keep it. */
  readonly sendNotice: (notice: LeavingNotice) => number;
  /** Calls back if nothing listens at the upstream's address any more. */
  readonly probeUpstream: (handleNoListener: () => void) => void;
}

interface KeptNotice extends LeavingNotice {
  readonly learnedMs: number;
}

const ROW_PREFIX = 'leaving/';
/** An upstream has ended, and its node is back, long before that. */
const NOTICE_MEMORY_MS = 300_000;
const MAX_NOTICES = 1_024;
/** Time for a closed port on the same VM to refuse a connection. */
const PROBE_MS = 50;
const HANDOVER_POLL_MS = 20;
/** A planned stop takes a few seconds, in which several attempts fit. */
const HANDOVER_RETRY_MS = 300;

/** Whether a row of the node table holds the leavings of an upstream. */
export function isLeavingRow({key}: Pick<StoredRow, 'key'>): boolean {
  return key.startsWith(ROW_PREFIX);
}

/** Exchanges notices of leaving upstreams between the nodes. */
export class LeavingTask {
  private readonly notices = new Map<string, KeptNotice>();
  private readonly rows: HeldRows;
  private isStopping = false;
  /** Leavings that the other nodes were last told of, as JSON. */
  private announcedContent = '';
  private isStopped = false;
  private isWriting = false;
  /** Whether a leaving is not in the store yet although it should be. */
  private needsWrite = false;
  private writeTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: LeavingTaskParts) {
    this.rows = new HeldRows({
      node: parts.node,
      random: parts.random,
      record: parts.record,
      store: parts.store,
      countNodes: parts.countNodes,
      isOwner: (key) => key === ROW_PREFIX + parts.node,
      buildValue: (key, value) => this.buildRow(key, value),
      handleDelay: (error) => this.recordDelay(error),
    });
  }

  /**
   * Handles a change of the own upstream: announces that it leaves, or removes
   * what the store keeps of a former one.
   */
  handleUpstreamChange(): void {
    const leavings = this.parts.listOwn();
    if (leavings.length === 0) {
      this.needsWrite = false;
      void this.removeRow(this.parts.node);
      return;
    }
    const content = JSON.stringify(leavings);
    if (content === this.announcedContent) return;
    this.announcedContent = content;
    const holders = this.parts.sendNotice({node: this.parts.node, leavings});
    if (holders === 0 || this.isStopping) this.scheduleWrite();
  }

  /**
   * Lists what a node has to know that has just been linked. A notice without
   * leavings says that its former process had announced none to this node.
   */
  listNotices(process: NodeProcess): readonly LeavingNotice[] {
    const {node, clock} = this.parts;
    const leavings = this.parts.listOwn();
    const {node: peer} = process;
    const kept = this.notices.get(peer);
    const isKept =
      kept !== undefined && clock.readMs() - kept.learnedMs < NOTICE_MEMORY_MS;
    return [
      ...(leavings.length > 0 ? [{node, leavings}] : []),
      ...(isKept ? [{node: peer, leavings: kept.leavings}] : []),
      ...(!isKept && this.parts.hasKnownFormer(process)
        ? [{node: peer, leavings: []}]
        : []),
    ];
  }

  /** Applies a notice about the own upstream, and keeps one about another. */
  handleNotice({node, leavings}: LeavingNotice): void {
    if (node === this.parts.node) {
      this.parts.applyOwn(leavings);
      this.parts.recordTold();
      return;
    }
    this.notices.delete(node);
    this.notices.set(node, {
      node,
      leavings: leavings.slice(0, MAX_LEAVINGS),
      learnedMs: this.parts.clock.readMs(),
    });
    const [oldest] = this.notices.keys();
    if (oldest !== undefined && this.notices.size > MAX_NOTICES) {
      this.notices.delete(oldest);
    }
  }

  /**
   * Handles rows of the store, from a change or from a list, which has a
   * position and all rows of this kind.
   */
  handleRows(rows: readonly StoredRow[], list?: StorePosition): void {
    this.rows.handleRows(rows, list);
    const ownRow = rows.find(({key}) => key === ROW_PREFIX + this.parts.node);
    if (!ownRow?.value) return;
    this.parts.applyOwn(this.parts.decodeLeavings(ownRow.value));
    // The upstream may have been replaced before the row was read.
    if (this.parts.listOwn().length === 0) void this.removeRow(this.parts.node);
  }

  /** Removes the row of a node that is gone, or whose upstream is another. */
  async removeRow(node: string): Promise<void> {
    await this.rows.remove(ROW_PREFIX + node);
  }

  /**
   * Writes the leaving of an upstream that still runs to the store: the other
   * nodes may stop too, or have lost their links.
   */
  startHandover(): void {
    this.isStopping = true;
    if (this.parts.listOwn().length > 0) this.scheduleWrite();
  }

  /** Waits until the store has the leavings, or until the given time. */
  async finishHandover(untilMs: number): Promise<void> {
    const isPending = () => this.needsWrite || this.isWriting;
    while (isPending() && this.parts.clock.readMs() < untilMs) {
      await wait(HANDOVER_POLL_MS);
    }
    this.isStopped = true;
    clearTimeout(this.writeTimer);
    this.rows.stop();
  }

  /** Returns the row as this node knows it; the own one may have changed. */
  private buildRow(key: string, value: Uint8Array): Uint8Array | undefined {
    if (key !== ROW_PREFIX + this.parts.node) return value;
    const leavings = this.parts.listOwn();
    return leavings.length > 0
      ? this.parts.encodeLeavings(leavings)
      : undefined;
  }

  private scheduleWrite(): void {
    this.needsWrite = true;
    this.parts.probeUpstream(() => {
      this.needsWrite = false;
    });
    this.writeTimer ??= setTimeout(() => void this.write(), PROBE_MS);
  }

  private async write(): Promise<void> {
    this.writeTimer = undefined;
    if (!this.needsWrite || this.isWriting) return;
    const {node, store, encodeLeavings, listOwn} = this.parts;
    this.needsWrite = false;
    this.isWriting = true;
    try {
      const row = encodeLeavings(listOwn());
      const era = await store.writeRow(ROW_PREFIX + node, row);
      this.rows.hold(ROW_PREFIX + node, row, era);
    } catch (error) {
      this.needsWrite = true;
      this.recordDelay(error as Error);
    } finally {
      this.isWriting = false;
    }
    if (!this.needsWrite || this.isStopped) return;
    const retryMs = this.isStopping ? HANDOVER_RETRY_MS : STORE_RETRY_MAX_MS;
    this.writeTimer = setTimeout(() => void this.write(), retryMs);
  }

  private recordDelay({message}: Error): void {
    this.parts.record(EventCode.LEAVING_ROW_DELAYED, {message});
  }
}
