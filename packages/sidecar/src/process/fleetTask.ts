/** Keeps the list of nodes, and this node's own row in the store. */
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {chooseRemovals} from 'sycamoreyoke/process/rowRemoval';
import {
  chooseRewriteDelayMs,
  computeSpreadMs,
} from 'sycamoreyoke/process/rowRewrite';
import type {StorePosition} from 'sycamoreyoke/process/storePosition';
import {
  RowOrder,
  compareRow,
  isLostInList,
  isRemovedInList,
} from 'sycamoreyoke/process/storePosition';
import type {Random} from 'sycamoreyoke/random';
import {RESTORE_SETTLE_MS, STORE_RETRY_MAX_MS} from '../constants.js';
import type {FleetStore, NodeRecord, RowBatch, StoredRow} from '../types.js';
import {RowRemoval} from '../types.js';

/** Dependencies of the task. */
export interface FleetTaskParts {
  readonly self: NodeRecord;
  readonly store: Pick<FleetStore, 'writeRow' | 'removeRow'>;
  readonly random: Random;
  readonly record: EventRecorder;
  readonly encodeNode: (node: NodeRecord) => Uint8Array;
  readonly decodeNode: (content: Uint8Array) => NodeRecord | undefined;
  readonly handleChange: (nodes: readonly NodeRecord[]) => void;
  /** Whether a node answers at the address of its known record. */
  readonly isLinked: (node: string) => boolean;
  /** Called when this node removes the row of one that is gone. */
  readonly handleRemoval: (node: string) => void;
}

/** Merges the rows of the store with what the nodes report over links. */
export class FleetTask {
  private readonly nodes = new Map<string, NodeRecord>();
  private readonly positions = new Map<string, StorePosition>();
  /**
   * Nodes whose known record the copy of a restored store lacks, with its other
   * record if it has one. The known record is kept until its owner has had the
   * time to write it again.
   */
  private readonly unsettledRows = new Map<string, StoredRow | undefined>();
  private listEra: number | undefined;
  /** The era that has the latest written row of this node. */
  private writtenEra: number | undefined;
  private isStopped = false;
  private writeTimer: NodeJS.Timeout | undefined;
  private settleTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: FleetTaskParts) {}

  list(): readonly NodeRecord[] {
    return [...this.nodes.values()];
  }

  /** Lists the services of the other nodes. */
  listOtherServices(): ReadonlySet<string> {
    const others = this.list().filter(
      ({node}) => node !== this.parts.self.node,
    );
    return new Set(others.map(({service}) => service));
  }

  /** Writes this node's row, with retries until the store has it. */
  async announce(): Promise<void> {
    const {store, self, encodeNode, record} = this.parts;
    try {
      this.writtenEra = await store.writeRow(self.node, encodeNode(self));
    } catch (error) {
      if (this.isStopped) return;
      const {message} = error as Error;
      record(EventCode.NODE_ROW_DELAYED, {message});
      this.scheduleAnnounce(STORE_RETRY_MAX_MS);
    }
  }

  /**
   * Handles a full list of the rows. Nodes missing from the list are gone,
   * unless their rows are newer than the list or were lost in a restore.
   */
  handleAllRows({rows, ...list}: RowBatch): void {
    const knownEra = this.listEra ?? this.writtenEra ?? list.era;
    const isRestored = isLostInList(knownEra, list.era);
    this.listEra = list.era;
    const keys = new Set(rows.map(({key}) => key));
    for (const [name, position] of this.positions) {
      if (keys.has(name)) continue;
      if (isRemovedInList(position, list)) {
        this.positions.delete(name);
        this.nodes.delete(name);
      } else if (isLostInList(position.era, list.era)) {
        this.positions.delete(name);
        this.unsettledRows.set(name, undefined);
      }
    }
    for (const row of rows) this.applyListedRow(row);
    if (isRestored) this.handleRestore(rows);
    else if (!keys.has(this.parts.self.node)) {
      // The row written at the start may just not have arrived yet.
      this.scheduleAnnounce(STORE_RETRY_MAX_MS);
    }
    this.parts.handleChange(this.list());
  }

  handleChangedRows(rows: readonly StoredRow[]): void {
    for (const row of rows) {
      const {key, value, era, version} = row;
      if (compareRow(this.positions.get(key), row) === RowOrder.OLDER) continue;
      this.positions.set(key, {era, version});
      this.unsettledRows.delete(key);
      this.applyRow(key, value);
    }
    this.parts.handleChange(this.list());
  }

  /**
   * Handles a node's own description, received from it or from a peer, which
   * may be newer than its row.
   */
  handleNode(node: NodeRecord): void {
    if (node.node === this.parts.self.node) return;
    const known = this.nodes.get(node.node);
    if (known?.incarnation === node.incarnation) return;
    this.nodes.set(node.node, node);
    this.unsettledRows.delete(node.node);
    const {service} = node;
    this.parts.record(EventCode.MEMBER_JOINED, {member: node.node, service});
    this.parts.handleChange(this.list());
  }

  /** Removes a node because another one answers at its address. */
  removeNode({node, incarnation}: NodeRecord): void {
    if (this.nodes.get(node)?.incarnation !== incarnation) return;
    this.nodes.delete(node);
    this.parts.record(EventCode.MEMBER_DEAD, {member: node, cause: 'replaced'});
    this.parts.handleChange(this.list());
  }

  /** Removes the rows of unreachable nodes that this node is in charge of. */
  async removeUnreachable(unreachable: ReadonlySet<string>): Promise<void> {
    const {self, store, record} = this.parts;
    const names = [...this.nodes.keys()];
    for (const member of chooseRemovals(self.node, names, unreachable)) {
      const position = this.positions.get(member);
      if (position === undefined) continue;
      record(EventCode.MEMBER_DEAD, {member, cause: 'unreachable'});
      try {
        // If the store is restored meanwhile, its next list is decided on. A
        // node whose row was removed by chance writes it again.
        const removal = await store.removeRow(member, position);
        if (removal === RowRemoval.DONE) this.parts.handleRemoval(member);
      } catch (error) {
        const {message} = error as Error;
        record(EventCode.NODE_ROW_DELAYED, {message});
        return;
      }
    }
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.writeTimer);
    clearTimeout(this.settleTimer);
  }

  /** Applies a row of a list, unless it conflicts with a known record. */
  private applyListedRow(row: StoredRow): void {
    const {key, value, era, version} = row;
    const order = compareRow(this.positions.get(key), row);
    if (order === RowOrder.OLDER) return;
    this.positions.set(key, {era, version});
    const known = this.nodes.get(key);
    const isConflict =
      order === RowOrder.LATER_ERA &&
      known !== undefined &&
      key !== this.parts.self.node &&
      (value && this.parts.decodeNode(value))?.incarnation !==
        known.incarnation;
    if (isConflict) {
      this.unsettledRows.set(key, row);
      return;
    }
    this.unsettledRows.delete(key);
    this.applyRow(key, value);
  }

  /** Writes this node's row again if the store has lost it. */
  private handleRestore(rows: readonly StoredRow[]): void {
    const {self, random} = this.parts;
    const lostRows = this.unsettledRows.size + 1;
    const own = rows.find(({key}) => key === self.node)?.value;
    if (!this.isOwnRecord(own)) {
      const delayMs = chooseRewriteDelayMs(
        {
          key: self.node,
          holder: self.node,
          isOwner: true,
          nodes: this.nodes.size,
          lostRows,
        },
        random,
      );
      this.cancelAnnounce();
      this.scheduleAnnounce(delayMs, true);
    }
    clearTimeout(this.settleTimer);
    this.settleTimer = setTimeout(
      () => this.settleRows(),
      computeSpreadMs(lostRows) + RESTORE_SETTLE_MS,
    );
  }

  /**
   * Accepts what the restored store has, since no owner has written meanwhile.
   * A node that is linked may not reach the store, and stays known.
   */
  private settleRows(): void {
    for (const [name, row] of this.unsettledRows) {
      if (this.parts.isLinked(name)) continue;
      if (row) this.applyRow(name, row.value);
      else this.nodes.delete(name);
    }
    this.unsettledRows.clear();
    this.parts.handleChange(this.list());
  }

  private isOwnRecord(value: Uint8Array | undefined): boolean {
    const {self, decodeNode} = this.parts;
    const node = value && decodeNode(value);
    return node?.node === self.node && node.incarnation === self.incarnation;
  }

  private cancelAnnounce(): void {
    clearTimeout(this.writeTimer);
    this.writeTimer = undefined;
  }

  /** Schedules a write of this node's row, unless one is scheduled. */
  private scheduleAnnounce(delayMs: number, isLost = false): void {
    if (this.isStopped) return;
    this.writeTimer ??= setTimeout(() => {
      this.writeTimer = undefined;
      if (isLost) {
        const {node: key} = this.parts.self;
        this.parts.record(EventCode.ROW_REWRITTEN, {key, isOwner: true});
      }
      void this.announce();
    }, delayMs);
  }

  private applyRow(key: string, value: Uint8Array | undefined): void {
    const {self} = this.parts;
    const node = value && this.parts.decodeNode(value);
    const isNode = node?.node === key;
    if (key === self.node) {
      if (this.isOwnRecord(value)) this.cancelAnnounce();
      else this.scheduleAnnounce(STORE_RETRY_MAX_MS);
    }
    if (isNode) {
      this.nodes.set(key, node);
    } else if (value) {
      // Not written by a node; a known node of that name stays listed.
      const message = `row "${key}" does not describe a node`;
      const details = {source: 'store', message};
      this.parts.record(EventCode.MESSAGE_MALFORMED, details);
    } else {
      this.nodes.delete(key);
      this.positions.delete(key);
    }
  }
}
