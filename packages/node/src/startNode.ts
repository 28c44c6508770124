/** Starts and stops a node. */
import {randomBytes} from 'node:crypto';
import type {Server} from 'node:http';
import type {Member} from 'sycamoreyoke/process/types';
import {MemberState} from 'sycamoreyoke/process/types';
import type {CallConnections} from './connection/callConnections.js';
import type {ConfigurationTask} from './process/configurationTask.js';
import type {GateTask} from './process/gateTask.js';
import {closeListener, getPort, openCallListener} from './process/listeners.js';
import {MembershipTask} from './process/membershipTask.js';
import type {NodeSettings} from './process/settings.js';
import {handleCall} from './request/callHandler.js';
import {handleEgress} from './request/egressHandler.js';
import {PARTS, buildContainer} from './wiring.js';

const INCARNATION_BYTES = 16;

/** A running node. */
export interface RunningNode {
  readonly self: Member;
  readonly localPort: number;
  stop(): Promise<void>;
}

/** Opens the listeners, announces the node and serves. */
export async function startNode(settings: NodeSettings): Promise<RunningNode> {
  const container = buildContainer(settings);
  const gate = container.get<GateTask>(PARTS.gateTask);
  const configuration = container.get<ConfigurationTask>(
    PARTS.configurationTask,
  );
  const connections = container.get<CallConnections>(PARTS.connections);
  const callParts = {
    gate,
    configuration,
    connections,
    upstream: settings.upstream,
  };
  const egressParts = {
    router: container.get<never>(PARTS.router),
    configuration,
    connections,
  };
  gate.start();
  await configuration.start();
  const servers = await Promise.all([
    openCallListener(
      (request, exchange) => handleCall(callParts, request, exchange),
      settings.publicPort,
      settings.address,
    ),
    openCallListener(
      (request, exchange) => handleCall(callParts, request, exchange),
      settings.peerPort,
      settings.address,
    ),
    openCallListener(
      (request, exchange) => handleEgress(egressParts, request, exchange),
      settings.localPort,
      '127.0.0.1',
    ),
  ]);
  const self = describeSelf(settings, servers);
  const membership = new MembershipTask(
    container.get(PARTS.table),
    container.get(PARTS.router),
    self,
  );
  await membership.start();
  const stop = async () => {
    await Promise.all(servers.map(closeListener));
    membership.stop();
    configuration.stop();
    gate.stop();
    await connections.close();
  };
  return {self, localPort: getPort(servers[2]), stop};
}

function describeSelf(
  settings: NodeSettings,
  servers: readonly [Server, Server, Server],
): Member {
  return {
    service: settings.service,
    incarnation: randomBytes(INCARNATION_BYTES).toString('hex'),
    counter: 0,
    address: settings.address,
    publicPort: getPort(servers[0]),
    peerPort: getPort(servers[1]),
    controlPort: settings.controlPort,
    adminPort: settings.adminPort,
    dataCentre: settings.dataCentre,
    region: settings.region,
    state: MemberState.ACTIVE,
    weight: settings.slots,
    epoch: 0,
  };
}
