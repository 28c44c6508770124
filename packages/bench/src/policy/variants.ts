import {BUSY_FADE_MS} from 'sycamoreyoke/process/downstreamThrottle';
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

/** A combination of limiter, gate parameters, router and retry policy. */
export interface Variant {
  readonly name: string;
  readonly createLimiter: LimiterFactory;
  readonly parameters: GateParameters;
  readonly createRouter: RouterFactory;
  /** Whether the sender refuses a call that every gate would refuse. */
  readonly refusesEarly: boolean;
  /** If false, nodes ignore the importance and deadline of a request. */
  readonly knowsRequests: boolean;
  /** Retries by all nodes for one request; Infinity if limited per hop. */
  readonly allowance: number;
  /** Retries at each hop; Infinity if limited per request. */
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
    deviations: 0,
    createWaitBound: createFixedBound(Infinity),
    downstreamHeadroom: Infinity,
    downstreamFadeMs: BUSY_FADE_MS,
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

/** The product's policy in both leans, and a naive node as baseline. */
export const MAIN_VARIANTS: readonly Variant[] = [RECOVERY, GOODPUT, NAIVE];

/** Alternative limiters; also run with wrong announced slots. */
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

/** Ablations: the GOODPUT policy with one part replaced or removed. */
export const OTHER_VARIANTS: readonly Variant[] = [
  buildQueueVariant('no reserve for the service time', {deviations: -1e9}),
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
    downstreamFadeMs: BUSY_FADE_MS,
  }),
  {...GOODPUT, name: 'without early rejection', refusesEarly: false},
];
