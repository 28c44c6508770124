/** Decides at the origin which requests are begun while their calls fail. */
import type {Importance} from '../types.js';
import {DownstreamThrottle} from './downstreamThrottle.js';
import type {
  ThrottleChangeHandler,
  ThrottledKind,
  ThrottleParameters,
} from './downstreamThrottle.js';
import {FailureDetector} from './failureDetector.js';

/**
 * Parameters for an origin with few requests of a route per second. It is
 * opened after fewer successes than a gate, since a wrong start costs only the
 * requests until the next two failures.
 */
const ORIGIN_THROTTLE: ThrottleParameters = {
  headroom: 1.5,
  probeIntervalMs: 1_000,
  minResultsToClose: Infinity,
  minResults: 2,
  seriesChance: 0.02,
  creditPerSuccess: 1.5,
};

/** A request that a client sends to the origin. */
export interface OriginRequest {
  /** Name of the route. */
  readonly route: string;
  readonly importance: Importance;
}

/** Result of a request that an upstream has run. */
export interface OriginResult extends OriginRequest {
  /** Whether the upstream answered with a status below 500. */
  readonly succeeded: boolean;
  readonly startedMs: number;
  readonly nowMs: number;
}

interface RouteState {
  readonly route: string;
  readonly detector: FailureDetector;
  importance: Importance;
}

/**
 * Refuses requests whose calls will probably fail, instead of beginning them
 * and failing after work at several services. The load is a route, any of its
 * importances included, whose upstreams answer with 500 because a service
 * further down rejects calls or is short of capacity, at origins that see one
 * to ten requests of the route per second.
 *
 * A route without evidence is not throttled. The admitted share follows the
 * successes of the requests that were begun, and so what the services further
 * down and the retries can finish. The less important route is throttled first:
 * a more important one only if it still fails afterwards. While a more
 * important one succeeds again, a less important one is admitted no more.
 */
export class OriginAdmission {
  private readonly routes = new Map<string, RouteState>();
  private readonly throttled = new Set<RouteState>();
  private readonly throttle: DownstreamThrottle;

  constructor(handleChange?: ThrottleChangeHandler) {
    this.throttle = new DownstreamThrottle(ORIGIN_THROTTLE, handleChange);
  }

  /** Decides whether to begin a request of a client. */
  admit({route, importance}: OriginRequest, nowMs: number): boolean {
    if (this.throttled.size === 0) return true;
    const state = this.routes.get(route);
    if (!state || !this.throttled.has(state)) return true;
    this.refresh(state, nowMs);
    if (!this.throttled.has(state)) return true;
    const maxShare = this.computeMaxShare(importance, nowMs);
    return this.throttle.admit(route, nowMs, maxShare);
  }

  /** Records the result of a request, also of a call that an upstream makes. */
  observe(result: OriginResult): void {
    const {route, importance, succeeded, startedMs, nowMs} = result;
    const state = this.readState(route, importance);
    this.refresh(state, nowMs);
    if (this.throttled.has(state)) {
      this.throttle.observe({kind: route, succeeded, startedMs, nowMs});
      if (succeeded) this.advanceProbes(nowMs);
      this.refresh(state, nowMs);
    } else if (state.detector.observe(succeeded, startedMs)) {
      this.closeLeastImportant(state, nowMs);
    }
  }

  /** Returns the admitted share of the route. */
  readShare(route: string, nowMs: number): number {
    return this.throttle.readShare(route, nowMs);
  }

  /**
   * Returns the time in which one more request of the route can be begun, ms,
   * at the recent pace.
   */
  computeMsPerBegin(route: string): number {
    return this.throttle.computeMsPerAdmitted(route);
  }

  /** Lists the routes that are throttled now. */
  listThrottled(nowMs: number): readonly ThrottledKind[] {
    return this.throttle.listThrottled(nowMs);
  }

  /**
   * Throttles the less important routes that fail too; the route itself only
   * if there are none.
   */
  private closeLeastImportant(state: RouteState, nowMs: number): void {
    const open = [...this.routes.values()].filter(
      (other) =>
        other.importance < state.importance &&
        !this.throttled.has(other) &&
        other.detector.isSuspicious(),
    );
    for (const other of open.length > 0 ? open : [state]) {
      this.throttled.add(other);
      this.throttle.close(other.route, nowMs);
      other.detector.reset(nowMs);
    }
    state.detector.reset(nowMs);
  }

  /** A success of one route may be the end of the fault of all. */
  private advanceProbes(nowMs: number): void {
    for (const {route} of this.throttled) {
      this.throttle.advanceProbe(route, nowMs);
    }
  }

  /** The share of the more important routes that succeed again. */
  private computeMaxShare(importance: Importance, nowMs: number): number {
    let share = 1;
    for (const other of this.throttled) {
      if (other.importance <= importance) continue;
      if (!this.throttle.isSucceeding(other.route)) continue;
      share = Math.min(share, this.throttle.readShare(other.route, nowMs));
    }
    return share;
  }

  private refresh(state: RouteState, nowMs: number): void {
    if (!this.throttled.has(state)) return;
    if (this.throttle.readShare(state.route, nowMs) < 1) return;
    this.throttled.delete(state);
    state.detector.reset(nowMs);
  }

  private readState(route: string, importance: Importance): RouteState {
    let state = this.routes.get(route);
    if (!state) {
      state = {route, importance, detector: new FailureDetector()};
      this.routes.set(route, state);
    }
    state.importance = importance;
    return state;
  }
}
