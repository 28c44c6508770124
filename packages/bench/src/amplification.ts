/** Computes how retries over several hops multiply, for each retry design. */
import {VirtualClock} from 'sycamoreyoke/clock';
import {reportByThrowing} from 'sycamoreyoke/invariants';
import {createRandom} from 'sycamoreyoke/random';
import type {Random} from 'sycamoreyoke/random';
import {RetryLedger} from 'sycamoreyoke/request/retryLedger';
import {decideRetry} from 'sycamoreyoke/request/retry';
import {Outcome, RefusalReason} from 'sycamoreyoke/types';

/** Ways to limit the retries of a request over several hops. */
export enum RetryDesign {
  /** Every hop has its own retry limit. */
  EACH_HOP = 'each-hop',
  /** Every attempt passes on a copy of the remaining allowance. */
  COPIED = 'copied',
  /** The remaining allowance is split among the attempts. */
  SPLIT = 'split',
}

/** Result of one design at one depth. */
export interface AmplificationRow {
  readonly design: RetryDesign;
  /** Calls in the chain; the last service refuses all of them. */
  readonly depth: number;
  /** Calls to the failing service for one request. */
  readonly deepCalls: number;
  /** Calls to all services for one request. */
  readonly allCalls: number;
  /** Virtual time in ms until the request fails for good. */
  readonly elapsedMs: number;
}

const RETRIES = 3;
const MAX_DEPTH = 6;
const SERVICE_TIME_MS = 5;
const TIMEOUT_MS = 120_000;
const BACKOFF = {baseMs: 10, maxMs: 200};
const SEED = 51;

/** A request through a chain of services, the last of which always fails. */
class ChainRun {
  readonly clock = new VirtualClock();
  readonly deadline = TIMEOUT_MS;
  deepCalls = 0;
  allCalls = 0;

  constructor(
    private readonly design: RetryDesign,
    private readonly random: Random,
  ) {}

  /** Sends a call, with all allowed retries, and returns the retries spent. */
  sendCall(granted: number, depth: number): number {
    const ledger = new RetryLedger(granted, reportByThrowing);
    for (let attempt = 0; ; attempt += 1) {
      this.sendAttempt(ledger, depth);
      const decision = decideRetry(
        {
          outcome: Outcome.NOT_RUN,
          reason: RefusalReason.OVERLOADED,
          isIdempotent: true,
          attempt,
          allowance: ledger.readFreeRetries(),
          nowMs: this.clock.readMs(),
          deadline: this.deadline,
          serviceMs: SERVICE_TIME_MS,
        },
        BACKOFF,
        this.random,
      );
      if (!decision.isRetried || !ledger.takeRetry()) return ledger.close();
      this.clock.advance(decision.delayMs);
    }
  }

  private sendAttempt(ledger: RetryLedger, depth: number): void {
    this.allCalls += 1;
    this.clock.advance(SERVICE_TIME_MS);
    if (depth === 1) {
      this.deepCalls += 1;
      return;
    }
    if (this.design === RetryDesign.SPLIT) {
      const reservation = ledger.reserveAttempt();
      const used = this.runRequest(reservation.granted, depth - 1);
      ledger.finishCall(reservation, used);
      return;
    }
    const isCopied = this.design === RetryDesign.COPIED;
    this.sendCall(isCopied ? ledger.readFreeRetries() : RETRIES, depth - 1);
  }

  /**
   * Handles a request in a service that makes one call to the next service.
   * Returns the retries spent.
   */
  private runRequest(granted: number, depth: number): number {
    const ledger = new RetryLedger(granted, reportByThrowing);
    const reservation = ledger.reserveCall();
    const used = this.sendCall(reservation.granted, depth);
    ledger.finishCall(reservation, used);
    return ledger.close();
  }
}

/** Runs every design at each depth from 1 to 6. */
export function measureAmplification(): AmplificationRow[] {
  const rows: AmplificationRow[] = [];
  for (const design of Object.values(RetryDesign)) {
    for (let depth = 1; depth <= MAX_DEPTH; depth += 1) {
      const run = new ChainRun(design, createRandom(SEED));
      run.sendCall(RETRIES, depth);
      rows.push({
        design,
        depth,
        deepCalls: run.deepCalls,
        allCalls: run.allCalls,
        elapsedMs: Math.round(run.clock.readMs()),
      });
    }
  }
  return rows;
}
