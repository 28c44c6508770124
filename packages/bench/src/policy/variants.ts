import {BUSY_DECAY_MS} from 'sycamoreyoke/process/downstreamThrottle';
import type {Clock} from 'sycamoreyoke/clock';
import {
  LeastInFlightRouter,
  RoundRobinRouter,
} from 'sycamoreyoke/process/baselineRouters';
import type {GateParameters} from 'sycamoreyoke/process/gateParameters';
import {
  GOODPUT_PARAMETERS,
  RECOVERY_PARAMETERS,
} from 'sycamoreyoke/process/gateParameters';
import type {LimiterFactory} from 'sycamoreyoke/process/limiter';
import {
  AimdLimiter,
  createDefaultLimiter,
  FixedLimiter,
  GradientLimiter,
} from 'sycamoreyoke/process/limiter';
import {TwoChoiceRouter} from 'sycamoreyoke/process/router';
import type {Router} from 'sycamoreyoke/process/types';
import {
  createCodelBound,
  createFixedBound,
} from 'sycamoreyoke/process/waitBound';
import {
  compareByArrival,
  compareByNewest,
} from 'sycamoreyoke/process/waitQueue';
import type {Random} from 'sycamoreyoke/random';

/** Creates the router of one egress. */
export type RouterFactory = (
  clock: Clock,
  random: Random,
  dataCentre: string,
) => Router;

/** A way to run a deployment. */
export interface Variant {
  readonly name: string;
  readonly createLimiter: LimiterFactory;
  readonly parameters: GateParameters;
  readonly createRouter: RouterFactory;
  /** Refuse at the origin what every gate would refuse. */
  readonly refusesEarly: boolean;
  /** Without these a node knows neither importance nor deadline. */
  readonly knowsRequests: boolean;
  /** Retries of a whole request; unlimited for a number at each hop. */
  readonly allowance: number;
  /** Retries at each hop, for a node without an allowance. */
  readonly retriesPerHop: number;
}

const createTwoChoice: RouterFactory = (clock, random, dataCentre) =>
  new TwoChoiceRouter({clock, random, dataCentre});

const GOODPUT: Variant = {
  name: 'ours, lean GOODPUT',
  createLimiter: createDefaultLimiter,
  parameters: GOODPUT_PARAMETERS,
  createRouter: createTwoChoice,
  refusesEarly: true,
  knowsRequests: true,
  allowance: 3,
  retriesPerHop: Infinity,
};

const RECOVERY: Variant = {
  ...GOODPUT,
  name: 'ours, lean RECOVERY',
  parameters: RECOVERY_PARAMETERS,
};

const NAIVE: Variant = {
  ...GOODPUT,
  name: 'naive node',
  createLimiter: (slots) => new FixedLimiter(slots),
  parameters: {
    queueLimit: Infinity,
    order: compareByArrival,
    reservedDeviations: 0,
    createWaitBound: createFixedBound(Infinity),
    downstreamHeadroom: Infinity,
    downstreamDecayMs: BUSY_DECAY_MS,
  },
  createRouter: () => new RoundRobinRouter(),
  refusesEarly: false,
  knowsRequests: false,
  allowance: Infinity,
  retriesPerHop: 3,
};

function buildQueueVariant(
  name: string,
  change: Partial<GateParameters>,
): Variant {
  return {
    ...GOODPUT,
    name: `queue: ${name}`,
    parameters: {...GOODPUT_PARAMETERS, ...change},
  };
}

/** Both leans and the naive node. */
export const MAIN_VARIANTS: readonly Variant[] = [RECOVERY, GOODPUT, NAIVE];

/** Limiters; also run with announced slots that are wrong. */
export const LIMITER_VARIANTS: readonly Variant[] = [
  {
    ...GOODPUT,
    name: 'limiter: fixed slots',
    createLimiter: (slots) => new FixedLimiter(slots),
  },
  {
    ...GOODPUT,
    name: 'limiter: AIMD',
    createLimiter: (slots) => new AimdLimiter(slots),
  },
  {
    ...GOODPUT,
    name: 'limiter: latency gradient',
    createLimiter: (slots) => new GradientLimiter(slots),
  },
];

/** One part of the chosen policy replaced at a time. */
export const OTHER_VARIANTS: readonly Variant[] = [
  buildQueueVariant('no reserve for the service time', {
    reservedDeviations: -1e9,
  }),
  buildQueueVariant('order of arrival', {order: compareByArrival}),
  buildQueueVariant('newest first', {order: compareByNewest}),
  buildQueueVariant('CoDel, newest first', {
    order: compareByNewest,
    createWaitBound: createCodelBound,
  }),
  {
    ...GOODPUT,
    name: 'routing: round robin',
    createRouter: () => new RoundRobinRouter(),
  },
  {
    ...GOODPUT,
    name: 'routing: least in flight',
    createRouter: () => new LeastInFlightRouter(),
  },
  buildQueueVariant('no throttle by downstream refusals', {
    downstreamHeadroom: Infinity,
    downstreamDecayMs: BUSY_DECAY_MS,
  }),
  {...GOODPUT, name: 'without early rejection', refusesEarly: false},
];
