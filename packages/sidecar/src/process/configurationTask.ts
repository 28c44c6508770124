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
    this.behindSinceMs = undefined;
    this.parts.handleChange();
  }

  /**
   * A peer has a newer version. The store usually shows it within the wait; if
   * not, the connection to it may be silent, and the peer is asked.
   */
  handlePeerVersion(version: number, send: (frame: Frame) => void): void {
    if (version <= this.readVersion()) return;
    this.behindSinceMs ??= this.parts.clock.readMs();
    if (this.peerTimer) return;
    this.peerTimer = setTimeout(() => {
      this.peerTimer = undefined;
      if (version <= this.readVersion()) return;
      this.parts.record(EventCode.CONFIGURATION_ASKED, {
        version: this.readVersion(),
        wanted: version,
        behindMs: this.measureBehind(),
      });
      send({kind: FrameKind.GET_CONFIGURATION});
      this.parts.handleStoreLate();
    }, PEER_VERSION_WAIT_MS);
  }

  private measureBehind(): number {
    const nowMs = this.parts.clock.readMs();
    return Math.round(nowMs - (this.behindSinceMs ?? nowMs));
  }

  stop(): void {
    clearTimeout(this.peerTimer);
  }
}
