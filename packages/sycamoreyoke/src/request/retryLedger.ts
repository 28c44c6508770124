/** Accounting of the retries that one request may use. */
import type {InvariantReporter} from '../invariants.js';
import {Invariant} from '../invariants.js';

/** Retries reserved for one call or one attempt. */
export interface Reservation {
  /** Retries that the call may use; sent as its allowance header. */
  readonly granted: number;
}

/**
 * Accounts for the retries that a request was granted. Each retry is in exactly
 * one state: free, reserved or used. A reserved retry becomes free again only
 * when a response arrives that proves it unused.
 *
 * The gate keeps a ledger for the calls of a running request, the egress for
 * the attempts of one call, and the caller library for its own resends.
 */
export class RetryLedger {
  private freeRetries: number;
  private readonly openReservations = new Set<Reservation>();

  constructor(
    readonly granted: number,
    private readonly report: InvariantReporter,
  ) {
    this.freeRetries = granted;
  }

  /** Retries that are neither used nor reserved. */
  readFreeRetries(): number {
    return this.freeRetries;
  }

  /**
   * Retries that are used or still reserved; sent as the retries response
   * header.
   */
  readUsedRetries(): number {
    return this.granted - this.freeRetries;
  }

  /**
   * Reserves half of the free retries, rounded up, for a call of the running
   * request to another service.
   */
  reserveCall(): Reservation {
    return this.reserve(Math.ceil(this.freeRetries / 2));
  }

  /**
   * Reserves half of the free retries for one attempt of a call. Rounds down,
   * so that a ledger with a single retry can still resend after a lost
   * response.
   */
  reserveAttempt(): Reservation {
    return this.reserve(Math.floor(this.freeRetries / 2));
  }

  /** Reserves all free retries. */
  reserveAll(): Reservation {
    return this.reserve(this.freeRetries);
  }

  /** Uses one retry for a resend. Returns false if none is free. */
  takeRetry(): boolean {
    if (this.freeRetries === 0) return false;
    this.freeRetries -= 1;
    return true;
  }

  /**
   * Frees the unused retries of a call whose response arrived. If the reported
   * number is not an integer from 0 to the number granted, the violation is
   * reported and all retries of the call count as used.
   */
  finishCall(reservation: Reservation, used: number): void {
    if (!this.openReservations.delete(reservation)) return;
    if (!Number.isInteger(used) || used < 0 || used > reservation.granted) {
      this.report(
        Invariant.RETRIES_BOUNDED,
        `a call reported ${used} retries of ${reservation.granted} granted`,
      );
      return;
    }
    this.freeRetries += reservation.granted - used;
  }

  /** Counts all retries of a call whose response was lost as used. */
  recordLostResponse(reservation: Reservation): void {
    this.openReservations.delete(reservation);
  }

  /**
   * Closes the ledger and returns the number of used retries. All retries of
   * calls that are still open count as used, since their responses would arrive
   * after this number has been reported.
   */
  close(): number {
    const used = this.readUsedRetries();
    this.openReservations.clear();
    this.freeRetries = 0;
    return used;
  }

  private reserve(granted: number): Reservation {
    const reservation: Reservation = {granted};
    this.freeRetries -= granted;
    this.openReservations.add(reservation);
    return reservation;
  }
}
