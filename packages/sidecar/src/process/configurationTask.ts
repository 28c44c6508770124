/** Owns the configuration in force; it never goes back to an older version. */
import type {Clock} from 'sycamoreyoke/clock';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Frame} from '../connection/peerFrames.js';
import {FrameKind} from '../connection/peerFrames.js';
import {PEER_VERSION_WAIT_MS} from '../constants.js';
import type {
  ConfigurationDecoder,
  StoredRow,
  VersionedConfiguration,
} from '../types.js';

/** Where a version came from. */
export enum ConfigurationSource {
  STORE = 'store',
  PEER = 'peer',
}

/** A link to a node that may be asked for its configuration. */
export interface ConfigurationPeer {
  /** Says whether the frame was sent. */
  write(frame: Frame): boolean;
}

/** What the task is built from. */
export interface ConfigurationTaskParts {
  readonly clock: Clock;
  readonly decode: ConfigurationDecoder;
  readonly record: EventRecorder;
  readonly handleChange: () => void;
  /** Called when the store has not shown a version that a peer has. */
  readonly handleStoreLate: () => void;
}

/** Adopts versions from the store and from peers. */
export class ConfigurationTask {
  private current: VersionedConfiguration | undefined;
  private peerTimer: NodeJS.Timeout | undefined;
  /** Since when a peer has had a newer version. */
  private behindSinceMs: number | undefined;
  /** Peers with newer versions that were not asked yet, the latest last. */
  private readonly ahead = new Map<ConfigurationPeer, number>();

  constructor(private readonly parts: ConfigurationTaskParts) {}

  read(): VersionedConfiguration | undefined {
    return this.current;
  }

  readVersion(): number {
    return this.current?.table.version ?? 0;
  }

  /** Takes rows of the store in. */
  handleRows(rows: readonly StoredRow[]): void {
    for (const {value} of rows) {
      if (value) this.adopt(value, ConfigurationSource.STORE);
    }
  }

  /** Adopts a version unless it is older than the one in force. */
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
    this.current = {table, content};
    const routes = table.routes.length;
    this.parts.record(EventCode.CONFIGURATION_ADOPTED, {
      version: offered,
      source,
      routes,
      behindMs: this.measureBehind(),
    });
    for (const [peer, ahead] of this.ahead) {
      if (ahead <= offered) this.ahead.delete(peer);
    }
    if (this.ahead.size === 0) this.behindSinceMs = undefined;
    this.parts.handleChange();
  }

  /**
   * A peer has a newer version. The store usually shows it within the wait; if
   * not, the connection to it may be silent, and the peers are asked in turn.
   */
  handlePeerVersion(version: number, peer: ConfigurationPeer): void {
    if (version <= this.readVersion()) return;
    this.behindSinceMs ??= this.parts.clock.readMs();
    this.ahead.delete(peer);
    this.ahead.set(peer, version);
    this.scheduleQuestion(PEER_VERSION_WAIT_MS);
  }

  stop(): void {
    clearTimeout(this.peerTimer);
  }

  private scheduleQuestion(delayMs: number): void {
    this.peerTimer ??= setTimeout(() => {
      this.peerTimer = undefined;
      this.askPeer();
    }, delayMs);
  }

  /** Asks one peer; its link may be silent, so the next one follows. */
  private askPeer(): void {
    const asked = findNewest(this.ahead);
    if (!asked) return;
    const [peer, wanted] = asked;
    this.ahead.delete(peer);
    const isSent = peer.write({kind: FrameKind.GET_CONFIGURATION});
    if (isSent) {
      this.parts.record(EventCode.CONFIGURATION_ASKED, {
        version: this.readVersion(),
        wanted,
        behindMs: this.measureBehind(),
      });
      this.parts.handleStoreLate();
    }
    this.scheduleQuestion(isSent ? PEER_VERSION_WAIT_MS : 0);
  }

  private measureBehind(): number {
    const nowMs = this.parts.clock.readMs();
    return Math.round(nowMs - (this.behindSinceMs ?? nowMs));
  }
}

/** The peer with the newest version; of several, the one that told it last. */
function findNewest(
  ahead: ReadonlyMap<ConfigurationPeer, number>,
): readonly [ConfigurationPeer, number] | undefined {
  let newest: readonly [ConfigurationPeer, number] | undefined;
  for (const entry of ahead) {
    if (!newest || entry[1] >= newest[1]) newest = entry;
  }
  return newest;
}
