/**
 * Spread of the configuration to a node: decides which version to adopt, whom
 * to ask and when to read the table. Messages in, actions out.
 */
import type {Clock} from '../clock.js';
import type {InvariantReporter} from '../invariants.js';
import {Invariant} from '../invariants.js';
import type {Random} from '../random.js';
import {takeInteger} from '../random.js';
import {chooseByRendezvous} from '../rendezvous.js';
import {
  ANNOUNCE_FAN_OUT,
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
  SpreadAction,
  SpreadDelta,
  SpreadResponse,
} from './configSpreadTypes.js';
import {SpreadActionKind, SpreadResponseKind} from './configSpreadTypes.js';

/** Parts of a spread. */
export interface ConfigSpreadParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly report: InvariantReporter;
  readonly service: string;
  /** Incarnation of the own node. */
  readonly self: string;
}

interface PendingPull {
  readonly peer: string;
  /** Version that the peer named; 0 when it named none. */
  readonly expected: number;
  readonly expiresMs: number;
}

/** Decides the spread of the configuration to one node. */
export class ConfigSpread<T> {
  private version = 0;
  private objects: KeyedSet<T> = new Map();
  private history: Array<SpreadDelta<T>> = [];
  private historyEdits = 0;
  private peers: readonly string[] = [];
  /** Versions that peers named and the node does not have yet. */
  private readonly heard = new Map<string, number>();
  private pull: PendingPull | undefined;
  private isReader = true;
  private isReadingHead = false;
  private isReadingTable = false;
  private nextHeadReadMs = 0;
  private nextTableReadMs = 0;
  /** Highest version that the table is expected to have. */
  private tableVersion = 0;
  private tableVersionAtRead = 0;
  /** Reads of the head that failed in a row. */
  private failedReads = 0;
  private isStarting = true;
  private hasReadHead = false;
  /** Peers that answered while the node was starting. */
  private readonly responders = new Set<string>();
  private nextStartingPullMs = 0;

  constructor(private readonly parts: ConfigSpreadParts) {}

  /** The version in force. */
  readVersion(): number {
    return this.version;
  }

  /** Whether the node may serve: what it has in force is known to be recent. */
  isReady(): boolean {
    return !this.isStarting;
  }

  /** Whether the node reads the head for its service. */
  isHeadReader(): boolean {
    return this.isReader;
  }

  /** Takes note of the other members of the service. */
  setPeers(peers: readonly string[]): void {
    this.peers = peers.filter((peer) => peer !== this.parts.self);
    const {self, service} = this.parts;
    const reader = chooseByRendezvous(service, [...this.peers, self]);
    this.isReader = reader === self;
    const known = new Set(this.peers);
    for (const peer of this.heard.keys()) {
      if (!known.has(peer)) this.heard.delete(peer);
    }
  }

  /** To be called at least every 200 ms. */
  tick(): Array<SpreadAction<T>> {
    const now = this.parts.clock.readMs();
    if (this.pull && now >= this.pull.expiresMs) {
      this.closePull(this.pull.peer);
    }
    return [
      ...this.readHeadWhenDue(now),
      ...this.askPeersWhileStarting(now),
      ...this.pullMissing(now),
    ];
  }

  /** A control message of a peer named its version. */
  observeVersion(peer: string, version: number): Array<SpreadAction<T>> {
    if (peer === this.parts.self || version <= this.version) return [];
    this.heard.set(peer, version);
    return this.pullMissing(this.parts.clock.readMs());
  }

  /** The publisher named a version. */
  observeAnnouncement(version: number): Array<SpreadAction<T>> {
    this.tableVersion = Math.max(this.tableVersion, version);
    return this.pullMissing(this.parts.clock.readMs());
  }

  /** A read of the head ended; undefined when the table did not answer. */
  handleHead(version: number | undefined): Array<SpreadAction<T>> {
    this.isReadingHead = false;
    this.failedReads = version === undefined ? this.failedReads + 1 : 0;
    if (version !== undefined) {
      this.hasReadHead = true;
      this.tableVersion = Math.max(this.tableVersion, version);
    }
    return this.finishStep([]);
  }

  /** A peer answered; undefined when it did not. */
  handlePeerResponse(
    peer: string,
    response: SpreadResponse<T> | undefined,
  ): Array<SpreadAction<T>> {
    const isUsable = response && response.kind !== SpreadResponseKind.NOT_READY;
    const actions = isUsable ? this.apply(response) : [];
    this.closePull(peer);
    if (isUsable && this.isStarting) this.responders.add(peer);
    return this.finishStep(actions);
  }

  /** A read of the table ended; undefined when the table did not answer. */
  handleTable(answer: SpreadResponse<T> | undefined): Array<SpreadAction<T>> {
    this.isReadingTable = false;
    const actions = answer ? this.apply(answer) : [];
    // Nothing newer was heard since the read began: the table has no more.
    const hasHeardMore = this.tableVersion > this.tableVersionAtRead;
    if (answer && !hasHeardMore) {
      this.tableVersion = Math.min(this.tableVersion, this.version);
    }
    return this.finishStep(actions);
  }

  /** Answers a peer that has a version. */
  serve(since: number): SpreadResponse<T> {
    // A starting node may hold an old version and must not vouch for it.
    if (this.isStarting || this.version === 0) {
      return {kind: SpreadResponseKind.NOT_READY};
    }
    if (since >= this.version) {
      const deltas: Array<SpreadDelta<T>> = [];
      return {kind: SpreadResponseKind.DELTA, since: this.version, deltas};
    }
    const oldest = this.history[0]?.version ?? Infinity;
    if (since + 1 < oldest) {
      const {version, objects} = this;
      return {kind: SpreadResponseKind.SNAPSHOT, version, objects};
    }
    const deltas = this.history.filter(({version}) => version > since);
    return {kind: SpreadResponseKind.DELTA, since, deltas};
  }

  private readHeadWhenDue(now: number): Array<SpreadAction<T>> {
    const isDue = now >= this.nextHeadReadMs && !this.isReadingHead;
    const isWanted = this.isHeadReader() || this.isStarting;
    if (!isDue || !isWanted) return [];
    this.isReadingHead = true;
    this.nextHeadReadMs =
      now + (this.isStarting ? STARTING_RETRY_MS : HEAD_READ_INTERVAL_MS);
    return [{kind: SpreadActionKind.READ_HEAD}];
  }

  /** Asks peers that did not answer yet, one at a time. */
  private askPeersWhileStarting(now: number): Array<SpreadAction<T>> {
    if (!this.isStarting || this.pull || now < this.nextStartingPullMs) {
      return [];
    }
    const rest = this.peers.filter((peer) => !this.responders.has(peer));
    const peer = rest[takeInteger(this.parts.random, rest.length)];
    if (peer === undefined) return [];
    this.nextStartingPullMs = now + STARTING_RETRY_MS / 10;
    return [this.startPull(peer, now)];
  }

  /** Asks a peer that has a newer version, else the table. */
  private pullMissing(now: number): Array<SpreadAction<T>> {
    for (const [peer, version] of this.heard) {
      if (version <= this.version) this.heard.delete(peer);
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
    return [{kind: SpreadActionKind.READ_TABLE, since: this.version}];
  }

  private findNewestPeer(): string | undefined {
    let newest: string | undefined;
    let highest = this.version;
    for (const [peer, version] of this.heard) {
      if (version <= highest) continue;
      highest = version;
      newest = peer;
    }
    return newest;
  }

  /** Ends a pull; a version that it did not bring must be in the table. */
  private closePull(peer: string): void {
    const {pull} = this;
    if (pull?.peer !== peer) return;
    this.pull = undefined;
    this.tableVersion = Math.max(this.tableVersion, pull.expected);
    // A higher version that the peer named meanwhile is still to be pulled.
    if (this.heard.get(peer) === pull.expected) this.heard.delete(peer);
  }

  private finishStep(actions: Array<SpreadAction<T>>): Array<SpreadAction<T>> {
    this.finishStart();
    return [...actions, ...this.pullMissing(this.parts.clock.readMs())];
  }

  private startPull(peer: string, now: number): SpreadAction<T> {
    const expected = this.heard.get(peer) ?? 0;
    this.pull = {peer, expected, expiresMs: now + PULL_TIMEOUT_MS};
    return {kind: SpreadActionKind.PULL_PEER, peer, since: this.version};
  }

  private apply(response: SpreadResponse<T>): Array<SpreadAction<T>> {
    if (response.kind === SpreadResponseKind.NOT_READY) return [];
    if (response.kind === SpreadResponseKind.SNAPSHOT) {
      return this.applySnapshot(response.version, response.objects);
    }
    // A delta with a gap before it would lose the changes in the gap.
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
  ): Array<SpreadAction<T>> {
    if (version <= this.version) return this.refuseStale(version);
    this.history = [];
    this.historyEdits = 0;
    return this.setInForce(version, objects);
  }

  private refuseStale(offered: number): Array<SpreadAction<T>> {
    if (offered === this.version) return [];
    const inForce = this.version;
    return [{kind: SpreadActionKind.REFUSE_STALE, offered, inForce}];
  }

  private setInForce(
    version: number,
    objects: KeyedSet<T>,
  ): Array<SpreadAction<T>> {
    if (version <= this.version) {
      this.parts.report(
        Invariant.CONFIGURATION_NEVER_OLDER,
        `version ${version} after ${this.version}`,
      );
      return [];
    }
    this.version = version;
    this.objects = objects;
    return [
      {kind: SpreadActionKind.ADOPT, version, objects},
      ...this.announce(),
    ];
  }

  /** Tells a few peers, so that the spread takes no probe periods. */
  private announce(): Array<SpreadAction<T>> {
    if (this.isStarting || this.peers.length === 0) return [];
    const rest = [...this.peers];
    const peers: string[] = [];
    while (peers.length < ANNOUNCE_FAN_OUT && rest.length > 0) {
      peers.push(
        ...rest.splice(takeInteger(this.parts.random, rest.length), 1),
      );
    }
    return [{kind: SpreadActionKind.ANNOUNCE, peers, version: this.version}];
  }

  private recordHistory(deltas: ReadonlyArray<SpreadDelta<T>>): void {
    for (const delta of deltas) {
      this.history.push(delta);
      this.historyEdits += delta.edits.length;
    }
    while (
      this.history.length > DELTA_HISTORY_VERSIONS ||
      this.historyEdits > DELTA_HISTORY_EDITS
    ) {
      this.historyEdits -= this.history.shift()?.edits.length ?? 0;
    }
  }

  private finishStart(): void {
    if (!this.isStarting) return;
    const needed = Math.min(STARTING_PEER_RESPONSES, this.peers.length);
    const areEnough = needed > 0 && this.responders.size >= needed;
    // One failed read does not mean that the table is down: peers alone may
    // all be behind.
    const isTableDown = this.failedReads >= STARTING_FAILED_READS;
    const isConfirmed = this.hasReadHead || (isTableDown && areEnough);
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
  response: SpreadResponse<T> & {kind: SpreadResponseKind.DELTA},
): boolean {
  return response.deltas.every(
    ({version}, index) => version === response.since + 1 + index,
  );
}
