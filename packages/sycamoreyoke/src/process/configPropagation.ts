/**
 * State machine that propagates the configuration to a node: decides which
 * version to adopt, which peer to pull from and when to read the table. It
 * takes messages and returns actions.
 */
import type {Clock} from '../clock.js';
import type {InvariantReporter} from '../invariants.js';
import {Invariant} from '../invariants.js';
import type {Random} from '../random.js';
import {takeInteger} from '../random.js';
import {chooseByRendezvous} from '../rendezvous.js';
import {
  CONFIGURATION_ANNOUNCE_FANOUT,
  DELTA_HISTORY_EDITS,
  DELTA_HISTORY_VERSIONS,
  HEAD_READ_INTERVAL_MS,
  PULL_TIMEOUT_MS,
  STARTING_FAILED_READS,
  STARTING_PEER_RESPONSES,
  STARTING_RETRY_MS,
  TABLE_READ_RETRY_MS,
} from './constants.js';
import type {
  KeyedEdit,
  KeyedSet,
  PropagationAction,
  VersionDelta,
  PropagationResponse,
} from './configPropagationTypes.js';
import {
  PropagationActionKind,
  PropagationResponseKind,
} from './configPropagationTypes.js';

/** Dependencies of a ConfigPropagation. */
export interface ConfigPropagationParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly report: InvariantReporter;
  readonly service: string;
  /** Incarnation of this node. */
  readonly self: string;
}

/** A pull from a peer that has not answered yet. */
interface PendingPull {
  readonly peer: string;
  /** Version that the peer advertised; 0 if none. */
  readonly expectedVersion: number;
  readonly expiresMs: number;
}

/**
 * Keeps the configuration of one node up to date. It holds the current version
 * with its objects, and recent deltas for peers that are behind.
 */
export class ConfigPropagation<T> {
  private version = 0;
  private objects: KeyedSet<T> = new Map();
  private history: Array<VersionDelta<T>> = [];
  private historyEditCount = 0;
  private peers: readonly string[] = [];
  /** Newer versions that peers advertised, by peer. */
  private readonly newerVersionByPeer = new Map<string, number>();
  private pull: PendingPull | undefined;
  private isElectedReader = true;
  private isReadingHead = false;
  private isReadingTable = false;
  private nextHeadReadMs = 0;
  private nextTableReadMs = 0;
  /** Highest version that the table is known or expected to contain. */
  private tableVersion = 0;
  private tableVersionAtRead = 0;
  /** Consecutive failed reads of the head. */
  private failedHeadReads = 0;
  private isStarting = true;
  private hasReadHead = false;
  /** Peers that sent a configuration while the node was starting. */
  private readonly responders = new Set<string>();
  private nextStartingPullMs = 0;

  constructor(private readonly parts: ConfigPropagationParts) {}

  /** The current version; 0 before the first one is adopted. */
  readVersion(): number {
    return this.version;
  }

  /** Whether the node may serve: its configuration is known to be recent. */
  isReady(): boolean {
    return !this.isStarting;
  }

  /** Whether this node reads the head on behalf of its service. */
  isHeadReader(): boolean {
    return this.isElectedReader;
  }

  /** Sets the members of the service; the node itself is ignored. */
  setPeers(peers: readonly string[]): void {
    this.peers = peers.filter((peer) => peer !== this.parts.self);
    const {self, service} = this.parts;
    const reader = chooseByRendezvous(service, [...this.peers, self]);
    this.isElectedReader = reader === self;
    const known = new Set(this.peers);
    for (const peer of this.newerVersionByPeer.keys()) {
      if (!known.has(peer)) this.newerVersionByPeer.delete(peer);
    }
  }

  /** Expires a pull and starts what is due. Call at least every 200 ms. */
  tick(): Array<PropagationAction<T>> {
    const now = this.parts.clock.readMs();
    if (this.pull && now >= this.pull.expiresMs) {
      this.finishPull(this.pull.peer);
    }
    return [
      ...this.readHeadWhenDue(now),
      ...this.askPeersWhileStarting(now),
      ...this.pullMissing(now),
    ];
  }

  /** Handles the version that a control message of a peer carried. */
  observeVersion(peer: string, version: number): Array<PropagationAction<T>> {
    if (peer === this.parts.self || version <= this.version) return [];
    this.newerVersionByPeer.set(peer, version);
    return this.pullMissing(this.parts.clock.readMs());
  }

  /** Handles a version announced by the publisher. */
  observeAnnouncement(version: number): Array<PropagationAction<T>> {
    this.tableVersion = Math.max(this.tableVersion, version);
    return this.pullMissing(this.parts.clock.readMs());
  }

  /** Handles a read of the head; undefined if the table did not answer. */
  handleHead(version: number | undefined): Array<PropagationAction<T>> {
    this.isReadingHead = false;
    this.failedHeadReads = version === undefined ? this.failedHeadReads + 1 : 0;
    if (version !== undefined) {
      this.hasReadHead = true;
      this.tableVersion = Math.max(this.tableVersion, version);
    }
    return this.finishStep([]);
  }

  /** Handles the response of a peer; undefined if it did not answer. */
  handlePeerResponse(
    peer: string,
    response: PropagationResponse<T> | undefined,
  ): Array<PropagationAction<T>> {
    const isUsable =
      response && response.kind !== PropagationResponseKind.NOT_READY;
    const actions = isUsable ? this.apply(response) : [];
    this.finishPull(peer);
    if (isUsable && this.isStarting) this.responders.add(peer);
    return this.finishStep(actions);
  }

  /** Handles a read of the table; undefined if the table did not answer. */
  handleTable(
    answer: PropagationResponse<T> | undefined,
  ): Array<PropagationAction<T>> {
    this.isReadingTable = false;
    const actions = answer ? this.apply(answer) : [];
    // No newer version was announced during the read, so the table contains
    // none.
    const hasNewerAnnouncement = this.tableVersion > this.tableVersionAtRead;
    if (answer && !hasNewerAnnouncement) {
      this.tableVersion = Math.min(this.tableVersion, this.version);
    }
    return this.finishStep(actions);
  }

  /** Builds the response to a peer that has the version `since`. */
  serve(since: number): PropagationResponse<T> {
    // A starting node may hold an old version and must not distribute it.
    if (this.isStarting || this.version === 0) {
      return {kind: PropagationResponseKind.NOT_READY};
    }
    if (since >= this.version) {
      const deltas: Array<VersionDelta<T>> = [];
      return {kind: PropagationResponseKind.DELTA, since: this.version, deltas};
    }
    const oldest = this.history[0]?.version ?? Infinity;
    if (since + 1 < oldest) {
      const {version, objects} = this;
      return {kind: PropagationResponseKind.SNAPSHOT, version, objects};
    }
    const deltas = this.history.filter(({version}) => version > since);
    return {kind: PropagationResponseKind.DELTA, since, deltas};
  }

  private readHeadWhenDue(now: number): Array<PropagationAction<T>> {
    const isDue = now >= this.nextHeadReadMs && !this.isReadingHead;
    const needsHead = this.isHeadReader() || this.isStarting;
    if (!isDue || !needsHead) return [];
    this.isReadingHead = true;
    this.nextHeadReadMs =
      now + (this.isStarting ? STARTING_RETRY_MS : HEAD_READ_INTERVAL_MS);
    return [{kind: PropagationActionKind.READ_HEAD}];
  }

  /** While starting, pulls from peers that have not answered, one at a time. */
  private askPeersWhileStarting(now: number): Array<PropagationAction<T>> {
    if (!this.isStarting || this.pull || now < this.nextStartingPullMs) {
      return [];
    }
    const remaining = this.peers.filter((peer) => !this.responders.has(peer));
    const peer = remaining[takeInteger(this.parts.random, remaining.length)];
    if (peer === undefined) return [];
    this.nextStartingPullMs = now + STARTING_RETRY_MS / 10;
    return [this.startPull(peer, now)];
  }

  /**
   * Pulls from the peer with the newest version. If no peer has a newer one but
   * the table should, reads the table.
   */
  private pullMissing(now: number): Array<PropagationAction<T>> {
    for (const [peer, version] of this.newerVersionByPeer) {
      if (version <= this.version) this.newerVersionByPeer.delete(peer);
    }
    if (this.pull) return [];
    const peer = this.findNewestPeer();
    if (peer !== undefined) return [this.startPull(peer, now)];
    const isDue = now >= this.nextTableReadMs && !this.isReadingTable;
    if (this.tableVersion <= this.version || !isDue) return [];
    this.isReadingTable = true;
    this.tableVersionAtRead = this.tableVersion;
    this.nextTableReadMs =
      now + TABLE_READ_RETRY_MS * (1 + this.parts.random());
    return [{kind: PropagationActionKind.READ_TABLE, since: this.version}];
  }

  private findNewestPeer(): string | undefined {
    let newest: string | undefined;
    let highest = this.version;
    for (const [peer, version] of this.newerVersionByPeer) {
      if (version <= highest) continue;
      highest = version;
      newest = peer;
    }
    return newest;
  }

  /** Ends a pull. A version that it did not deliver is read from the table. */
  private finishPull(peer: string): void {
    const {pull} = this;
    if (pull?.peer !== peer) return;
    this.pull = undefined;
    this.tableVersion = Math.max(this.tableVersion, pull.expectedVersion);
    // A higher version that the peer has since advertised is kept, to be pulled
    // next.
    if (this.newerVersionByPeer.get(peer) === pull.expectedVersion)
      this.newerVersionByPeer.delete(peer);
  }

  private finishStep(
    actions: Array<PropagationAction<T>>,
  ): Array<PropagationAction<T>> {
    this.finishStart();
    return [...actions, ...this.pullMissing(this.parts.clock.readMs())];
  }

  private startPull(peer: string, now: number): PropagationAction<T> {
    const expectedVersion = this.newerVersionByPeer.get(peer) ?? 0;
    this.pull = {peer, expectedVersion, expiresMs: now + PULL_TIMEOUT_MS};
    return {kind: PropagationActionKind.PULL_PEER, peer, since: this.version};
  }

  private apply(response: PropagationResponse<T>): Array<PropagationAction<T>> {
    if (response.kind === PropagationResponseKind.NOT_READY) return [];
    if (response.kind === PropagationResponseKind.SNAPSHOT) {
      return this.applySnapshot(response.version, response.objects);
    }
    // Applying a delta after a gap would lose the changes in the gap.
    if (response.since > this.version || !isContiguous(response)) return [];
    const last = response.deltas.at(-1)?.version ?? response.since;
    if (last <= this.version) return this.refuseStale(last);
    const newer = response.deltas.filter(({version}) => version > this.version);
    const edits = newer.flatMap((delta) => delta.edits);
    this.recordHistory(newer);
    return this.setInForce(last, applyKeyedEdits(this.objects, edits));
  }

  private applySnapshot(
    version: number,
    objects: KeyedSet<T>,
  ): Array<PropagationAction<T>> {
    if (version <= this.version) return this.refuseStale(version);
    this.history = [];
    this.historyEditCount = 0;
    return this.setInForce(version, objects);
  }

  private refuseStale(offered: number): Array<PropagationAction<T>> {
    if (offered === this.version) return [];
    const inForce = this.version;
    return [{kind: PropagationActionKind.REFUSE_STALE, offered, inForce}];
  }

  private setInForce(
    version: number,
    objects: KeyedSet<T>,
  ): Array<PropagationAction<T>> {
    if (version <= this.version) {
      this.parts.report(
        Invariant.CONFIGURATION_NEVER_OLDER,
        `version ${version} would replace the newer or equal version ${this.version}`,
      );
      return [];
    }
    this.version = version;
    this.objects = objects;
    return [
      {kind: PropagationActionKind.ADOPT, version, objects},
      ...this.announce(),
    ];
  }

  /** Announces the version to a few peers, without waiting for the probes. */
  private announce(): Array<PropagationAction<T>> {
    if (this.isStarting || this.peers.length === 0) return [];
    const remaining = [...this.peers];
    const peers: string[] = [];
    while (
      peers.length < CONFIGURATION_ANNOUNCE_FANOUT &&
      remaining.length > 0
    ) {
      peers.push(
        ...remaining.splice(
          takeInteger(this.parts.random, remaining.length),
          1,
        ),
      );
    }
    return [
      {kind: PropagationActionKind.ANNOUNCE, peers, version: this.version},
    ];
  }

  private recordHistory(deltas: ReadonlyArray<VersionDelta<T>>): void {
    for (const delta of deltas) {
      this.history.push(delta);
      this.historyEditCount += delta.edits.length;
    }
    while (
      this.history.length > DELTA_HISTORY_VERSIONS ||
      this.historyEditCount > DELTA_HISTORY_EDITS
    ) {
      this.historyEditCount -= this.history.shift()?.edits.length ?? 0;
    }
  }

  private finishStart(): void {
    if (!this.isStarting) return;
    const needed = Math.min(STARTING_PEER_RESPONSES, this.peers.length);
    const hasEnoughResponses = needed > 0 && this.responders.size >= needed;
    // A single failed read does not mean that the table is down, and without
    // the table all peers may be behind.
    const isTableDown = this.failedHeadReads >= STARTING_FAILED_READS;
    const isConfirmed = this.hasReadHead || (isTableDown && hasEnoughResponses);
    const isBehind =
      this.version < this.tableVersion || this.findNewestPeer() !== undefined;
    if (!isConfirmed || isBehind) return;
    this.isStarting = false;
    this.responders.clear();
  }
}

function applyKeyedEdits<T>(
  set: KeyedSet<T>,
  edits: ReadonlyArray<KeyedEdit<T>>,
): KeyedSet<T> {
  const result = new Map(set);
  for (const {key, value} of edits) {
    if (value === null) result.delete(key);
    else result.set(key, value);
  }
  return result;
}

function isContiguous<T>(
  response: PropagationResponse<T> & {kind: PropagationResponseKind.DELTA},
): boolean {
  return response.deltas.every(
    ({version}, index) => version === response.since + 1 + index,
  );
}
