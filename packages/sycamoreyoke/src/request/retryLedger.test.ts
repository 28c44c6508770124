import {expect} from 'chai';
import fc from 'fast-check';
import {reportByThrowing} from '../invariants.js';
import type {Reservation} from './retryLedger.js';
import {RetryLedger} from './retryLedger.js';

enum Step {
  CALL = 'call',
  ATTEMPT = 'attempt',
  RETRY = 'retry',
  FINISH = 'finish',
  LOSE = 'lose',
}

const steps = fc.array(
  fc.record({step: fc.constantFrom(...Object.values(Step)), pick: fc.nat(50)}),
  {maxLength: 60},
);

// Guards against a retry that is counted twice or lost. The model represents
// each retry as a token and tracks its owner.
it('allowance: ledger agrees with a model of single tokens', () => {
  fc.assert(
    fc.property(fc.nat(20), steps, (granted, moves) => {
      const ledger = new RetryLedger(granted, reportByThrowing);
      const owners: Array<Reservation | 'free' | 'used'> =
        Array<'free'>(granted).fill('free');
      const reservations: Reservation[] = [];
      const assign = (count: number, to: Reservation | 'used') => {
        for (let left = count; left > 0; left -= 1) {
          owners[owners.indexOf('free')] = to;
        }
      };
      for (const {step, pick} of moves) {
        const free = owners.filter((owner) => owner === 'free').length;
        const chosen = reservations[pick % Math.max(1, reservations.length)];
        if (step === Step.CALL || step === Step.ATTEMPT) {
          const isCall = step === Step.CALL;
          const half = isCall ? Math.ceil(free / 2) : Math.floor(free / 2);
          const reservation = isCall
            ? ledger.reserveCall()
            : ledger.reserveAttempt();
          expect(reservation.granted).to.equal(half);
          assign(half, reservation);
          reservations.push(reservation);
        } else if (step === Step.RETRY) {
          expect(ledger.takeRetry()).to.equal(free > 0);
          assign(Math.min(1, free), 'used');
        } else if (chosen) {
          const used =
            step === Step.LOSE ? chosen.granted : pick % (chosen.granted + 1);
          if (step === Step.LOSE) ledger.recordLostResponse(chosen);
          else ledger.finishCall(chosen, used);
          let left = used;
          owners.forEach((owner, index) => {
            if (owner !== chosen) return;
            owners[index] = left > 0 ? 'used' : 'free';
            left -= 1;
          });
        }
        expect(ledger.readFreeRetries()).to.equal(
          owners.filter((owner) => owner === 'free').length,
        );
      }
      expect(ledger.close()).to.equal(
        owners.filter((owner) => owner !== 'free').length,
      );
      expect(ledger.reserveCall().granted).to.equal(0);
    }),
    {seed: 11, numRuns: 500},
  );
});

// Guards against a peer that increases the free retries by reporting an invalid
// number or more than it was granted.
it('allowance: an impossible report counts as fully used', () => {
  for (const used of [-1, 3, 0.5, Number.NaN]) {
    const reports: string[] = [];
    const ledger = new RetryLedger(3, (invariant) => reports.push(invariant));
    ledger.finishCall(ledger.reserveCall(), used);
    expect(ledger.readFreeRetries()).to.equal(1);
    expect(reports).to.have.length(1);
  }
});
