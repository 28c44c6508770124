/** Process metrics and the status page of a node. */
import type {Container} from 'inversify';
import {Invariant} from 'sycamoreyoke/invariants';
import type {BuiltNode} from '../buildNode.js';
import {PARTS} from '../wiring.js';
import {LifecycleState} from './lifecycle.js';

const US_PER_SECOND = 1_000_000;

/** Registers the metrics that are read from the running process. */
export function watchProcessMetrics(
  container: Container,
  node: BuiltNode,
): void {
  const metrics = container.get(PARTS.metrics);
  const bytes = container.get(PARTS.controlBytes);
  const gate = container.get(PARTS.gate);
  metrics.watch('sycamoreyoke_cpu_seconds_total', () => {
    const {user, system} = process.cpuUsage();
    return (user + system) / US_PER_SECOND;
  });
  metrics.watch('sycamoreyoke_resident_bytes', () => process.memoryUsage.rss());
  metrics.watch('sycamoreyoke_control_received_bytes_total', () =>
    bytes.readReceived(),
  );
  metrics.watch('sycamoreyoke_control_sent_bytes_total', () =>
    bytes.readSent(),
  );
  metrics.watch('sycamoreyoke_gate_limit', () => gate.read().limit);
  metrics.watch('sycamoreyoke_gate_running', () => gate.read().running);
  metrics.watch('sycamoreyoke_gate_waiting', () => gate.read().waiting);
  metrics.watch(
    'sycamoreyoke_configuration_version',
    () => node.configuration.get().version,
  );
  metrics.watch('sycamoreyoke_records', () =>
    container.get(PARTS.records).countRecords(),
  );
}

/** Creates the content of the status page of the admin listener. */
export function describeNode(container: Container, node: BuiltNode) {
  const metrics = container.get(PARTS.metrics);
  const lifecycle = container.get(PARTS.lifecycle).get();
  const invariantViolations = Object.values(Invariant).reduce(
    (sum, invariant) =>
      sum +
      metrics.readCount('sycamoreyoke_invariant_violations_total', {
        invariant,
      }),
    0,
  );
  return {
    self: node.membership.readSelf(),
    lifecycle,
    isReady:
      lifecycle === LifecycleState.ACTIVE && node.configuration.isReady(),
    configurationVersion: node.configuration.get().version,
    gate: container.get(PARTS.gate).read(),
    members: node.membership.list(),
    invariantViolations,
  };
}
