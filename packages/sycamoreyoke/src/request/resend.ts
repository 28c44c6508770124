/** Decides what follows when a send of a request has ended without service. */

/** How a send to a node ended. */
export enum SendEnd {
  /** The upstream's complete response, whatever its status. */
  RESPONSE = 'response',
  /** The gate refused before it reached the upstream. */
  REFUSED_BY_GATE = 'refused-by-gate',
  /** The upstream itself said that it did not run the request. */
  REFUSED_BY_UPSTREAM = 'refused-by-upstream',
  /** The request may have run and there is no complete response. */
  LOST = 'lost',
}

/** What is known when a send has ended. */
export interface ResendQuestion {
  readonly end: SendEnd;
  readonly isIdempotent: boolean;
  /** Sends that may have run, this one included. */
  readonly runs: number;
  readonly maxAttempts: number;
  /** Sends of any kind, this one included. */
  readonly sends: number;
  /** Gates that refused because the time left is too short. */
  readonly lateRefusals: number;
  readonly leftMs: number;
  /** Every gate of the service refuses the request. */
  readonly isRefusedEverywhere: boolean;
}

export enum ResendDecision {
  /** Send it to another node; the upstream has not seen it. */
  SEND_FREELY = 'send-freely',
  /** Send it again if the retry budget of the service allows it. */
  SEND_ON_BUDGET = 'send-on-budget',
  /** Answer now: it has not run. */
  ANSWER_NOT_RUN = 'answer-not-run',
  /** Answer now: nobody knows whether it has run. */
  ANSWER_UNKNOWN = 'answer-unknown',
}

/** Sends of one request that gates may refuse before it is answered. */
const MAX_SENDS = 5;
/**
 * Gates that find the time left too short until the request is answered. All
 * reckon with the same service time; another may only have a shorter queue.
 */
const MAX_LATE_REFUSALS = 2;
/** With less time than this a further send has no hope, ms. */
const SHORTEST_SEND_MS = 20;

/** Decides on a send that did not end with a response. */
export function decideResend(question: ResendQuestion): ResendDecision {
  const {end, isIdempotent, runs, maxAttempts, sends, leftMs} = question;
  const hasRoom =
    sends < MAX_SENDS &&
    leftMs >= SHORTEST_SEND_MS &&
    !question.isRefusedEverywhere &&
    question.lateRefusals < MAX_LATE_REFUSALS;
  if (end === SendEnd.REFUSED_BY_GATE) {
    return hasRoom ? ResendDecision.SEND_FREELY : ResendDecision.ANSWER_NOT_RUN;
  }
  if (end === SendEnd.REFUSED_BY_UPSTREAM) {
    return hasRoom
      ? ResendDecision.SEND_ON_BUDGET
      : ResendDecision.ANSWER_NOT_RUN;
  }
  return hasRoom && runs < maxAttempts && isIdempotent
    ? ResendDecision.SEND_ON_BUDGET
    : ResendDecision.ANSWER_UNKNOWN;
}

/** The answer when the budget has no room for a further send. */
export function decideWithoutBudget(end: SendEnd): ResendDecision {
  return end === SendEnd.LOST
    ? ResendDecision.ANSWER_UNKNOWN
    : ResendDecision.ANSWER_NOT_RUN;
}
