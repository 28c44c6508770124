import type {Clock} from 'sycamoreyoke/clock';
import type {InvariantReporter} from 'sycamoreyoke/invariants';
import type {ObjectStore, TableService} from 'sycamoreyoke/platform';
import {ConfigPropagation} from 'sycamoreyoke/process/configPropagation';
import type {
  PropagationAction,
  PropagationResponse,
} from 'sycamoreyoke/process/configPropagationTypes';
import {PropagationActionKind} from 'sycamoreyoke/process/configPropagationTypes';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Random} from 'sycamoreyoke/random';
import type {CompiledConfiguration} from 'sycamoreyoke/version/compile';
import {compileConfiguration} from 'sycamoreyoke/version/compile';
import {readHead} from 'sycamoreyoke/version/tableSet';
import type {ConfigurationObject} from 'sycamoreyoke/version/types';
import {readUpdate} from 'sycamoreyoke/version/update';

const TICK_MS = 200;
/** Longest time that start() waits for a recent configuration. */
const START_WAIT_MS = 5_000;

/** Response to a configuration pull, received from or sent to a peer. */
export type ConfigurationResponse = PropagationResponse<ConfigurationObject>;

/** Other members of the same service, reached over control connections. */
export interface ConfigurationPeers {
  /** Incarnations of the active members, without this node. */
  list(): readonly string[];
  /** Pulls changes since a version; rejects when the peer does not answer. */
  pull(peer: string, sinceVersion: number): Promise<ConfigurationResponse>;
  /** Announces the current version to a peer; best effort, not retried. */
  announce(peer: string, version: number): void;
}

/** Implementation of ConfigurationPeers without any peer. */
export const NO_PEERS: ConfigurationPeers = {
  list: () => [],
  pull: () => Promise.reject(new Error('no peers are known')),
  announce: () => undefined,
};

/** Called after a new version has become the current one. */
export type AdoptionListener = (configuration: CompiledConfiguration) => void;

/** Dependencies of a ConfigurationTask. */
export interface ConfigurationTaskParts {
  readonly table: TableService;
  readonly objectStore: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly report: InvariantReporter;
  readonly record: EventRecorder;
  readonly peers: ConfigurationPeers;
  readonly service: string;
  /** Incarnation of this node. */
  readonly self: string;
}

/**
 * Holds the current configuration and updates it from peers and the table; runs
 * the actions of the library's ConfigPropagation.
 */
export class ConfigurationTask {
  private readonly propagation: ConfigPropagation<ConfigurationObject>;
  private readonly listeners: AdoptionListener[] = [];
  private readonly readyWaiters: Array<() => void> = [];
  private current = compileConfiguration({version: 0, objects: []});
  private timer?: NodeJS.Timeout;

  constructor(private readonly parts: ConfigurationTaskParts) {
    this.propagation = new ConfigPropagation(parts);
  }

  /**
   * Starts the periodic updates. Resolves when the configuration is known to be
   * recent, or after START_WAIT_MS.
   */
  async start(): Promise<void> {
    this.timer = setInterval(() => this.tick(), TICK_MS);
    this.tick();
    if (this.isReady()) return;
    await new Promise<void>((resolve) => {
      const timeout = setTimeout(resolve, START_WAIT_MS);
      this.readyWaiters.push(() => {
        clearTimeout(timeout);
        resolve();
      });
    });
  }

  stop(): void {
    clearInterval(this.timer);
    for (const resume of this.readyWaiters.splice(0)) resume();
  }

  /** The current configuration. */
  get(): CompiledConfiguration {
    return this.current;
  }

  /** Whether the current configuration is known to be recent. */
  isReady(): boolean {
    return this.propagation.isReady();
  }

  /** Adds a listener for new current versions. */
  addListener(listener: AdoptionListener): void {
    this.listeners.push(listener);
  }

  /** Handles the version in a control message of a peer of the same service. */
  observeVersion(peer: string, version: number): void {
    this.apply(this.propagation.observeVersion(peer, version));
  }

  /** Handles the announcement of a version by its publisher. */
  observeAnnouncement(version: number): void {
    this.apply(this.propagation.observeAnnouncement(version));
  }

  /** Creates the response to a configuration pull of a peer. */
  serve(sinceVersion: number): ConfigurationResponse {
    return this.propagation.serve(sinceVersion);
  }

  private tick(): void {
    this.propagation.setPeers(this.parts.peers.list());
    this.apply(this.propagation.tick());
  }

  private apply(
    actions: ReadonlyArray<PropagationAction<ConfigurationObject>>,
  ): void {
    for (const action of actions) this.applyAction(action);
    if (!this.isReady()) return;
    for (const resume of this.readyWaiters.splice(0)) resume();
  }

  private applyAction(action: PropagationAction<ConfigurationObject>): void {
    switch (action.kind) {
      case PropagationActionKind.ADOPT:
        this.update(action.version, [...action.objects.values()]);
        return;
      case PropagationActionKind.PULL_PEER:
        void this.pull(action.peer, action.since);
        return;
      case PropagationActionKind.READ_HEAD:
        void this.readHead();
        return;
      case PropagationActionKind.READ_TABLE:
        void this.readTable(action.since);
        return;
      case PropagationActionKind.ANNOUNCE:
        for (const peer of action.peers) {
          this.parts.peers.announce(peer, action.version);
        }
        return;
      case PropagationActionKind.REFUSE_STALE:
        this.parts.record(EventCode.CONFIGURATION_STALE_REFUSED, {
          offered: action.offered,
          inForce: action.inForce,
        });
        return;
    }
  }

  private update(version: number, objects: ConfigurationObject[]): void {
    this.current = compileConfiguration({version, objects});
    this.parts.record(EventCode.CONFIGURATION_ADOPTED, {version});
    for (const listener of this.listeners) listener(this.current);
  }

  private async pull(peer: string, since: number): Promise<void> {
    const response = await this.parts.peers
      .pull(peer, since)
      .catch(() => undefined);
    this.apply(this.propagation.handlePeerResponse(peer, response));
  }

  private async readHead(): Promise<void> {
    const head = await readHead(this.parts.table).catch(() => undefined);
    this.apply(this.propagation.handleHead(head?.version));
  }

  private async readTable(since: number): Promise<void> {
    const {table, objectStore} = this.parts;
    const update = await readUpdate(table, objectStore, since).catch(
      () => undefined,
    );
    this.apply(this.propagation.handleTable(update));
  }
}
