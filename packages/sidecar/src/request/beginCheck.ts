/** Checks whether a client's request is begun, and records what became of it. */
import type {Clock} from 'sycamoreyoke/clock';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Metrics} from 'sycamoreyoke/process/metrics';
import {OriginAdmission} from 'sycamoreyoke/process/originAdmission';
import type {RoutedRequest} from './originCall.js';

/** Dependencies of the check. */
export interface BeginCheckParts {
  readonly clock: Clock;
  readonly record: EventRecorder;
  readonly metrics: Metrics;
}

/** The part of a request that the check needs. */
export type CheckedRequest = Pick<
  RoutedRequest,
  'requestId' | 'route' | 'importance'
>;

/**
 * Retry delay advised to clients of a route whose requests fail further down;
 * such faults last for seconds.
 */
const UNBEGUN_RETRY_MS = 1_000;
const INTERNAL_ERROR = 500;

/** Applies the admission of the library at the origin. */
export class BeginCheck {
  private readonly admission = new OriginAdmission();

  constructor(private readonly parts: BeginCheckParts) {}

  /** Returns the retry delay, ms, of a request that is not begun. */
  check({requestId, route, importance}: CheckedRequest): number | undefined {
    const {clock, metrics, record} = this.parts;
    const nowMs = clock.readMs();
    const {name} = route;
    if (this.admission.admit({route: name, importance}, nowMs)) {
      return undefined;
    }
    const share = this.admission.readShare(name, nowMs);
    metrics.count('requests_not_begun_total', {route: name});
    const details = {route: name, importance, share};
    record(EventCode.REQUEST_NOT_BEGUN, details, requestId);
    return UNBEGUN_RETRY_MS;
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
