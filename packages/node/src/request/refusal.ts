/** Answers that the node itself gives instead of an upstream response. */
import {SycamoreyokeError} from 'sycamoreyoke/errors';
import type {SendAnswer} from 'sycamoreyoke/request/outcome';
import {createRefusalAnswer} from 'sycamoreyoke/request/outcome';
import {RefusalReason} from 'sycamoreyoke/types';

/** Thrown to end the handling of a request with an answer of the node. */
export class RefusedRequestError extends SycamoreyokeError {
  constructor(
    readonly answer: SendAnswer,
    message: string,
  ) {
    super(message);
  }
}

/** Creates a refusal of a request that has not been dispatched. */
export function createRefusal(
  reason: RefusalReason,
  message: string,
): RefusedRequestError {
  return new RefusedRequestError(createRefusalAnswer(reason), message);
}

/** HTTP status code of a refusal. */
export function getRefusalStatus(reason: RefusalReason | undefined): number {
  switch (reason) {
    case RefusalReason.MALFORMED:
      return 400;
    case RefusalReason.UNAUTHENTICATED:
      return 401;
    case RefusalReason.FORBIDDEN:
      return 403;
    case RefusalReason.TOO_LARGE:
      return 413;
    case RefusalReason.DEADLINE:
      return 504;
    case RefusalReason.CONNECTION_LOST:
    case RefusalReason.BAD_RESPONSE:
    case RefusalReason.WRONG_INCARNATION:
    case RefusalReason.EXPIRED_PIN:
    case RefusalReason.EXPIRED_KEY:
    case RefusalReason.CLAIM_OWNER_GONE:
    case RefusalReason.CLAIM_HELD:
      return 502;
    default:
      return 503;
  }
}
