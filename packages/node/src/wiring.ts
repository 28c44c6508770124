/** Constructs the parts of a node; no other module does. */
import 'reflect-metadata';
import {randomBytes} from 'node:crypto';
import {Container} from 'inversify';
import type {Clock} from 'sycamoreyoke/clock';
import type {InvariantReporter} from 'sycamoreyoke/invariants';
import type {ObjectStore, TableService} from 'sycamoreyoke/platform';
import {EventCode, EventRing} from 'sycamoreyoke/process/events';
import {HybridClock} from 'sycamoreyoke/process/hybridClock';
import {SimpleGate} from 'sycamoreyoke/process/simpleGate';
import {SimpleRouter} from 'sycamoreyoke/process/simpleRouter';
import type {Gate, Router} from 'sycamoreyoke/process/types';
import type {Random} from 'sycamoreyoke/random';
import {CallConnections} from './connection/callConnections.js';
import {ConfigurationTask, NO_PEERS} from './process/configurationTask.js';
import {GateTask} from './process/gateTask.js';
import {ObjectStoreClient} from './process/objectStoreClient.js';
import type {NodeSettings} from './process/settings.js';
import {systemClock} from './process/systemClock.js';
import {TableClient} from './process/tableClient.js';

const CONNECTIONS_PER_ORIGIN = 256;
const INCARNATION_BYTES = 16;

/** Identifiers of the parts. */
export const PARTS = {
  settings: Symbol.for('settings'),
  clock: Symbol.for('clock'),
  random: Symbol.for('random'),
  incarnation: Symbol.for('incarnation'),
  table: Symbol.for('table'),
  objectStore: Symbol.for('objectStore'),
  events: Symbol.for('events'),
  report: Symbol.for('report'),
  configurationPeers: Symbol.for('configurationPeers'),
  gate: Symbol.for('gate'),
  router: Symbol.for('router'),
  gateTask: Symbol.for('gateTask'),
  configurationTask: Symbol.for('configurationTask'),
  connections: Symbol.for('connections'),
} as const;

/** Binds every part of a node. */
export function buildContainer(settings: NodeSettings): Container {
  const container = new Container({defaultScope: 'Singleton'});
  const get = <T>(part: symbol): T => container.get<T>(part);
  container.bind(PARTS.settings).toConstantValue(settings);
  container.bind<Clock>(PARTS.clock).toConstantValue(systemClock);
  container.bind<Random>(PARTS.random).toConstantValue(Math.random);
  container
    .bind<TableService>(PARTS.table)
    .toDynamicValue(() => new TableClient(settings.tableUrl));
  container
    .bind<string>(PARTS.incarnation)
    .toConstantValue(randomBytes(INCARNATION_BYTES).toString('hex'));
  container
    .bind<ObjectStore>(PARTS.objectStore)
    .toDynamicValue(() => new ObjectStoreClient(settings.objectStoreUrl));
  container
    .bind<EventRing>(PARTS.events)
    .toDynamicValue(
      () =>
        new EventRing(
          `${settings.service}/${get<string>(PARTS.incarnation)}`,
          new HybridClock(get(PARTS.clock)),
        ),
    );
  container
    .bind<InvariantReporter>(PARTS.report)
    .toDynamicValue(() => (invariant, detail) => {
      const {record} = get<EventRing>(PARTS.events);
      record(EventCode.INVARIANT_VIOLATED, {invariant, detail});
    });
  container.bind(PARTS.configurationPeers).toConstantValue(NO_PEERS);
  container
    .bind<Gate>(PARTS.gate)
    .toDynamicValue(() => new SimpleGate(get(PARTS.clock), settings.slots));
  container
    .bind<Router>(PARTS.router)
    .toDynamicValue(() => new SimpleRouter(get(PARTS.random)));
  container
    .bind(PARTS.gateTask)
    .toDynamicValue(() => new GateTask(get(PARTS.gate), get(PARTS.clock)));
  container.bind(PARTS.configurationTask).toDynamicValue(
    () =>
      new ConfigurationTask({
        table: get(PARTS.table),
        objectStore: get(PARTS.objectStore),
        clock: get(PARTS.clock),
        random: get(PARTS.random),
        report: get(PARTS.report),
        record: get<EventRing>(PARTS.events).record,
        peers: get(PARTS.configurationPeers),
        service: settings.service,
        self: get(PARTS.incarnation),
      }),
  );
  container
    .bind(PARTS.connections)
    .toDynamicValue(() => new CallConnections(CONNECTIONS_PER_ORIGIN));
  return container;
}
