import type {Importance} from 'sycamoreyoke/types';

/** A call of one service, and the calls that it makes in turn. */
export interface CallNode {
  readonly service: string;
  /** Mean time that the upstream itself works. */
  readonly ownMs: number;
  /** Made one after the other, half-way through the own work. */
  readonly calls: readonly CallNode[];
}

/** A kind of whole request. */
export interface RequestKind {
  readonly name: string;
  readonly importance: Importance;
  /** Requests a second outside the trigger. */
  readonly ratePerSecond: number;
  readonly timeoutMs: number;
  readonly root: CallNode;
}

/** Upstreams of one service. */
export interface ServiceSize {
  readonly name: string;
  readonly upstreams: number;
  readonly slots: number;
}

/** A deployment at its present size. */
export interface Deployment {
  readonly name: string;
  readonly dataCentres: readonly string[];
  /** One-way, between data centres. */
  readonly dataCentreLatencyMs: number;
  /** One-way, between callers and data centres. */
  readonly callerLatencyMs: number;
  readonly services: readonly ServiceSize[];
  readonly kinds: readonly RequestKind[];
  /** Service that is slow during the trigger. */
  readonly slowService: string;
}

/** Times of a run and the strength of its trigger. */
export interface Scenario {
  readonly triggerStartMs: number;
  readonly triggerEndMs: number;
  readonly endMs: number;
  /** Factor of the request rates during the trigger. */
  readonly surge: number;
  /** Factor of the service time of the slow service. */
  readonly slowdown: number;
  /** Announced slots as a share of the true ones, by upstream in turn. */
  readonly announcedShares: readonly number[];
  /** Sends of one request by its caller, the first included. */
  readonly callerSends: number;
}

/** The scenario of the policy targets. */
export const MAIN_SCENARIO: Scenario = {
  triggerStartMs: 3_000,
  triggerEndMs: 10_000,
  endMs: 16_000,
  surge: 2.5,
  slowdown: 3,
  announcedShares: [1],
  callerSends: 5,
};

/** The same, with announced slots that are wrong. */
export const WRONG_SLOTS_SCENARIO: Scenario = {
  ...MAIN_SCENARIO,
  announcedShares: [1, 2, 0.5],
};
