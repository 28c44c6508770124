/** Builds and connects the tasks of a node whose ports are known. */
import {randomUUID} from 'node:crypto';
import type {Container} from 'inversify';
import type {CrashSuspect} from 'sycamoreyoke/process/crashRegister';
import {EventCode} from 'sycamoreyoke/process/events';
import type {GateParameters} from 'sycamoreyoke/process/gateParameters';
import {
  GOODPUT_PARAMETERS,
  RECOVERY_PARAMETERS,
} from 'sycamoreyoke/process/gateParameters';
import type {
  Endpoint,
  MembershipRequest,
  MembershipResponse,
} from 'sycamoreyoke/process/membershipMessages';
import type {Member} from 'sycamoreyoke/process/types';
import {MemberState} from 'sycamoreyoke/process/types';
import type {ClaimOwner} from 'sycamoreyoke/request/claim';
import {ClaimProcedure} from 'sycamoreyoke/request/claim';
import {RefusalReason} from 'sycamoreyoke/types';
import type {PolicyObject} from 'sycamoreyoke/version/types';
import {Lean} from 'sycamoreyoke/version/types';
import {
  decodeAnswer,
  decodeWriteResult,
  encodeWrite,
} from './connection/claimCodec.js';
import {decodeConfiguration} from './connection/configurationCodec.js';
import {createControlHandlers} from './connection/controlHandlers.js';
import type {ControlHandlers} from './connection/controlListener.js';
import type {SenderHeader} from './connection/membershipCodec.js';
import {
  PROTOCOL_VERSION,
  sendMembershipRequest,
} from './connection/membershipCodec.js';
import type {Sender} from './gen/sycamoreyoke/control/v1/control_pb.js';
import {ClaimTask} from './process/claimTask.js';
import {ConfigurationTask} from './process/configurationTask.js';
import {DrainTask} from './process/drainTask.js';
import {ExecutorTask} from './process/executorTask.js';
import {LifecycleState} from './process/lifecycle.js';
import {MembershipTask} from './process/membershipTask.js';
import type {NodeParts} from './process/nodeParts.js';
import {PauseTask} from './process/pauseTask.js';
import {UpstreamMonitor} from './process/upstreamMonitor.js';
import {UpstreamTask} from './process/upstreamTask.js';
import {PARTS} from './wiring.js';

/** Maximum number of crash suspects in one message. */
const MAX_SUSPECTS_PER_MESSAGE = 8;
/**
 * Messages in which a suspect is sent, for each doubling of the service: the
 * messages that gossip needs grow with log2 of the number of members.
 */
const SENDS_PER_DOUBLING = 3;

/** The tasks of a node and its control handlers. */
export interface BuiltNode {
  readonly parts: NodeParts;
  readonly membership: MembershipTask;
  readonly configuration: ConfigurationTask;
  readonly claims: ClaimTask;
  readonly drain: DrainTask;
  readonly pauseTask: PauseTask;
  readonly controlHandlers: ControlHandlers;
}

/** Builds all tasks of a node, from the parts of the container. */
export function buildNode(container: Container, self: Member): BuiltNode {
  const settings = container.get(PARTS.settings);
  const clock = container.get(PARTS.clock);
  const random = container.get(PARTS.random);
  const report = container.get(PARTS.report);
  const {record} = container.get(PARTS.events);
  const hybridClock = container.get(PARTS.hybridClock);
  const table = container.get(PARTS.table);
  const objectStore = container.get(PARTS.objectStore);
  const controlClients = container.get(PARTS.controlClients);
  const records = container.get(PARTS.records);
  const crashRegister = container.get(PARTS.crashes);
  const router = container.get(PARTS.router);
  const gate = container.get(PARTS.gate);
  const lifecycle = container.get(PARTS.lifecycle);
  const runningRequests = container.get(PARTS.running);
  const lostExecutions = container.get(PARTS.lostExecutions);
  const entryLedger = container.get(PARTS.entryLedger);
  const {incarnation, service} = self;

  const createSender = (): SenderHeader => {
    const time = hybridClock.read();
    return {
      service,
      incarnation,
      configurationVersion: BigInt(configuration.get().version),
      wallMs: BigInt(time.wallMs),
      tick: time.counter,
    };
  };
  const createMessageHeader = () => ({
    protocolVersion: PROTOCOL_VERSION,
    sender: createSender(),
  });
  const observeSender = (sender: Sender | undefined) => {
    if (!sender) return;
    const wallMs = Number(sender.wallMs);
    hybridClock.observe({wallMs, counter: sender.tick});
    if (sender.service !== service || sender.incarnation === '') return;
    const version = Number(sender.configurationVersion);
    configuration.observeVersion(sender.incarnation, version);
  };
  const computeSuspectSends = () =>
    Math.ceil(
      SENDS_PER_DOUBLING * Math.log2(membership.listOwnService().length + 1),
    );
  const mergeSuspects = (suspects: readonly CrashSuspect[]) =>
    crashRegister.merge(suspects, computeSuspectSends());
  const takeSuspects = () =>
    crashRegister.takeSuspects(MAX_SUSPECTS_PER_MESSAGE);
  const findMember = (memberIncarnation: string) =>
    membership
      .listOwnService()
      .find((member) => member.incarnation === memberIncarnation);
  const sendRequest = async (
    to: Endpoint,
    request: MembershipRequest,
  ): Promise<MembershipResponse> => {
    const origin = formatOrigin(to.address, to.port);
    const {response, sender, suspects} = await controlClients.send(
      origin,
      (client) =>
        sendMembershipRequest(
          client,
          request,
          {...createMessageHeader(), suspects: takeSuspects()},
          () => clock.readMs(),
        ),
    );
    observeSender(sender);
    mergeSuspects(suspects);
    return response;
  };

  const membership = new MembershipTask({
    self,
    clock,
    random,
    report,
    record,
    table,
    objectStore,
    router,
    send: sendRequest,
    peers: settings.peers.map(parseEndpoint),
    updateMembers: (members) =>
      entryLedger.updateMembers(
        members
          .filter(({state}) => state !== MemberState.DEAD)
          .map((member) => member.incarnation),
      ),
  });

  const configuration: ConfigurationTask = new ConfigurationTask({
    table,
    objectStore,
    clock,
    random,
    report,
    record,
    service,
    self: incarnation,
    peers: {
      list: () =>
        membership
          .listOwnService()
          .filter(
            (member) =>
              member.incarnation !== incarnation &&
              member.state === MemberState.ACTIVE,
          )
          .map((member) => member.incarnation),
      pull: async (peer, sinceVersion) => {
        const wire = await sendToMember(findMember(peer), (client) =>
          client.getConfiguration({
            ...createMessageHeader(),
            sinceVersion: BigInt(sinceVersion),
          }),
        );
        return decodeConfiguration(wire);
      },
      announce: (peer, version) => {
        sendToMember(findMember(peer), (client) =>
          client.announceVersion({
            ...createMessageHeader(),
            version: BigInt(version),
          }),
        ).catch(() => undefined);
      },
    },
  });

  const sendToMember = async <T>(
    member: Member | undefined,
    sendMessage: Parameters<typeof controlClients.send<T>>[1],
  ): Promise<T> => {
    if (!member) throw new Error('the member is no longer known');
    const origin = formatOrigin(member.address, member.controlPort);
    return controlClients.send(origin, sendMessage);
  };

  const claims = new ClaimTask({
    batcher: container.get(PARTS.batcher),
    incarnation,
    listMembers: () => membership.listOwnService(),
    submitTo: async (member, write) => {
      const wire = await sendToMember(member, (client) =>
        client.submitClaims({
          ...createMessageHeader(),
          writes: [encodeWrite(write)],
        }),
      );
      return decodeWriteResult(write.key, wire.results[0]);
    },
  });

  const askOwner: ConstructorParameters<
    typeof ClaimProcedure
  >[0]['askOwner'] = async (owner: ClaimOwner, identity, nonce) => {
    if (owner.incarnation === incarnation) {
      return executor.askOutcome(identity, nonce);
    }
    const origin = formatOrigin(owner.address, owner.controlPort);
    const wire = await controlClients.send(origin, (client) =>
      client.askOutcome({
        ...createMessageHeader(),
        owner: owner.incarnation,
        ...identity,
        nonce,
      }),
    );
    return decodeAnswer(wire);
  };
  const claimProcedure = new ClaimProcedure({
    clock,
    owner: {
      incarnation,
      address: self.address,
      controlPort: self.controlPort,
    },
    records,
    submit: (write) => claims.send(write),
    read: (key) => table.read(key),
    askOwner,
    createNonce: randomUUID,
  });
  const executor: ExecutorTask = new ExecutorTask(
    records,
    claimProcedure,
    record,
  );

  const drain = new DrainTask(container.get(PARTS.drain), {
    announceLeaving: () => {
      lifecycle.set(LifecycleState.LEAVING);
      membership.announceLeave();
      record(EventCode.NODE_LEAVING, {cause: 'drain'});
    },
    refuse: (ticket) => gate.cancel(ticket, RefusalReason.LEAVING),
  });
  const pauseTask = new PauseTask(container.get(PARTS.pauseDetector), {
    record,
    pauseWork: () => {
      lifecycle.set(LifecycleState.RESUMING);
      gate.refuseWaiting(RefusalReason.PAUSED);
    },
    isStale: () => membership.isStale(),
    resumeWork: () => lifecycle.set(LifecycleState.ACTIVE),
  });
  const upstreamTask = new UpstreamTask({
    incarnation,
    crashRegister,
    lostExecutions,
    runningRequests,
    record,
    computeSuspectSends,
    announceUp: (isUp) => membership.announceUpstream(isUp),
  });

  configuration.addListener((compiled) => {
    const policy = compiled.policyOfService.get(service);
    if (policy) gate.update(buildGateParameters(policy));
  });

  const parts: NodeParts = {
    service,
    incarnation,
    upstreamOrigin: new URL(settings.upstream).origin,
    clock,
    hybridClock,
    random,
    record,
    report,
    metrics: container.get(PARTS.metrics),
    lifecycle,
    configuration,
    tokenDigests: container.get(PARTS.tokenDigests),
    entryLedger,
    gate,
    drain,
    pauseTask,
    executor,
    runningRequests,
    crashRegister,
    lostExecutions,
    upstreamMonitor: new UpstreamMonitor(new URL(settings.upstream), (isUp) =>
      upstreamTask.handleChange(isUp),
    ),
    callConnections: container.get(PARTS.connections),
    router,
    admissionLevels: container.get(PARTS.admissionLevels),
    memberLatencies: container.get(PARTS.memberLatencies),
    retryBudgets: container.get(PARTS.retryBudgets),
    observeWork: (requestId) => membership.observeWork(requestId),
    subscribe: (calledService) => membership.subscribe(calledService),
    reportUnreachable: (member, isRefused) =>
      membership.reportUnreachable(member, isRefused),
    reportLeaving: (member) => membership.reportLeaving(member),
  };
  const controlHandlers = createControlHandlers({
    incarnation,
    readMs: () => clock.readMs(),
    createSender,
    observeSender,
    respond: (request) => membership.respond(request),
    mergeSuspects,
    takeSuspects,
    configuration,
    claims,
    askOutcome: (identity, nonce) => executor.askOutcome(identity, nonce),
  });
  return {
    parts,
    membership,
    configuration,
    claims,
    drain,
    pauseTask,
    controlHandlers,
  };
}

/** Selects the gate parameters by the `lean` of the policy. */
function buildGateParameters({lean, queueLimit}: PolicyObject): GateParameters {
  const base = lean === Lean.GOODPUT ? GOODPUT_PARAMETERS : RECOVERY_PARAMETERS;
  return {...base, queueLimit};
}

function formatOrigin(address: string, port: number): string {
  return `http://${address}:${port}`;
}

function parseEndpoint(url: string): Endpoint {
  const {hostname, port} = new URL(url);
  return {address: hostname, port: Number(port)};
}
