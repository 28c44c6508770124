/** Calls that a failing deep service gets under each retry design. */
import {VirtualClock} from 'sycamoreyoke/clock';
import {reportByThrowing} from 'sycamoreyoke/invariants';
import {createRandom} from 'sycamoreyoke/random';
import type {Random} from 'sycamoreyoke/random';
import {RetryLedger} from 'sycamoreyoke/request/retryLedger';
import {decideRetry} from 'sycamoreyoke/request/retry';
import {Outcome, RefusalReason} from 'sycamoreyoke/types';

export enum RetryDesign {
  /** Every hop retries on its own. */
  EACH_HOP = 'each-hop',
  /** What is left is copied into the header of every attempt. */
  COPIED = 'copied',
  /** What is left is split among the attempts. */
  SPLIT = 'split',
}

/** One design at one depth. */
export interface AmplificationRow {
  readonly design: RetryDesign;
  /** Calls in the chain; the service behind the last one refuses all. */
  readonly depth: number;
  /** Calls to the failing service for one request. */
  readonly deepCalls: number;
  /** Calls to all services for one request. */
  readonly allCalls: number;
  /** Virtual time until the request gives up. */
  readonly elapsedMs: number;
}

const RETRIES = 3;
const MAX_DEPTH = 6;
const SERVICE_MS = 5;
const TIMEOUT_MS = 120_000;
const BACKOFF = {baseMs: 10, maxMs: 200};
const SEED = 51;

/** A request that descends a chain of services and fails at its end. */
class ChainRun {
  readonly clock = new VirtualClock();
  readonly deadline = TIMEOUT_MS;
  deepCalls = 0;
  allCalls = 0;

  constructor(
    private readonly design: RetryDesign,
    private readonly random: Random,
  ) {}

  /** Sends a call until nothing allows a retry; returns the used retries. */
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
          serviceMs: SERVICE_MS,
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
    this.clock.advance(SERVICE_MS);
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

  /** The service of the attempt makes its one call to the next. */
  private runRequest(granted: number, depth: number): number {
    const ledger = new RetryLedger(granted, reportByThrowing);
    const reservation = ledger.reserveCall();
    const used = this.sendCall(reservation.granted, depth);
    ledger.finishCall(reservation, used);
    return ledger.close();
  }
}

/** Measures all designs at each depth. */
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
