/** Checks whether a client's request is begun, and records what became of it. */
import type {Clock} from 'sycamoreyoke/clock';
import type {EventDetails, EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Metrics} from 'sycamoreyoke/process/metrics';
import {OriginAdmission} from 'sycamoreyoke/process/originAdmission';
import {
  PromisedReturns,
  ReturnSchedule,
} from 'sycamoreyoke/process/returnSchedule';
import type {Importance} from 'sycamoreyoke/types';
import type {Route} from 'sycamoreyoke/version/routeTable';
import type {RoutedRequest} from './originCall.js';

/** Dependencies of the check. */
export interface BeginCheckParts {
  readonly clock: Clock;
  readonly record: EventRecorder;
  readonly metrics: Metrics;
}

/** The part of a request that the check needs. */
export interface CheckedRequest {
  readonly requestId: string;
  readonly route: Route;
  readonly importance: Importance;
  /** Time left to the client, ms. */
  readonly leftMs: number;
  readonly account: string | undefined;
}

/** Shortest retry delay of a request that is not begun, ms. */
const MIN_RETURN_MS = 250;
/**
 * Part of the time left up to which a retry delay is advised. Clients honour a
 * third; the handler adds up to a half to each delay.
 */
const MAX_RETURN_PART = 0.22;
const INTERNAL_ERROR = 500;

/** Applies the admission of the library at the origin. */
export class BeginCheck {
  private readonly admission: OriginAdmission;
  private readonly returns = new ReturnSchedule();
  private readonly promises = new PromisedReturns();

  constructor(private readonly parts: BeginCheckParts) {
    this.admission = new OriginAdmission((kind, isThrottled) =>
      parts.record(EventCode.THROTTLE_CHANGED, {
        place: 'origin',
        kind,
        isThrottled,
      }),
    );
  }

  /** Returns the retry delay, ms, of a request that is not begun. */
  check(request: CheckedRequest): number | undefined {
    const {requestId, route, importance} = request;
    const nowMs = this.parts.clock.readMs();
    const {name} = route;
    const share = this.admission.readShare(name, nowMs);
    const earlyMs =
      share < 1 ? this.promises.computeLeftMs(requestId, nowMs) : 0;
    const isAdmitted =
      earlyMs === 0 && this.admission.admit({route: name, importance}, nowMs);
    if (isAdmitted) return undefined;
    const retryMs = earlyMs || this.reserveReturn(request, nowMs);
    this.recordRefusal(request, {
      share,
      isEarly: earlyMs > 0,
      retryMs: Math.round(retryMs),
    });
    return retryMs;
  }

  private reserveReturn(
    {requestId, route, importance, leftMs}: CheckedRequest,
    nowMs: number,
  ): number {
    const period = {
      firstMs: MIN_RETURN_MS,
      maxMs: leftMs * MAX_RETURN_PART,
      msPerReturn: this.admission.computeMsPerBegin(route.name),
    };
    const retryMs = this.returns.reserve(importance, period, nowMs);
    this.promises.add(requestId, nowMs + retryMs);
    return retryMs;
  }

  private recordRefusal(
    {requestId, route, importance, account}: CheckedRequest,
    details: EventDetails,
  ): void {
    const {name} = route;
    this.parts.metrics.count('requests_not_begun_total', {route: name});
    this.parts.record(
      EventCode.REQUEST_NOT_BEGUN,
      {route: name, importance, account: account ?? '', ...details},
      requestId,
    );
  }

  /** Records the status with which an upstream answered. */
  observe({route, importance, arrivedMs}: RoutedRequest, status: number): void {
    this.admission.observe({
      route: route.name,
      importance,
      succeeded: status < INTERNAL_ERROR,
      startedMs: arrivedMs,
      nowMs: this.parts.clock.readMs(),
    });
  }

  /** Counts the routes whose requests are begun only in part. */
  countThrottled(): number {
    return this.admission.listThrottled(this.parts.clock.readMs()).length;
  }
}
