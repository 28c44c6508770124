/** Starts and stops a node. */
import type {Server} from 'node:http';
import type {Container} from 'inversify';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Member} from 'sycamoreyoke/process/types';
import {MemberState} from 'sycamoreyoke/process/types';
import {openAdminListener} from './process/adminServer.js';
import {ClaimTask} from './process/claimTask.js';
import {LifecycleState} from './process/lifecycle.js';
import {closeListener, getPort, openCallListener} from './process/listeners.js';
import {MembershipTask} from './process/membershipTask.js';
import type {NodeParts} from './process/nodeParts.js';
import type {NodeSettings} from './process/settings.js';
import {UpstreamMonitor} from './process/upstreamMonitor.js';
import {UpstreamTask} from './process/upstreamTask.js';
import {handleCall} from './request/callHandler.js';
import {DIRECTORY_PATH, handleDirectory} from './request/directoryHandler.js';
import {handleEgress} from './request/egressHandler.js';
import {CallOrigin} from './request/types.js';
import {PARTS, buildContainer, buildExecutor} from './wiring.js';

/** A running node. */
export interface RunningNode {
  readonly self: Member;
  readonly localPort: number;
  /** Leaves gracefully; resolves once nothing is in flight. */
  stop(): Promise<void>;
}

interface Listeners {
  readonly publicCalls: Server;
  readonly peerCalls: Server;
  readonly localCalls: Server;
  readonly admin: Server;
}

/** Opens the listeners, announces the node and serves. */
export async function startNode(settings: NodeSettings): Promise<RunningNode> {
  const container = buildContainer(settings);
  const {record} = container.get(PARTS.events);
  const gate = container.get(PARTS.gate);
  const configuration = container.get(PARTS.configuration);
  const lifecycle = container.get(PARTS.lifecycle);
  const {parts, claimTask} = buildParts(container);
  const listeners = await openListeners(container, parts);
  const self = describeSelf(container, listeners);
  record(EventCode.NODE_STARTED, {
    service: self.service,
    incarnation: self.incarnation,
  });
  gate.start();
  await configuration.start();
  const membership = new MembershipTask(
    container.get(PARTS.table),
    container.get(PARTS.router),
    self,
  );
  await membership.start();
  lifecycle.set(LifecycleState.ACTIVE);
  record(EventCode.NODE_READY, {version: configuration.get().version});
  const stop = async () => {
    lifecycle.set(LifecycleState.LEAVING);
    record(EventCode.NODE_LEAVING, {cause: 'stop'});
    await Promise.all(Object.values(listeners).map(closeListener));
    membership.stop();
    configuration.stop();
    claimTask.stop();
    gate.stop();
    await parts.connections.close();
    record(EventCode.NODE_STOPPED, {waitedMs: 0});
  };
  return {self, localPort: getPort(listeners.localCalls), stop};
}

function buildParts(container: Container) {
  const settings = container.get(PARTS.settings);
  const {record} = container.get(PARTS.events);
  const crashes = container.get(PARTS.crashes);
  const lostExecutions = container.get(PARTS.lostExecutions);
  const running = container.get(PARTS.running);
  const incarnation = container.get(PARTS.incarnation);
  const claimTask = new ClaimTask(container.get(PARTS.combiner));
  const upstreamTask = new UpstreamTask({
    incarnation,
    crashes,
    lost: lostExecutions,
    running,
    record,
    computeSends: () => 0,
    announceUp: () => undefined,
  });
  const parts: NodeParts = {
    service: settings.service,
    incarnation,
    upstreamOrigin: new URL(settings.upstream).origin,
    clock: container.get(PARTS.clock),
    hybridClock: container.get(PARTS.hybridClock),
    random: container.get(PARTS.random),
    record,
    report: container.get(PARTS.report),
    metrics: container.get(PARTS.metrics),
    lifecycle: container.get(PARTS.lifecycle),
    configuration: container.get(PARTS.configuration),
    tokenDigests: container.get(PARTS.tokenDigests),
    entryLedger: container.get(PARTS.entryLedger),
    gate: container.get(PARTS.gate),
    executor: buildExecutor(
      container,
      (write) => claimTask.submit(write),
      () => Promise.resolve(undefined),
      settings.controlPort,
    ),
    running,
    crashes,
    lostExecutions,
    monitor: new UpstreamMonitor(new URL(settings.upstream), (isUp) =>
      upstreamTask.handleChange(isUp),
    ),
    connections: container.get(PARTS.connections),
    router: container.get(PARTS.router),
    levels: container.get(PARTS.levels),
    retryBudgets: container.get(PARTS.retryBudgets),
    subscribe: () => undefined,
    reportUnreachable: () => undefined,
    reportLeaving: () => undefined,
  };
  return {parts, claimTask};
}

async function openListeners(
  container: Container,
  parts: NodeParts,
): Promise<Listeners> {
  const settings = container.get(PARTS.settings);
  const {address} = settings;
  const metrics = container.get(PARTS.metrics);
  const [publicCalls, peerCalls, localCalls, admin] = await Promise.all([
    openCallListener(
      async (request, exchange) => {
        if (request.url === DIRECTORY_PATH) {
          handleDirectory(parts, request, exchange, false);
        } else {
          await handleCall(parts, CallOrigin.PUBLIC, request, exchange);
        }
      },
      settings.publicPort,
      address,
    ),
    openCallListener(
      (request, exchange) =>
        handleCall(parts, CallOrigin.PEER, request, exchange),
      settings.peerPort,
      address,
    ),
    openCallListener(
      async (request, exchange) => {
        if (request.url === DIRECTORY_PATH) {
          handleDirectory(parts, request, exchange, true);
        } else {
          await handleEgress(parts, request, exchange);
        }
      },
      settings.localPort,
      '127.0.0.1',
    ),
    openAdminListener(
      {
        metrics,
        listEvents: () => container.get(PARTS.events).list(),
        isReady: () => parts.lifecycle.get() === LifecycleState.ACTIVE,
        describe: () => ({gate: parts.gate.read()}),
      },
      settings.adminPort,
      address,
    ),
  ]);
  return {publicCalls, peerCalls, localCalls, admin};
}

function describeSelf(container: Container, listeners: Listeners): Member {
  const settings = container.get(PARTS.settings);
  return {
    service: settings.service,
    incarnation: container.get(PARTS.incarnation),
    counter: 0,
    address: settings.address,
    publicPort: getPort(listeners.publicCalls),
    peerPort: getPort(listeners.peerCalls),
    controlPort: settings.controlPort,
    adminPort: getPort(listeners.admin),
    dataCentre: settings.dataCentre,
    region: settings.region,
    state: MemberState.ACTIVE,
    weight: settings.slots,
    epoch: 0,
  };
}
