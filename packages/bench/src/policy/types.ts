import type {Importance} from 'sycamoreyoke/types';

/** A call to a service, with the calls that its upstream makes to serve it. */
export interface CallTree {
  readonly service: string;
  /** Mean processing time on the upstream, without child calls. */
  readonly processingMs: number;
  /** Made one after the other, half-way through the processing time. */
  readonly childCalls: readonly CallTree[];
}

/** A kind of request that callers send. */
export interface RequestKind {
  readonly name: string;
  readonly importance: Importance;
  /** Requests per second outside the trigger, from all callers. */
  readonly ratePerSecond: number;
  readonly timeoutMs: number;
  readonly rootCall: CallTree;
}

/** Number of upstreams of a service and slots of each. */
export interface ServiceSize {
  readonly name: string;
  readonly upstreams: number;
  readonly slots: number;
}

/** A deployment: its data centres, services and load. */
export interface Deployment {
  readonly name: string;
  readonly dataCentres: readonly string[];
  /** One-way latency between data centres. */
  readonly dataCentreLatencyMs: number;
  /** One-way latency between callers and data centres. */
  readonly callerLatencyMs: number;
  readonly services: readonly ServiceSize[];
  readonly kinds: readonly RequestKind[];
  /** Service that is slow during the trigger. */
  readonly slowService: string;
}

/** Timing of a run, and the overload that its trigger causes. */
export interface Scenario {
  readonly triggerStartMs: number;
  readonly triggerEndMs: number;
  readonly endMs: number;
  /** Factor applied to the request rates during the trigger. */
  readonly surgeFactor: number;
  /** Factor on the processing time of the slow service in the trigger. */
  readonly slowdownFactor: number;
  /** Announced slots / actual slots, assigned cyclically to the upstreams. */
  readonly announcedSlotShares: readonly number[];
  /** Maximum sends of one request by its caller, including the first. */
  readonly maxSends: number;
}

/** The scenario to which the policy targets apply. */
export const MAIN_SCENARIO: Scenario = {
  triggerStartMs: 3_000,
  triggerEndMs: 10_000,
  endMs: 16_000,
  surgeFactor: 2.5,
  slowdownFactor: 3,
  announcedSlotShares: [1],
  maxSends: 5,
};

/** The main scenario, with upstreams that announce a wrong slot count. */
export const WRONG_SLOTS_SCENARIO: Scenario = {
  ...MAIN_SCENARIO,
  announcedSlotShares: [1, 2, 0.5],
};
