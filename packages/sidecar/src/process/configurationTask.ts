/** Keeps the active configuration; it never reverts to an older version. */
import type {Clock} from 'sycamoreyoke/clock';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Frame} from '../connection/frame.js';
import {FrameKind} from '../connection/frame.js';
import {PEER_VERSION_WAIT_MS} from '../constants.js';
import type {
  ConfigurationDecoder,
  StoredRow,
  VersionedConfiguration,
} from '../types.js';

/** Where a configuration version came from. */
export enum ConfigurationSource {
  STORE = 'store',
  PEER = 'peer',
}

/** A link to a node that can be asked for its configuration. */
export interface ConfigurationPeer {
  /** Returns whether the frame was sent. */
  write(frame: Frame): boolean;
}

/** Dependencies of the task. */
export interface ConfigurationTaskParts {
  readonly clock: Clock;
  readonly decode: ConfigurationDecoder;
  readonly record: EventRecorder;
  readonly handleChange: () => void;
  /** Called when a peer has a version that the store has not delivered yet. */
  readonly handleStoreDelay: () => void;
  /**
   * Whether the node takes no requests yet. Then a newer version of a peer is
   * fetched at once, since the store may have an older copy only.
   */
  readonly isStarting: () => boolean;
}

/** Adopts configuration versions from the store and from peers. */
export class ConfigurationTask {
  private activeConfiguration: VersionedConfiguration | undefined;
  private peerTimer: NodeJS.Timeout | undefined;
  /** When a peer was first known to have a newer version, clock ms. */
  private laggingSinceMs: number | undefined;
  /**
   * Versions of the peers that are ahead of this node and were not asked yet,
   * in the order of their last announcement.
   */
  private readonly newerVersions = new Map<ConfigurationPeer, number>();

  constructor(private readonly parts: ConfigurationTaskParts) {}

  read(): VersionedConfiguration | undefined {
    return this.activeConfiguration;
  }

  readVersion(): number {
    return this.activeConfiguration?.table.version ?? 0;
  }

  /** Adopts the versions in rows of the store. */
  handleRows(rows: readonly StoredRow[]): void {
    for (const {value} of rows) {
      if (value) this.adopt(value, ConfigurationSource.STORE);
    }
  }

  /** Adopts a version if it is newer than the active one. */
  adopt(content: Uint8Array, source: ConfigurationSource): void {
    let table;
    try {
      table = this.parts.decode(content);
    } catch (error) {
      const {message} = error as Error;
      this.parts.record(EventCode.MESSAGE_MALFORMED, {source, message});
      return;
    }
    const offered = table.version;
    const version = this.readVersion();
    if (offered <= version) {
      if (offered < version) {
        const details = {version, offered};
        this.parts.record(EventCode.CONFIGURATION_STALE_REFUSED, details);
      }
      return;
    }
    this.activeConfiguration = {table, content};
    const routes = table.routes.length;
    this.parts.record(EventCode.CONFIGURATION_ADOPTED, {
      version: offered,
      source,
      routes,
      behindMs: this.measureLag(),
    });
    for (const {place, message} of table.findings) {
      const details = {version: offered, place, message};
      this.parts.record(EventCode.CONFIGURATION_ODD, details);
    }
    for (const [peer, peerVersion] of this.newerVersions) {
      if (peerVersion <= offered) this.newerVersions.delete(peer);
    }
    if (this.newerVersions.size === 0) this.laggingSinceMs = undefined;
    this.parts.handleChange();
  }

  /**
   * Handles the version that a peer has announced. The store usually delivers a
   * newer version within PEER_VERSION_WAIT_MS. If not, the connection to the
   * store may be dead, and the peers are asked one after another.
   */
  handlePeerVersion(version: number, peer: ConfigurationPeer): void {
    if (version <= this.readVersion()) return;
    this.laggingSinceMs ??= this.parts.clock.readMs();
    this.newerVersions.delete(peer);
    this.newerVersions.set(peer, version);
    this.scheduleRequest(this.parts.isStarting() ? 0 : PEER_VERSION_WAIT_MS);
  }

  /** Whether a peer has a version that this node does not have yet. */
  isBehindPeers(): boolean {
    return this.laggingSinceMs !== undefined;
  }

  stop(): void {
    clearTimeout(this.peerTimer);
  }

  private scheduleRequest(delayMs: number): void {
    this.peerTimer ??= setTimeout(() => {
      this.peerTimer = undefined;
      this.askPeer();
    }, delayMs);
  }

  /** Asks one peer, and schedules the next one in case its link is silent. */
  private askPeer(): void {
    const newest = findNewestPeer(this.newerVersions);
    if (!newest) return;
    const [peer, newestVersion] = newest;
    this.newerVersions.delete(peer);
    const isSent = peer.write({kind: FrameKind.GET_CONFIGURATION});
    if (isSent) {
      this.parts.record(EventCode.CONFIGURATION_ASKED, {
        version: this.readVersion(),
        wanted: newestVersion,
        behindMs: this.measureLag(),
      });
      this.parts.handleStoreDelay();
    }
    this.scheduleRequest(isSent ? PEER_VERSION_WAIT_MS : 0);
  }

  private measureLag(): number {
    const nowMs = this.parts.clock.readMs();
    return Math.round(nowMs - (this.laggingSinceMs ?? nowMs));
  }
}

/**
 * Returns the peer with the newest version; if several have it, the one that
 * announced it last.
 */
function findNewestPeer(
  versions: ReadonlyMap<ConfigurationPeer, number>,
): readonly [ConfigurationPeer, number] | undefined {
  let newest: readonly [ConfigurationPeer, number] | undefined;
  for (const entry of versions) {
    if (!newest || entry[1] >= newest[1]) newest = entry;
  }
  return newest;
}
