/** Keeps the list of nodes, and this node's own row in the store. */
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {chooseRemovals} from 'sycamoreyoke/process/rowRemoval';
import {STORE_RETRY_MAX_MS} from '../constants.js';
import type {FleetStore, NodeRecord, StoredRow} from '../types.js';

/** Dependencies of the task. */
export interface FleetTaskParts {
  readonly self: NodeRecord;
  readonly store: FleetStore;
  readonly record: EventRecorder;
  readonly encodeNode: (node: NodeRecord) => Uint8Array;
  readonly decodeNode: (content: Uint8Array) => NodeRecord | undefined;
  readonly handleChange: (nodes: readonly NodeRecord[]) => void;
  /** Called when this node removes the row of one that is gone. */
  readonly handleRemoval: (node: string) => void;
}

/** Merges the rows of the store with what the nodes report over links. */
export class FleetTask {
  private readonly nodes = new Map<string, NodeRecord>();
  private readonly rowVersions = new Map<string, number>();
  private isStopped = false;
  private writeTimer: NodeJS.Timeout | undefined;

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
      await store.writeRow(self.node, encodeNode(self));
    } catch (error) {
      if (this.isStopped) return;
      const {message} = error as Error;
      record(EventCode.NODE_ROW_DELAYED, {message});
      this.announceIfMissing(false);
    }
  }

  /**
   * Handles a full list of the rows as of a version. Nodes missing from the
   * list are gone, unless their rows are newer than the list.
   */
  handleAllRows(rows: readonly StoredRow[], listVersion: number): void {
    const keys = new Set(rows.map(({key}) => key));
    for (const [name, version] of this.rowVersions) {
      if (keys.has(name) || version > listVersion) continue;
      this.rowVersions.delete(name);
      this.nodes.delete(name);
    }
    this.handleChangedRows(rows);
    if (!keys.has(this.parts.self.node)) this.announceIfMissing(false);
  }

  handleChangedRows(rows: readonly StoredRow[]): void {
    for (const {key, value, version} of rows) {
      if (version < (this.rowVersions.get(key) ?? 0)) continue;
      this.rowVersions.set(key, version);
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
      const version = this.rowVersions.get(member);
      if (version === undefined) continue;
      record(EventCode.MEMBER_DEAD, {member, cause: 'unreachable'});
      try {
        await store.removeRow(member, version);
        this.parts.handleRemoval(member);
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
  }

  /** Schedules a write if this node's row was removed or overwritten. */
  private announceIfMissing(isPresent: boolean): void {
    if (isPresent || this.isStopped) {
      clearTimeout(this.writeTimer);
      this.writeTimer = undefined;
      return;
    }
    // The row written at the start may just not have arrived yet.
    this.writeTimer ??= setTimeout(() => {
      this.writeTimer = undefined;
      void this.announce();
    }, STORE_RETRY_MAX_MS);
  }

  private applyRow(key: string, value: Uint8Array | undefined): void {
    const {self} = this.parts;
    const node = value && this.parts.decodeNode(value);
    const isNode = node?.node === key;
    if (key === self.node) {
      this.announceIfMissing(isNode && node.incarnation === self.incarnation);
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
      this.rowVersions.delete(key);
    }
  }
}
