/** Builds a sidecar from its settings and connects its parts. */
import {randomUUID} from 'node:crypto';
import type {Clock} from 'sycamoreyoke/clock';
import type {InvariantReporter} from 'sycamoreyoke/invariants';
import {AccountMetrics} from 'sycamoreyoke/process/accountMetrics';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {GOODPUT_PARAMETERS} from 'sycamoreyoke/process/gateParameters';
import {LinkedProcesses} from 'sycamoreyoke/process/linkedProcesses';
import type {Metrics} from 'sycamoreyoke/process/metrics';
import type {UpstreamLoad} from 'sycamoreyoke/process/placement';
import {isStarted} from 'sycamoreyoke/process/startPhase';
import type {StopSchedule} from 'sycamoreyoke/process/stopSchedule';
import type {UpstreamPresence} from 'sycamoreyoke/process/upstreamPresence';
import {isChosenToQuery} from 'sycamoreyoke/process/watchTime';
import type {WeightedRotation} from 'sycamoreyoke/process/weightedRotation';
import type {Random} from 'sycamoreyoke/random';
import {CallParents} from 'sycamoreyoke/process/callParents';
import {ByteBudget} from './connection/byteBudget.js';
import type {ClientExchange} from './connection/clientExchange.js';
import {ClientListener} from './connection/clientListener.js';
import {PeerServer} from './connection/peerServer.js';
import {SegmentPool} from './connection/segmentList.js';
import type {UpstreamPool} from './connection/upstreamPool.js';
import {TOKENS, createContainer} from './container.js';
import {GATE_QUEUE_LIMIT, ASSUMED_NODES} from './constants.js';
import {
  ConfigurationSource,
  ConfigurationTask,
} from './process/configurationTask.js';
import {AllotmentTask} from './process/allotmentTask.js';
import {CrashTask} from './process/crashTask.js';
import type {DecisionLog} from './process/decisionLog.js';
import {runAfterTurn} from './process/eventLoop.js';
import {computeMaxClients} from './process/descriptorLimits.js';
import {FleetTask} from './process/fleetTask.js';
import {watchGauges} from './process/gauges.js';
import {HeldBytes} from './process/heldBytes.js';
import {LeavingTask} from './process/leavingTask.js';
import {LoopWatch} from './process/loopWatch.js';
import {computeMemoryLimits} from './process/memoryLimits.js';
import {NodeRows} from './process/nodeRows.js';
import {PeerTask} from './process/peerTask.js';
import {createRetryBudgets} from './process/retryBudgets.js';
import {StatusCheck} from './process/statusCheck.js';
import type {StoreFollower} from './process/storeFollower.js';
import {createStoreFollowers} from './process/storeFollowers.js';
import {UpstreamTask} from './process/upstreamTask.js';
import {BeginCheck} from './request/beginCheck.js';
import {OriginHandler} from './request/originHandler.js';
import type {SidecarAdapter} from './sidecarAdapter.js';
import type {
  NodeRecord,
  NodeReport,
  ReloadableSettings,
  SidecarSettings,
} from './types.js';

/** The parts of a sidecar that its process and its adapter use. */
export interface SidecarParts {
  /** Updated by applyReloadableSettings, so read values at each use. */
  readonly settings: SidecarSettings;
  readonly applyReloadableSettings: (values: ReloadableSettings) => void;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly record: EventRecorder;
  readonly metrics: Metrics;
  readonly upstream: UpstreamTask;
  readonly status: StatusCheck;
  readonly crashes: CrashTask;
  readonly leavings: LeavingTask;
  readonly origin: OriginHandler;
  readonly clients: ClientListener;
  readonly peers: PeerTask;
  readonly allotments: AllotmentTask;
  readonly peerServer: PeerServer;
  readonly fleet: FleetTask;
  readonly configuration: ConfigurationTask;
  readonly followers: readonly StoreFollower[];
  readonly lifecycle: SidecarLifecycle;
  readonly loop: LoopWatch;
  /** Whether the start is complete; checked anew on each call until it is. */
  readonly checkStarted: () => boolean;
}

/** State of the process that its listeners and tasks read. */
export interface SidecarLifecycle {
  /** Schedule of the stop; undefined until the process is stopping. */
  stop: StopSchedule | undefined;
  /** Called when another configuration version has become active. */
  handleConfiguration: () => void;
}

/** Builds the tasks and connects their callbacks. */
export function buildSidecar(adapter: SidecarAdapter): SidecarParts {
  const {wire, store} = adapter;
  const settings = {...adapter.settings};
  const memory = computeMemoryLimits(settings.memoryMb);
  const container = createContainer(settings, memory);
  const clock = container.get<Clock>(TOKENS.clock);
  const metrics = container.get<Metrics>(TOKENS.metrics);
  const log = container.get<DecisionLog>(TOKENS.log);
  const {record} = log;
  const random = container.get<Random>(TOKENS.random);
  const lifecycle: SidecarLifecycle = {
    stop: undefined,
    handleConfiguration: () => undefined,
  };
  const report: InvariantReporter = (invariant, detail) => {
    record(EventCode.INVARIANT_VIOLATED, {invariant, detail});
  };
  const self: NodeRecord = {
    node: settings.node,
    incarnation: randomUUID(),
    service: settings.service,
    dataCentre: settings.dataCentre,
    address: {host: settings.ip, port: settings.peerPort},
  };

  const configuration: ConfigurationTask = new ConfigurationTask({
    clock,
    decode: adapter.decodeConfiguration,
    record,
    handleChange: () => {
      lifecycle.handleConfiguration();
      allotments.handleConfiguration();
      peerServer.announceVersion(random);
      peers.announceVersion(random);
    },
    handleStoreDelay: () => configurationFollower.reset(),
    isStarting: () => !hasStarted,
  });
  const crashes = new CrashTask({
    node: settings.node,
    incarnation: self.incarnation,
    service: settings.service,
    clock,
    random,
    record,
    countNodes: () => fleet.list().length,
    store,
    encodeMark: adapter.encodeMark,
    decodeMark: adapter.decodeMark,
    broadcastSuspects: (suspects) => {
      peers.sendSuspects(suspects);
      peerServer.sendSuspects(suspects);
    },
  });
  const presence = container.get<UpstreamPresence>(TOKENS.presence);
  const pool = container.get<UpstreamPool>(TOKENS.pool);
  const leavings: LeavingTask = new LeavingTask({
    node: settings.node,
    clock,
    random,
    record,
    countNodes: () => fleet.list().length,
    store,
    encodeLeavings: adapter.encodeLeavings,
    decodeLeavings: adapter.decodeLeavings,
    listOwn: () => presence.listLeavings(),
    applyOwn: (learned) => upstream.mergeLeavings(learned),
    recordTold: () => status.recordTold(),
    hasKnownFormer: (process) => linked.hasKnownFormer(process),
    sendNotice: (notice) => peerServer.sendNotice(notice),
    probeUpstream: (handleNoListener) => pool.probe(handleNoListener),
  });
  const linked = new LinkedProcesses(clock);
  const handleUpstreamChange = () => {
    peerServer.announceReport();
    leavings.handleUpstreamChange();
  };
  const status: StatusCheck = new StatusCheck({
    clock,
    nodeStartedAtMs: performance.timeOrigin,
    upstream: settings.upstream,
    wire,
    pool,
    record,
    isStarted: () => checkStarted(),
    readPath: () =>
      configuration.read()?.table.services.get(settings.service)
        ?.statusCheckPath,
    handleChange: handleUpstreamChange,
  });
  const upstream: UpstreamTask = new UpstreamTask({
    service: settings.service,
    get drainMs() {
      return settings.drainMs;
    },
    clock,
    wire,
    presence,
    status,
    callParents: new CallParents(clock.readMs()),
    hasAccounts: () => configuration.read()?.table.accounts !== undefined,
    readLongestTimeoutMs: () =>
      configuration.read()?.table.longestTimeouts.get(settings.service) ?? 0,
    pool,
    crashes,
    hasTimeToStart: (deadlineMs) =>
      lifecycle.stop?.hasTimeToStart(clock.readMs(), deadlineMs) ?? true,
    hasTimeToFinish: (deadlineMs) =>
      lifecycle.stop?.hasTimeToFinish(clock.readMs(), deadlineMs) ?? true,
    parameters: {
      ...GOODPUT_PARAMETERS,
      queueLimit: GATE_QUEUE_LIMIT,
    },
    report,
    record,
    handleChange: handleUpstreamChange,
  });
  const startedMs = clock.readMs();
  let hasStarted = false;
  const checkStarted = (): boolean => {
    hasStarted ||= isStarted({
      hasConfiguration: configuration.read() !== undefined,
      isBehindPeers: configuration.isBehindPeers(),
      hasNodeList: nodeFollower.isListed(),
      knownServices: fleet.listOtherServices(),
      linkedServices: peers.listLinkedServices(),
      elapsedMs: clock.readMs() - startedMs,
    });
    return hasStarted;
  };
  /** Describes a starting or stopping node such that others get new calls. */
  const describeOwnLoad = (): UpstreamLoad => {
    const load = upstream.describeLoad();
    return {
      ...load,
      isAvailable: load.isAvailable && hasStarted,
      isDraining: load.isDraining || lifecycle.stop !== undefined,
    };
  };
  const describeReport = (): NodeReport => ({
    configurationVersion: configuration.readVersion(),
    load: describeOwnLoad(),
  });
  const held: HeldBytes = new HeldBytes(clock, memory.held, (bytes) => {
    metrics.count('frames_skipped_total');
    const heldBytes = held.countBytes();
    record(EventCode.FRAME_SKIPPED, {bytes, heldBytes});
  });
  const loop = new LoopWatch({clock, runAfterTurn});
  const allotments: AllotmentTask = new AllotmentTask({
    self: settings.node,
    clock,
    random,
    record,
    metrics,
    readTable: () => configuration.read()?.table,
    readTolerance: () => settings.allotmentTolerance,
    countNodes: () => countNodes(),
    handleLimits: () => peers.update(fleet.list()),
    readPeers: () => peers,
  });
  const peers: PeerTask = new PeerTask({
    self,
    clock,
    random,
    record,
    describeReport,
    offerLocally: (call, handle) => upstream.offer(call, handle),
    handlePeerVersion: (version, peer) =>
      configuration.handlePeerVersion(version, peer),
    handleConfiguration: (content) =>
      configuration.adopt(content, ConfigurationSource.PEER),
    handleSilentLink: () => {
      peers.probeAll();
      if (!isChosenToQuery(random, fleet.list().length)) return;
      for (const follower of followers) follower.reset();
    },
    handleNode: (node) => fleet.handleNode(node),
    handleReplacedNode: (node) => fleet.removeNode(node),
    listSuspects: () => crashes.listSuspects(),
    handleSuspects: (suspects) => crashes.merge(suspects),
    linked,
    listNotices: (process) => leavings.listNotices(process),
    handleNotice: (notice) => leavings.handleNotice(notice),
    needsNodes: () => !nodeFollower.hasContact(),
    handleActivity: () => loop.observe(),
    held,
    chooseOwners: (nodes) => allotments.chooseOwners(nodes),
    handleGrant: (node, message) => allotments.handleGrant(node, message),
    handleOwnerLost: (node) => allotments.handleLost(node),
    handleOwnerGone: (node) => allotments.handleGone(node),
  });
  const fleet: FleetTask = new FleetTask({
    self,
    store,
    random,
    record,
    encodeNode: adapter.encodeNode,
    decodeNode: adapter.decodeNode,
    handleChange: (nodes) => peers.update(nodes),
    isLinked: (node) => peers.isLinked(node),
    handleRemoval: (node) => void leavings.removeRow(node),
  });
  const peerServer: PeerServer = new PeerServer({
    clock,
    findEarliestArrivalMs: () => loop.findEarliestArrivalMs(),
    maxOutputBytes: memory.linkOutput,
    describeSelf: () => ({node: self, report: describeReport()}),
    offer: (call, handle) => upstream.offer(call, handle),
    handleHello: (node) => fleet.handleNode(node),
    handlePeerVersion: (version, peer) =>
      configuration.handlePeerVersion(version, peer),
    handleConfiguration: (content) =>
      configuration.adopt(content, ConfigurationSource.PEER),
    listSuspects: () => crashes.listSuspects(),
    handleSuspects: (suspects) => crashes.merge(suspects),
    listNotices: (process) => leavings.listNotices(process),
    handleNotice: (notice) => leavings.handleNotice(notice),
    answerTokens: (node, message) => allotments.answer(node, message),
    readConfiguration: () => configuration.read()?.content,
    listNodes: () => fleet.list(),
    handleFault: (message) =>
      record(EventCode.MESSAGE_MALFORMED, {source: 'peer', message}),
    held,
  });
  const followers = createStoreFollowers({
    clock,
    random,
    store,
    record,
    configuration,
    nodeRows: new NodeRows({fleet, crashes, leavings}),
    countNodes: () => fleet.list().length,
    handleSilence: () => peers.probeAll(),
  });
  const [configurationFollower, nodeFollower] = followers;

  /** Until the list is read, a node may know only itself. */
  const countNodes = () =>
    Math.max(fleet.list().length, nodeFollower.isListed() ? 1 : ASSUMED_NODES);
  const readRetryBudget = createRetryBudgets(clock, settings, countNodes);
  const beginCheck = new BeginCheck({clock, record, metrics});
  const accountMetrics = new AccountMetrics();
  const origin = new OriginHandler({
    clock,
    random,
    wire,
    peers,
    held,
    pool: new SegmentPool(memory.held.maxBytes / 2),
    allotments,
    rotation: container.get<WeightedRotation>(TOKENS.rotation),
    service: settings.service,
    record,
    metrics,
    accountMetrics,
    readTable: () => configuration.read()?.table,
    readRetryBudget,
    beginCheck,
    childCalls: upstream.childCalls,
    readStopSchedule: () => lifecycle.stop,
  });
  const clients = new ClientListener(
    {
      record,
      metrics,
      readMs: () => clock.readMs(),
      findEarliestArrivalMs: () => loop.findEarliestArrivalMs(),
      isStopping: () => lifecycle.stop !== undefined,
      output: new ByteBudget<ClientExchange>(memory.clientOutput),
      maxConnections: computeMaxClients(settings.maxFds),
    },
    (exchange) => origin.handle(exchange),
  );
  metrics.collect('account_requests_total', () => accountMetrics.list());
  metrics.watch('gate_kinds_throttled', () => upstream.countThrottled());
  metrics.watch('routes_throttled', () => beginCheck.countThrottled());
  watchGauges(metrics, {upstream, peers, configuration, log, clients, held});
  return {
    settings,
    applyReloadableSettings: (values) => {
      const {graceMs, drainMs, retryBudget, allotmentTolerance} = values;
      const changed = {graceMs, drainMs, retryBudget, allotmentTolerance};
      Object.assign(settings, changed);
    },
    clock,
    log,
    record,
    metrics,
    upstream,
    status,
    crashes,
    leavings,
    origin,
    clients,
    peers,
    allotments,
    peerServer,
    fleet,
    configuration,
    followers,
    lifecycle,
    checkStarted,
    loop,
  };
}
