/** Decides how to proceed after a send that ended without a response. */

/** How a send to a node ended. */
export enum SendEnd {
  /** A complete response of the upstream, with any status. */
  RESPONSE = 'response',
  /** Refused by the gate before it reached the upstream. */
  REFUSED_BY_GATE = 'refused-by-gate',
  /** The upstream reported that it did not run the request. */
  REFUSED_BY_UPSTREAM = 'refused-by-upstream',
  /** The request may have run, but there is no complete response. */
  LOST = 'lost',
}

/** State of a request after one of its sends has ended. */
export interface ResendContext {
  readonly end: SendEnd;
  readonly isIdempotent: boolean;
  /** Number of sends that may have run, including this one. */
  readonly runs: number;
  readonly maxAttempts: number;
  /** Number of all sends, including this one. */
  readonly sends: number;
  /** Number of gates that refused because too little time is left. */
  readonly deadlineRefusals: number;
  readonly leftMs: number;
  /** Every gate of the service would refuse the request. */
  readonly isRefusedEverywhere: boolean;
}

export enum ResendDecision {
  /** Send to another node; the request has not reached an upstream. */
  SEND_FREELY = 'send-freely',
  /** Send again if the retry budget of the service allows it. */
  SEND_ON_BUDGET = 'send-on-budget',
  /** Answer that the request has not run. */
  ANSWER_NOT_RUN = 'answer-not-run',
  /** Answer that it is unknown whether the request has run. */
  ANSWER_UNKNOWN = 'answer-unknown',
}

/** Maximum sends of one request, including those that a gate refused. */
const MAX_SENDS_PER_REQUEST = 5;
/**
 * Number of gates that may refuse a request for lack of time before it is
 * answered. All gates assume the same service time, so that another one could
 * only have a shorter queue.
 */
const MAX_DEADLINE_REFUSALS = 2;
/** With less time left, another send cannot succeed. */
const MIN_SEND_TIME_MS = 20;

/** Decides how to proceed after a send that ended without a response. */
export function decideResend(context: ResendContext): ResendDecision {
  const {end, isIdempotent, runs, maxAttempts, sends, leftMs} = context;
  const canSendAgain =
    sends < MAX_SENDS_PER_REQUEST &&
    leftMs >= MIN_SEND_TIME_MS &&
    !context.isRefusedEverywhere &&
    context.deadlineRefusals < MAX_DEADLINE_REFUSALS;
  if (end === SendEnd.REFUSED_BY_GATE) {
    return canSendAgain
      ? ResendDecision.SEND_FREELY
      : ResendDecision.ANSWER_NOT_RUN;
  }
  if (end === SendEnd.REFUSED_BY_UPSTREAM) {
    return canSendAgain
      ? ResendDecision.SEND_ON_BUDGET
      : ResendDecision.ANSWER_NOT_RUN;
  }
  return canSendAgain && runs < maxAttempts && isIdempotent
    ? ResendDecision.SEND_ON_BUDGET
    : ResendDecision.ANSWER_UNKNOWN;
}

/** Decides on the answer if the retry budget does not allow another send. */
export function decideWhenBudgetExhausted(end: SendEnd): ResendDecision {
  return end === SendEnd.LOST
    ? ResendDecision.ANSWER_UNKNOWN
    : ResendDecision.ANSWER_NOT_RUN;
}
