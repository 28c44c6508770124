/** The retry ledger of one running request. */
import type {InvariantReporter} from '../invariants.js';
import {Invariant} from '../invariants.js';

/** A part of an allowance that is set aside for one call. */
export interface Reservation {
  /** Retries that the call may use; the allowance header of the call. */
  readonly granted: number;
}

/**
 * Accounts for the retries that a request was granted. Each retry is in one
 * place: free, reserved for a call, or used. A retry that is reserved moves
 * back to the free ones only when the response that proves it unused arrives.
 *
 * Used by a gate for the calls of a running request, by an egress for the
 * attempts of one call, and by the caller library for its own resends.
 */
export class RetryLedger {
  private free: number;
  private readonly open = new Set<Reservation>();

  constructor(
    readonly granted: number,
    private readonly report: InvariantReporter,
  ) {
    this.free = granted;
  }

  /** Retries that are neither used nor reserved. */
  readFree(): number {
    return this.free;
  }

  /** Retries that are used or still reserved; the retries response header. */
  readUsed(): number {
    return this.granted - this.free;
  }

  /** Reserves a part for a call of the running request to another service. */
  reserveCall(): Reservation {
    return this.reserve(Math.ceil(this.free / 2));
  }

  /**
   * Reserves a part for one attempt of a call. Rounds down, so that a ledger
   * with one retry can still resend after a lost response.
   */
  reserveAttempt(): Reservation {
    return this.reserve(Math.floor(this.free / 2));
  }

  /** Reserves everything that is free. */
  reserveAll(): Reservation {
    return this.reserve(this.free);
  }

  /** Uses one retry for a resend; false when none is free. */
  takeRetry(): boolean {
    if (this.free === 0) return false;
    this.free -= 1;
    return true;
  }

  /** Returns the unused part of a call whose response arrived. */
  finishCall(reservation: Reservation, used: number): void {
    if (!this.open.delete(reservation)) return;
    if (!Number.isInteger(used) || used < 0 || used > reservation.granted) {
      this.report(
        Invariant.RETRIES_BOUNDED,
        `a call reported ${used} retries of ${reservation.granted} granted`,
      );
      return;
    }
    this.free += reservation.granted - used;
  }

  /** Counts a call whose response is lost as fully used. */
  recordLost(reservation: Reservation): void {
    this.open.delete(reservation);
  }

  /**
   * Ends the ledger and returns the used retries. Calls that are still open
   * count as fully used: their responses arrive after the report.
   */
  close(): number {
    const used = this.readUsed();
    this.open.clear();
    this.free = 0;
    return used;
  }

  private reserve(granted: number): Reservation {
    const reservation: Reservation = {granted};
    this.free -= granted;
    this.open.add(reservation);
    return reservation;
  }
}
