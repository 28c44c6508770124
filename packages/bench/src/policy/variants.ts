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
  readonly usesImportanceAndDeadline: boolean;
  /** Retries by all nodes for one request; Infinity if limited per hop. */
  readonly retriesPerRequest: number;
  /** Retries at each hop; Infinity if limited per request. */
  readonly retriesPerHop: number;
}

const createTwoChoiceRouter: RouterFactory = (clock, random, dataCentre) =>
  new TwoChoiceRouter({clock, random, dataCentre});

const GOODPUT_VARIANT: Variant = {
  name: 'ours, lean GOODPUT',
  createLimiter: createDefaultLimiter,
  parameters: GOODPUT_PARAMETERS,
  createRouter: createTwoChoiceRouter,
  refusesEarly: true,
  usesImportanceAndDeadline: true,
  retriesPerRequest: 3,
  retriesPerHop: Infinity,
};

const RECOVERY_VARIANT: Variant = {
  ...GOODPUT_VARIANT,
  name: 'ours, lean RECOVERY',
  parameters: RECOVERY_PARAMETERS,
};

const NAIVE_VARIANT: Variant = {
  ...GOODPUT_VARIANT,
  name: 'naive node',
  createLimiter: (slots) => new FixedLimiter(slots),
  parameters: {
    queueLimit: Infinity,
    order: compareByArrival,
    reservedDeviations: 0,
    createWaitBound: createFixedBound(Infinity),
    downstreamHeadroom: Infinity,
  },
  createRouter: () => new RoundRobinRouter(),
  refusesEarly: false,
  usesImportanceAndDeadline: false,
  retriesPerRequest: Infinity,
  retriesPerHop: 3,
};

function buildQueueVariant(
  name: string,
  change: Partial<GateParameters>,
): Variant {
  return {
    ...GOODPUT_VARIANT,
    name: `queue: ${name}`,
    parameters: {...GOODPUT_PARAMETERS, ...change},
  };
}

/** The product's policy in both leans, and a naive node as baseline. */
export const MAIN_VARIANTS: readonly Variant[] = [
  RECOVERY_VARIANT,
  GOODPUT_VARIANT,
  NAIVE_VARIANT,
];

/** Alternative limiters; also run with wrong announced slots. */
export const LIMITER_VARIANTS: readonly Variant[] = [
  {
    ...GOODPUT_VARIANT,
    name: 'limiter: fixed slots',
    createLimiter: (slots) => new FixedLimiter(slots),
  },
  {
    ...GOODPUT_VARIANT,
    name: 'limiter: AIMD',
    createLimiter: (slots) => new AimdLimiter(slots),
  },
  {
    ...GOODPUT_VARIANT,
    name: 'limiter: latency gradient',
    createLimiter: (slots) => new GradientLimiter(slots),
  },
];

/** Ablations: the GOODPUT policy with one part replaced or removed. */
export const ABLATION_VARIANTS: readonly Variant[] = [
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
    ...GOODPUT_VARIANT,
    name: 'routing: round robin',
    createRouter: () => new RoundRobinRouter(),
  },
  {
    ...GOODPUT_VARIANT,
    name: 'routing: least in flight',
    createRouter: () => new LeastInFlightRouter(),
  },
  buildQueueVariant('no throttle by downstream refusals', {
    downstreamHeadroom: Infinity,
  }),
  {...GOODPUT_VARIANT, name: 'without early rejection', refusesEarly: false},
];
