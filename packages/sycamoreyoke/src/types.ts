/** Types shared by the whole library. */

/** Outcome of a send, as far as it can be proven. */
export enum Outcome {
  /** The request was executed and its complete response is known. */
  DONE = 'done',
  /** This send was not executed and never will be. */
  NOT_RUN = 'not-run',
  /** The request may or may not have been executed. */
  UNKNOWN = 'unknown',
}

/** Why a send was answered without a response from the upstream. */
export enum RefusalReason {
  OVERLOADED = 'overloaded',
  DEADLINE = 'deadline',
  LEAVING = 'leaving',
  STARTING = 'starting',
  PAUSED = 'paused',
  CRASHING = 'crashing',
  MALFORMED = 'malformed',
  UNAUTHENTICATED = 'unauthenticated',
  FORBIDDEN = 'forbidden',
  TOO_LARGE = 'too-large',
  NO_MEMBER = 'no-member',
  WRONG_INCARNATION = 'wrong-incarnation',
  EXPIRED_PIN = 'expired-pin',
  EXPIRED_KEY = 'expired-key',
  SUPERSEDED = 'superseded',
  RECORDS_FULL = 'records-full',
  CLAIM_UNAVAILABLE = 'claim-unavailable',
  CLAIM_HELD = 'claim-held',
  CLAIM_OWNER_GONE = 'claim-owner-gone',
  CONNECTION_LOST = 'connection-lost',
  BAD_RESPONSE = 'bad-response',
  CANCELLED = 'cancelled',
}

/** Importance of a request class. Lower values are shed first. */
export enum Importance {
  LOW = 0,
  NORMAL = 1,
  HIGH = 2,
  CRITICAL = 3,
}

/** Mechanism that prevents a non-idempotent request from running twice. */
export enum RepeatGuard {
  /** No protection; the request is safe to repeat. */
  NONE = 'none',
  /** The request runs only on the node incarnation that the caller chose. */
  PIN = 'pin',
  /** The request runs only on the node that holds its row in the table. */
  CLAIM = 'claim',
}

/** Identity of a request, the same for all its sends. */
export interface RequestIdentity {
  readonly caller: string;
  readonly requestClass: string;
  readonly requestId: string;
}

/** Formats an identity as a map key. */
export function formatIdentity(identity: RequestIdentity): string {
  return `${identity.caller}/${identity.requestClass}/${identity.requestId}`;
}
