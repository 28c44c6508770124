/** Builds a sidecar from its settings and connects its parts. */
import {randomUUID} from 'node:crypto';
import type {Clock} from 'sycamoreyoke/clock';
import type {InvariantReporter} from 'sycamoreyoke/invariants';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {QUIET_DECAY_MS} from 'sycamoreyoke/process/downstreamThrottle';
import {GOODPUT_PARAMETERS} from 'sycamoreyoke/process/gateParameters';
import type {Metrics} from 'sycamoreyoke/process/metrics';
import type {UpstreamLoad} from 'sycamoreyoke/process/placement';
import type {RetryAllowance} from 'sycamoreyoke/process/retryAllowance';
import {createRetryAllowance} from 'sycamoreyoke/process/retryAllowance';
import {isStarted} from 'sycamoreyoke/process/startPhase';
import type {StopSchedule} from 'sycamoreyoke/process/stopSchedule';
import type {UpstreamLeaving} from 'sycamoreyoke/process/upstreamLeavings';
import type {UpstreamPresence} from 'sycamoreyoke/process/upstreamPresence';
import {
  chooseWatchMs,
  computeListPauseMs,
  computeMeanWatchMs,
  isChosenToQuery,
} from 'sycamoreyoke/process/watchTime';
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
import {
  GATE_QUEUE_LIMIT,
  NODES_WATCH_MEAN_MS,
  ASSUMED_NODES,
} from './constants.js';
import {
  ConfigurationSource,
  ConfigurationTask,
} from './process/configurationTask.js';
import type {CrashMark} from './process/crashTask.js';
import {CrashTask, isCrashRow} from './process/crashTask.js';
import type {DecisionLog} from './process/decisionLog.js';
import {runAfterTurn} from './process/eventLoop.js';
import {computeMaxClients} from './process/descriptorLimits.js';
import {FleetTask} from './process/fleetTask.js';
import {watchGauges} from './process/gauges.js';
import {HeldBytes} from './process/heldBytes.js';
import {LeavingTask, isLeavingRow} from './process/leavingTask.js';
import {LoopWatch} from './process/loopWatch.js';
import {computeMemoryLimits} from './process/memoryLimits.js';
import {PeerTask} from './process/peerTask.js';
import {StoreFollower} from './process/storeFollower.js';
import {UpstreamTask} from './process/upstreamTask.js';
import {OriginHandler} from './request/originHandler.js';
import type {
  ConfigurationDecoder,
  FleetStore,
  NodeRecord,
  NodeReport,
  ReloadableSettings,
  SidecarSettings,
  StoredRow,
  WireProtocol,
} from './types.js';
import {StoreTable} from './types.js';

/** Settings, protocols and codecs that an adapter provides. */
export interface SidecarAdapter {
  readonly settings: SidecarSettings;
  readonly wire: WireProtocol;
  readonly store: FleetStore;
  readonly decodeConfiguration: ConfigurationDecoder;
  readonly encodeNode: (node: NodeRecord) => Uint8Array;
  readonly decodeNode: (content: Uint8Array) => NodeRecord | undefined;
  readonly encodeMark: (mark: CrashMark) => Uint8Array;
  readonly decodeMark: (content: Uint8Array) => CrashMark | undefined;
  readonly encodeLeavings: (leavings: readonly UpstreamLeaving[]) => Uint8Array;
  readonly decodeLeavings: (content: Uint8Array) => readonly UpstreamLeaving[];
}

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
  readonly crashes: CrashTask;
  readonly leavings: LeavingTask;
  readonly origin: OriginHandler;
  readonly clients: ClientListener;
  readonly peers: PeerTask;
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
      peerServer.announceVersion(random);
      peers.announceVersion(random);
    },
    handleStoreDelay: () => configurationFollower.reset(),
  });
  const crashes = new CrashTask({
    incarnation: self.incarnation,
    service: settings.service,
    clock,
    record,
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
    record,
    store,
    encodeLeavings: adapter.encodeLeavings,
    decodeLeavings: adapter.decodeLeavings,
    listOwn: () => presence.listLeavings(),
    applyOwn: (learned) => upstream.mergeLeavings(learned),
    sendNotice: (notice) => peerServer.sendNotice(notice),
    probeUpstream: (handleNoListener) => pool.probe(handleNoListener),
  });
  const upstream: UpstreamTask = new UpstreamTask({
    service: settings.service,
    get drainMs() {
      return settings.drainMs;
    },
    clock,
    wire,
    presence,
    callParents: new CallParents(),
    pool,
    crashes,
    hasTimeToStart: (deadlineMs) =>
      lifecycle.stop?.hasTimeToStart(clock.readMs(), deadlineMs) ?? true,
    hasTimeToFinish: (deadlineMs) =>
      lifecycle.stop?.hasTimeToFinish(clock.readMs(), deadlineMs) ?? true,
    parameters: {
      ...GOODPUT_PARAMETERS,
      queueLimit: GATE_QUEUE_LIMIT,
      downstreamDecayMs: QUIET_DECAY_MS,
    },
    report,
    record,
    handleChange: () => {
      peerServer.announceReport();
      leavings.handleUpstreamChange();
    },
  });
  const startedMs = clock.readMs();
  let hasStarted = false;
  const checkStarted = (): boolean => {
    hasStarted ||= isStarted({
      hasConfiguration: configuration.read() !== undefined,
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
  const peers: PeerTask = new PeerTask({
    self,
    clock,
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
    listNotices: (node) => leavings.listNotices(node),
    handleNotice: (notice) => leavings.handleNotice(notice),
    needsNodes: () => !nodeFollower.hasContact(),
    handleActivity: () => loop.observe(),
    held,
  });
  const fleet: FleetTask = new FleetTask({
    self,
    store,
    record,
    encodeNode: adapter.encodeNode,
    decodeNode: adapter.decodeNode,
    handleChange: (nodes) => peers.update(nodes),
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
    listNotices: (node) => leavings.listNotices(node),
    handleNotice: (notice) => leavings.handleNotice(notice),
    readConfiguration: () => configuration.read()?.content,
    listNodes: () => fleet.list(),
    handleFault: (message) =>
      record(EventCode.MESSAGE_MALFORMED, {source: 'peer', message}),
    held,
  });
  const configurationFollower: StoreFollower = new StoreFollower({
    clock,
    store,
    table: StoreTable.CONFIGURATION,
    record,
    handleAllRows: (rows) => configuration.handleRows(rows),
    handleChangedRows: (rows) => configuration.handleRows(rows),
    choosePauseMs: () => 0,
    chooseWaitMs: () =>
      chooseWatchMs(random, computeMeanWatchMs(fleet.list().length)),
    handleSilence: () => peers.probeAll(),
  });
  /** Handles the rows that describe no node; returns those that do. */
  const handleOtherRows = (rows: readonly StoredRow[]) => {
    crashes.handleRows(rows.filter(isCrashRow));
    leavings.handleRows(rows.filter(isLeavingRow));
    return rows.filter((row) => !isCrashRow(row) && !isLeavingRow(row));
  };
  const nodeFollower: StoreFollower = new StoreFollower({
    clock,
    store,
    table: StoreTable.NODES,
    record,
    handleAllRows: (rows, version) =>
      fleet.handleAllRows(handleOtherRows(rows), version),
    handleChangedRows: (rows) => fleet.handleChangedRows(handleOtherRows(rows)),
    choosePauseMs: (changesInARow) =>
      computeListPauseMs(fleet.list().length, changesInARow),
    chooseWaitMs: () => chooseWatchMs(random, NODES_WATCH_MEAN_MS),
    handleSilence: () => peers.probeAll(),
  });
  const followers = [configurationFollower, nodeFollower];

  const budgets = new Map<string, RetryAllowance>();
  /** Until the list is read, a node may know only itself. */
  const countNodes = () =>
    Math.max(fleet.list().length, nodeFollower.isListed() ? 1 : ASSUMED_NODES);
  const readRetryBudget = (service: string): RetryAllowance => {
    const known = budgets.get(service);
    if (known) return known;
    const budget = createRetryAllowance(
      clock,
      {
        get share() {
          return settings.retryBudget.share;
        },
        get slack() {
          return settings.retryBudget.slack;
        },
      },
      countNodes,
    );
    budgets.set(service, budget);
    return budget;
  };
  const origin = new OriginHandler({
    clock,
    random,
    wire,
    peers,
    held,
    pool: new SegmentPool(memory.held.maxBytes / 2),
    rotation: container.get<WeightedRotation>(TOKENS.rotation),
    service: settings.service,
    record,
    metrics,
    readTable: () => configuration.read()?.table,
    readRetryBudget,
    findParent: (deadlineMs) => upstream.findParent(deadlineMs),
    startChildCall: (deadlineMs) => upstream.startChildCall(deadlineMs),
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
  watchGauges(metrics, {upstream, peers, configuration, log, clients, held});
  return {
    settings,
    applyReloadableSettings: ({graceMs, drainMs, retryBudget}) => {
      Object.assign(settings, {graceMs, drainMs, retryBudget});
    },
    clock,
    log,
    record,
    metrics,
    upstream,
    crashes,
    leavings,
    origin,
    clients,
    peers,
    peerServer,
    fleet,
    configuration,
    followers,
    lifecycle,
    checkStarted,
    loop,
  };
}
