/** Binds the objects of a sidecar that depend only on its settings. */
import 'reflect-metadata';
import {randomInt} from 'node:crypto';
import {systemClock} from '@sycamoreyoke/node/process/systemClock';
import {Container} from 'inversify';
import type {Clock} from 'sycamoreyoke/clock';
import {EventCode} from 'sycamoreyoke/process/events';
import {Metrics} from 'sycamoreyoke/process/metrics';
import {UpstreamPresence} from 'sycamoreyoke/process/upstreamPresence';
import {WeightedRotation} from 'sycamoreyoke/process/weightedRotation';
import type {Random} from 'sycamoreyoke/random';
import {createRandom} from 'sycamoreyoke/random';
import {UpstreamPool} from './connection/upstreamPool.js';
import {DecisionLog, createOutputWriter} from './process/decisionLog.js';
import type {MemoryLimits} from './process/memoryLimits.js';
import type {SidecarSettings} from './types.js';

export const TOKENS = {
  clock: Symbol('clock'),
  random: Symbol('random'),
  metrics: Symbol('metrics'),
  log: Symbol('log'),
  presence: Symbol('presence'),
  pool: Symbol('pool'),
  rotation: Symbol('rotation'),
} as const;

const LARGEST_SEED = 2 ** 31;

/** Binds the objects that depend only on the settings and the limits. */
export function createContainer(
  settings: SidecarSettings,
  memory: MemoryLimits,
): Container {
  const container = new Container({defaultScope: 'Singleton'});
  container.bind<Clock>(TOKENS.clock).toConstantValue(systemClock);
  container
    .bind<Random>(TOKENS.random)
    .toConstantValue(createRandom(randomInt(LARGEST_SEED)));
  container.bind(TOKENS.metrics).toConstantValue(new Metrics());
  container.bind(TOKENS.rotation).toConstantValue(new WeightedRotation());
  const getClock = () => container.get<Clock>(TOKENS.clock);
  container
    .bind(TOKENS.log)
    .toDynamicValue(
      () => new DecisionLog(settings.node, getClock(), createOutputWriter()),
    );
  container
    .bind(TOKENS.presence)
    .toDynamicValue(() => new UpstreamPresence(getClock()));
  container.bind(TOKENS.pool).toDynamicValue(
    () =>
      new UpstreamPool(
        settings.upstream,
        () => getClock().readMs(),
        (message) => {
          const {record} = container.get<DecisionLog>(TOKENS.log);
          record(EventCode.MESSAGE_MALFORMED, {source: 'upstream', message});
        },
        memory,
      ),
  );
  return container;
}
