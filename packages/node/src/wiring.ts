/** Constructs the parts of a node; no other module does. */
import 'reflect-metadata';
import {Container} from 'inversify';
import type {Clock} from 'sycamoreyoke/clock';
import type {TableService} from 'sycamoreyoke/platform';
import {SimpleGate} from 'sycamoreyoke/process/simpleGate';
import {SimpleRouter} from 'sycamoreyoke/process/simpleRouter';
import type {Gate, Router} from 'sycamoreyoke/process/types';
import type {Random} from 'sycamoreyoke/random';
import {CallConnections} from './connection/callConnections.js';
import {ConfigurationTask} from './process/configurationTask.js';
import {GateTask} from './process/gateTask.js';
import type {NodeSettings} from './process/settings.js';
import {systemClock} from './process/systemClock.js';
import {TableClient} from './process/tableClient.js';

const CONNECTIONS_PER_ORIGIN = 256;

/** Identifiers of the parts. */
export const PARTS = {
  settings: Symbol.for('settings'),
  clock: Symbol.for('clock'),
  random: Symbol.for('random'),
  table: Symbol.for('table'),
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
    .bind<Gate>(PARTS.gate)
    .toDynamicValue(() => new SimpleGate(get(PARTS.clock), settings.slots));
  container
    .bind<Router>(PARTS.router)
    .toDynamicValue(() => new SimpleRouter(get(PARTS.random)));
  container
    .bind(PARTS.gateTask)
    .toDynamicValue(() => new GateTask(get(PARTS.gate), get(PARTS.clock)));
  container
    .bind(PARTS.configurationTask)
    .toDynamicValue(() => new ConfigurationTask(get(PARTS.table)));
  container
    .bind(PARTS.connections)
    .toDynamicValue(() => new CallConnections(CONNECTIONS_PER_ORIGIN));
  return container;
}
