/** Starts and stops a node. */
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Container} from 'inversify';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Member} from 'sycamoreyoke/process/types';
import {MemberState} from 'sycamoreyoke/process/types';
import type {BuiltNode} from './buildNode.js';
import {buildNode} from './buildNode.js';
import type {ControlListener} from './connection/controlListener.js';
import {
  buildDeferredHandlers,
  openControlListener,
} from './connection/controlListener.js';
import {openAdminListener} from './process/adminServer.js';
import {LifecycleState} from './process/lifecycle.js';
import type {RequestHandler} from './process/listeners.js';
import {closeListener, getPort, openCallListener} from './process/listeners.js';
import {describeNode, watchProcessMetrics} from './process/nodeStatus.js';
import type {NodeSettings} from './process/settings.js';
import {runWarmUp} from './process/warmUpRun.js';
import {handleCall} from './request/callHandler.js';
import {DIRECTORY_PATH, handleDirectory} from './request/directoryHandler.js';
import {handleDrain, isDrainRequest} from './request/drainHandler.js';
import {handleEgress} from './request/egressHandler.js';
import {CallOrigin} from './request/types.js';
import {PARTS, buildContainer} from './wiring.js';

/** A running node. */
export interface RunningNode {
  readonly self: Member;
  readonly localPort: number;
  /** Resolves when the node has stopped, by stop() or by its upstream. */
  readonly closed: Promise<void>;
  /** Leaves the service and resolves once the node has stopped. */
  stop(): Promise<void>;
}

interface Listeners {
  readonly publicCalls: Server;
  readonly peerCalls: Server;
  readonly localCalls: Server;
  readonly admin: Server;
  readonly control: ControlListener;
}

/** Holds the node once it is built, which happens after the listeners open. */
interface NodeHolder {
  node?: BuiltNode;
}

/**
 * Starts a node: opens its listeners, joins the service, warms up and announces
 * that it accepts calls. Rejects when a port cannot be opened.
 */
export async function startNode(settings: NodeSettings): Promise<RunningNode> {
  const container = buildContainer(settings);
  const {record} = container.get(PARTS.events);
  const lifecycle = container.get(PARTS.lifecycle);
  const nodeHolder: NodeHolder = {};
  const listeners = await openListeners(container, nodeHolder);
  const self = describeSelf(container, listeners);
  const node = buildNode(container, self);
  nodeHolder.node = node;
  const {service, incarnation} = self;
  record(EventCode.NODE_STARTED, {service, incarnation});
  watchProcessMetrics(container, node);
  await node.membership.start();
  await node.configuration.start();
  await runWarmUp(node, settings.warmUpCalls);
  node.pauseTask.start();
  node.membership.announceActive();
  lifecycle.set(LifecycleState.ACTIVE);
  record(EventCode.NODE_READY, {version: node.configuration.get().version});
  const closed = node.drain
    .waitClosed()
    .then(() => closeNode(container, node, listeners));
  return {
    self,
    localPort: getPort(listeners.localCalls),
    closed,
    stop: () => {
      node.drain.stopNode();
      return closed;
    },
  };
}

/**
 * Closes the node without aborting requests in flight: each task stops after
 * those that depend on it.
 */
async function closeNode(
  container: Container,
  node: BuiltNode,
  listeners: Listeners,
): Promise<void> {
  const clock = container.get(PARTS.clock);
  const {record} = container.get(PARTS.events);
  const startMs = clock.readMs();
  const {publicCalls, peerCalls, localCalls, admin, control} = listeners;
  await Promise.all(
    [publicCalls, peerCalls, localCalls].map((server) => closeListener(server)),
  );
  node.pauseTask.stop();
  node.membership.stop();
  node.configuration.stop();
  node.claims.stop();
  node.drain.stop();
  node.parts.upstreamMonitor.stop();
  container.get(PARTS.gate).stop();
  await node.parts.callConnections.close();
  container.get(PARTS.controlClients).close();
  await control.close();
  record(EventCode.NODE_STOPPED, {waitedMs: clock.readMs() - startMs});
  await closeListener(admin);
}

async function openListeners(
  container: Container,
  nodeHolder: NodeHolder,
): Promise<Listeners> {
  const settings = container.get(PARTS.settings);
  const {record} = container.get(PARTS.events);
  const {address} = settings;
  const createDeferredHandler =
    (create: (node: BuiltNode) => RequestHandler): RequestHandler =>
    async (request, response) => {
      if (nodeHolder.node) await create(nodeHolder.node)(request, response);
      else response.writeHead(503).end();
    };
  const [publicCalls, peerCalls, localCalls, admin] = await Promise.all([
    openCallListener(
      createDeferredHandler(createPublicHandler),
      settings.publicPort,
      address,
    ),
    openCallListener(
      createDeferredHandler(
        ({parts}) =>
          (request, response) =>
            handleCall(parts, CallOrigin.PEER, request, response),
      ),
      settings.peerPort,
      address,
    ),
    openCallListener(
      createDeferredHandler(createLocalHandler),
      settings.localPort,
      '127.0.0.1',
    ),
    openAdminListener(
      {
        metrics: container.get(PARTS.metrics),
        listEvents: () => container.get(PARTS.events).list(),
        isReady: () =>
          container.get(PARTS.lifecycle).get() === LifecycleState.ACTIVE &&
          (nodeHolder.node?.configuration.isReady() ?? false),
        describe: () =>
          nodeHolder.node && describeNode(container, nodeHolder.node),
      },
      settings.adminPort,
      address,
    ),
  ]);
  const control = await openControlListener(
    buildDeferredHandlers(nodeHolder),
    settings.controlPort,
    address,
    container.get(PARTS.controlBytes),
    (message) => record(EventCode.MESSAGE_MALFORMED, {message}),
  );
  return {publicCalls, peerCalls, localCalls, admin, control};
}

function createPublicHandler({parts}: BuiltNode): RequestHandler {
  return async (request, response) => {
    if (request.url === DIRECTORY_PATH) {
      await handleDirectory(parts, request, response, false);
    } else {
      await handleCall(parts, CallOrigin.PUBLIC, request, response);
    }
  };
}

function createLocalHandler({parts}: BuiltNode): RequestHandler {
  return async (request, response) => {
    if (request.url === DIRECTORY_PATH) {
      await handleDirectory(parts, request, response, true);
    } else if (isDrainRequest(request)) {
      await handleDrain(parts, request, response);
    } else {
      await handleEgress(parts, request, response);
    }
  };
}

function describeSelf(container: Container, listeners: Listeners): Member {
  const settings = container.get(PARTS.settings);
  const control = listeners.control.server.address() as AddressInfo;
  return {
    service: settings.service,
    incarnation: container.get(PARTS.incarnation),
    counter: 0,
    address: settings.address,
    publicPort: getPort(listeners.publicCalls),
    peerPort: getPort(listeners.peerCalls),
    controlPort: control.port,
    adminPort: getPort(listeners.admin),
    dataCentre: settings.dataCentre,
    region: settings.region,
    state: MemberState.JOINING,
    weight: settings.slots,
    epoch: 0,
    startedMs: container.get(PARTS.clock).readMs(),
  };
}
