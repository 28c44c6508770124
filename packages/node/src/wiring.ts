/** Dependency injection; no other module constructs these parts of a node. */
import 'reflect-metadata';
import {randomBytes} from 'node:crypto';
import type {ServiceIdentifier} from 'inversify';
import {Container} from 'inversify';
import type {Clock} from 'sycamoreyoke/clock';
import type {InvariantReporter} from 'sycamoreyoke/invariants';
import type {ObjectStore, TableService} from 'sycamoreyoke/platform';
import {AdmissionLevelCache} from 'sycamoreyoke/process/admissionLevel';
import {ClaimBatcher} from 'sycamoreyoke/process/claimBatcher';
import {CrashRegister} from 'sycamoreyoke/process/crashRegister';
import {Drain} from 'sycamoreyoke/process/drain';
import {EntryLedger} from 'sycamoreyoke/process/entryLedger';
import {EventCode, EventRing} from 'sycamoreyoke/process/events';
import {AdaptiveGate} from 'sycamoreyoke/process/gate';
import {RECOVERY_PARAMETERS} from 'sycamoreyoke/process/gateParameters';
import {HybridClock} from 'sycamoreyoke/process/hybridClock';
import {createDefaultLimiter} from 'sycamoreyoke/process/limiter';
import {Metrics} from 'sycamoreyoke/process/metrics';
import {PauseDetector} from 'sycamoreyoke/process/pauseDetector';
import {TwoChoiceRouter} from 'sycamoreyoke/process/router';
import type {Router} from 'sycamoreyoke/process/types';
import type {Random} from 'sycamoreyoke/random';
import {RecordTable} from 'sycamoreyoke/request/recordTable';
import {CallConnections} from './connection/callConnections.js';
import {ControlClients} from './connection/controlClients.js';
import {SocketBytes} from './connection/socketBytes.js';
import {createEventLog} from './process/eventLog.js';
import {GateTask} from './process/gateTask.js';
import {Lifecycle} from './process/lifecycle.js';
import {LostExecutions} from './process/lostExecutions.js';
import {MemberLatencies} from './process/memberLatencies.js';
import {ObjectStoreClient} from './process/objectStoreClient.js';
import {RetryBudgets} from './process/retryBudgets.js';
import {RunningRequests} from './process/runningRequests.js';
import type {NodeSettings} from './process/settings.js';
import {systemClock} from './process/systemClock.js';
import {TableClient} from './process/tableClient.js';
import {TokenDigests} from './request/callerCheck.js';

const MAX_CONNECTIONS_PER_ORIGIN = 256;
const INCARNATION_BYTES = 16;
/** Memory limit for the records of guarded requests. */
const MAX_RECORD_MEMORY_BYTES = 48 * 1024 * 1024;

function identify<T>(name: string): ServiceIdentifier<T> {
  return Symbol.for(name);
}

/** Injection identifiers of the parts. */
export const PARTS = {
  settings: identify<NodeSettings>('settings'),
  incarnation: identify<string>('incarnation'),
  clock: identify<Clock>('clock'),
  hybridClock: identify<HybridClock>('hybridClock'),
  random: identify<Random>('random'),
  events: identify<EventRing>('events'),
  metrics: identify<Metrics>('metrics'),
  report: identify<InvariantReporter>('report'),
  table: identify<TableService>('table'),
  lifecycle: identify<Lifecycle>('lifecycle'),
  gate: identify<GateTask>('gate'),
  router: identify<Router>('router'),
  admissionLevels: identify<AdmissionLevelCache>('admissionLevels'),
  memberLatencies: identify<MemberLatencies>('memberLatencies'),
  retryBudgets: identify<RetryBudgets>('retryBudgets'),
  entryLedger: identify<EntryLedger>('entryLedger'),
  crashes: identify<CrashRegister>('crashes'),
  lostExecutions: identify<LostExecutions>('lostExecutions'),
  running: identify<RunningRequests>('running'),
  records: identify<RecordTable>('records'),
  objectStore: identify<ObjectStore>('objectStore'),
  drain: identify<Drain>('drain'),
  pauseDetector: identify<PauseDetector>('pauseDetector'),
  connections: identify<CallConnections>('connections'),
  controlBytes: identify<SocketBytes>('controlBytes'),
  controlClients: identify<ControlClients>('controlClients'),
  batcher: identify<ClaimBatcher>('batcher'),
  tokenDigests: identify<TokenDigests>('tokenDigests'),
} as const;

/** Creates a container with all parts that do not depend on open ports. */
export function buildContainer(settings: NodeSettings): Container {
  const container = new Container({defaultScope: 'Singleton'});
  const get = <T>(part: ServiceIdentifier<T>): T => container.get(part);
  const bind = <T>(part: ServiceIdentifier<T>, create: () => T) =>
    container.bind(part).toDynamicValue(create);

  bind(PARTS.settings, () => settings);
  bind(PARTS.incarnation, () => randomBytes(INCARNATION_BYTES).toString('hex'));
  bind(PARTS.clock, () => systemClock);
  bind(PARTS.random, () => Math.random);
  bindObservability(get, bind, settings);
  bindRequestParts(get, bind, settings);
  bindConnections(get, bind, settings);
  return container;
}

type Get = <T>(part: ServiceIdentifier<T>) => T;
type Bind = <T>(part: ServiceIdentifier<T>, create: () => T) => unknown;

function bindObservability(get: Get, bind: Bind, settings: NodeSettings) {
  bind(PARTS.hybridClock, () => new HybridClock(get(PARTS.clock)));
  bind(PARTS.metrics, () => new Metrics());
  bind(PARTS.events, () => {
    const name = `${settings.service}/${get(PARTS.incarnation).slice(0, 8)}`;
    const log = createEventLog(settings.logLevel);
    return new EventRing(name, get(PARTS.hybridClock), log);
  });
  bind(PARTS.report, () => (invariant, detail) => {
    get(PARTS.metrics).count('sycamoreyoke_invariant_violations_total', {
      invariant,
    });
    const {record} = get(PARTS.events);
    record(EventCode.INVARIANT_VIOLATED, {invariant, detail});
  });
}

function bindRequestParts(get: Get, bind: Bind, settings: NodeSettings) {
  bind(PARTS.lifecycle, () => new Lifecycle());
  bind(PARTS.drain, () => new Drain(get(PARTS.clock), get(PARTS.report)));
  bind(PARTS.pauseDetector, () => new PauseDetector(get(PARTS.clock)));
  bind(PARTS.gate, () => {
    const clock = get(PARTS.clock);
    const gate = new AdaptiveGate({
      clock,
      limiter: createDefaultLimiter(settings.slots),
      parameters: RECOVERY_PARAMETERS,
      report: get(PARTS.report),
    });
    return new GateTask(gate, clock);
  });
  bind(
    PARTS.router,
    () =>
      new TwoChoiceRouter({
        clock: get(PARTS.clock),
        random: get(PARTS.random),
        dataCentre: settings.dataCentre,
      }),
  );
  bind(
    PARTS.admissionLevels,
    () => new AdmissionLevelCache(get(PARTS.clock), get(PARTS.random)),
  );
  bind(PARTS.memberLatencies, () => new MemberLatencies(get(PARTS.clock)));
  bind(PARTS.retryBudgets, () => new RetryBudgets(get(PARTS.clock)));
  bind(
    PARTS.entryLedger,
    () =>
      new EntryLedger(
        get(PARTS.clock),
        get(PARTS.incarnation),
        get(PARTS.report),
      ),
  );
  bind(PARTS.crashes, () => new CrashRegister(get(PARTS.clock)));
  bind(PARTS.lostExecutions, () => new LostExecutions(get(PARTS.clock)));
  bind(PARTS.running, () => new RunningRequests());
  bind(
    PARTS.records,
    () =>
      new RecordTable({
        clock: get(PARTS.clock),
        incarnation: get(PARTS.incarnation),
        limitBytes: MAX_RECORD_MEMORY_BYTES,
        report: get(PARTS.report),
      }),
  );
  bind(PARTS.tokenDigests, () => new TokenDigests());
}

function bindConnections(get: Get, bind: Bind, settings: NodeSettings) {
  bind(PARTS.table, () => {
    const {record} = get(PARTS.events);
    return new TableClient(settings.tableUrl, (isUp, message) => {
      const code = isUp
        ? EventCode.PLATFORM_AVAILABLE
        : EventCode.PLATFORM_UNAVAILABLE;
      record(code, {service: 'table', message});
    });
  });
  bind(PARTS.objectStore, () => new ObjectStoreClient(settings.objectStoreUrl));
  bind(
    PARTS.batcher,
    () => new ClaimBatcher(get(PARTS.clock), get(PARTS.table)),
  );
  bind(
    PARTS.connections,
    () => new CallConnections(MAX_CONNECTIONS_PER_ORIGIN),
  );
  bind(PARTS.controlBytes, () => new SocketBytes());
  bind(PARTS.controlClients, () => {
    const {record} = get(PARTS.events);
    return new ControlClients(get(PARTS.controlBytes), (origin) =>
      record(EventCode.CONNECTION_REPLACED, {origin}),
    );
  });
}
