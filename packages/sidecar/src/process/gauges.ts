/** Gauges of a sidecar, read when the metrics are rendered. */
import type {Metrics} from 'sycamoreyoke/process/metrics';
import type {ClientListener} from '../connection/clientListener.js';
import type {ConfigurationTask} from './configurationTask.js';
import type {DecisionLog} from './decisionLog.js';
import type {HeldBytes} from './heldBytes.js';
import type {PeerTask} from './peerTask.js';
import type {UpstreamTask} from './upstreamTask.js';

/** The parts whose state the gauges show. */
export interface GaugeSources {
  readonly upstream: UpstreamTask;
  readonly peers: PeerTask;
  readonly configuration: ConfigurationTask;
  readonly log: DecisionLog;
  readonly clients: ClientListener;
  readonly held: HeldBytes;
}

/** Registers the gauges. */
export function watchGauges(metrics: Metrics, sources: GaugeSources): void {
  const {upstream, peers, configuration, log, clients, held} = sources;
  metrics.watch('gate_running', () => upstream.describeLoad().running);
  metrics.watch('gate_waiting', () => upstream.describeLoad().waiting);
  metrics.watch('gate_limit', () => upstream.describeLoad().limit);
  metrics.watch('links_open', () => peers.countOpen());
  metrics.watch('configuration_version', () => configuration.readVersion());
  metrics.watch('log_lines_dropped', () => log.countDropped());
  metrics.watch('client_connections', () => clients.countConnections());
  metrics.watch('held_bytes', () => held.countBytes());
  metrics.watch('bodies_waiting', () => held.countWaiting());
}
