import {DEFAULT_QUEUE_LIMIT} from './constants.js';
import type {WaitBoundFactory} from './waitBound.js';
import {createFixedBound} from './waitBound.js';
import type {WaitingOrder} from './waitQueue.js';
import {compareByDeadline, compareByNewest} from './waitQueue.js';

/** Settings of the admission policy of a gate. */
export interface GateParameters {
  /** Maximum number of queued requests. */
  readonly queueLimit: number;
  /** Order in which queued requests of one importance start. */
  readonly order: WaitingOrder;
  /**
   * Number of mean deviations added to the mean service time, to get the time
   * that must remain before the deadline.
   */
  readonly reservedDeviations: number;
  /** Creates the bound on the queueing time of requests below CRITICAL. */
  readonly createWaitBound: WaitBoundFactory;
  /**
   * Requests admitted per successful request, for a request kind whose own
   * calls are refused downstream. Infinity admits all.
   */
  readonly downstreamHeadroom: number;
}

/**
 * Maximizes goodput: a request may wait as long as it can still meet its
 * deadline.
 */
export const GOODPUT_PARAMETERS: GateParameters = {
  queueLimit: DEFAULT_QUEUE_LIMIT,
  order: compareByDeadline,
  reservedDeviations: 2,
  createWaitBound: createFixedBound(Infinity),
  downstreamHeadroom: 1.5,
};

/**
 * Keeps queues short, at 200 ms or less below CRITICAL, so that the backlog of
 * an overload is gone soon after it.
 */
export const RECOVERY_PARAMETERS: GateParameters = {
  queueLimit: DEFAULT_QUEUE_LIMIT,
  order: compareByNewest,
  reservedDeviations: 2,
  createWaitBound: createFixedBound(200),
  downstreamHeadroom: 2,
};
