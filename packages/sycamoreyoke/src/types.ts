/** Types shared by all life spans. */

/** How a send ended, as far as the system can prove it. */
export enum Outcome {
  /** The request ran and the complete response is known. */
  DONE = 'done',
  /** This send did not run and never will. */
  NOT_RUN = 'not-run',
  /** The request may or may not have run. */
  UNKNOWN = 'unknown',
}

/** Why a send was answered without a response of the upstream. */
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

/** Importance of a request class; a higher value is shed later. */
export enum Importance {
  LOW = 0,
  NORMAL = 1,
  HIGH = 2,
  CRITICAL = 3,
}

/** What keeps a non-idempotent request from running twice. */
export enum RepeatGuard {
  /** Safe to repeat; nothing guards it. */
  NONE = 'none',
  /** Runs only on the node incarnation that the caller chose. */
  PIN = 'pin',
  /** Runs only for the holder of a row in the platform's table. */
  CLAIM = 'claim',
}

/** Identity of a request across its sends. */
export interface RequestIdentity {
  readonly caller: string;
  readonly requestClass: string;
  readonly requestId: string;
}

/** Joins the parts of an identity into a map key. */
export function formatIdentity(identity: RequestIdentity): string {
  return `${identity.caller}/${identity.requestClass}/${identity.requestId}`;
}
