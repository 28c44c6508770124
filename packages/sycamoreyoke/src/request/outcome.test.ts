import {expect} from 'chai';
import fc from 'fast-check';
import {Outcome, RefusalReason} from '../types.js';
import type {SentAttempt} from './outcome.js';
import {
  SendPhase,
  computeNextAttempt,
  decideOutcome,
  isOtherNodeAllowed,
  mergeOutcomes,
} from './outcome.js';

const response = {status: 200, headers: {}, body: new Uint8Array()};
const answers = fc.constantFrom(
  undefined,
  {outcome: Outcome.DONE, response},
  {outcome: Outcome.NOT_RUN, reason: RefusalReason.OVERLOADED, nextAttempt: 9},
  {outcome: Outcome.UNKNOWN, reason: RefusalReason.CONNECTION_LOST},
);
const sends: fc.Arbitrary<SentAttempt[]> = fc
  .array(answers, {maxLength: 5})
  .map((list) =>
    list.map((answer, attempt) =>
      answer === undefined ? {attempt} : {attempt, answer},
    ),
  );

// Guards against a request reported as NOT_RUN although one of its sends may
// run. The model enumerates every execution that is consistent with the
// answers.
it('outcome: the combination holds for every possible truth', () => {
  const listPossibleRuns = (send: SentAttempt) => {
    if (send.answer?.outcome === Outcome.DONE) return [true];
    return send.answer?.outcome === Outcome.NOT_RUN ? [false] : [true, false];
  };
  fc.assert(
    fc.property(sends, (list) => {
      const possibleResults = list.reduce<boolean[]>(
        (ran, send) => [
          ...new Set(
            ran.flatMap((a) => listPossibleRuns(send).map((b) => a || b)),
          ),
        ],
        [false],
      );
      const merged = mergeOutcomes(list).outcome;
      const hasResponse = list.some((s) => s.answer?.outcome === Outcome.DONE);
      const expected = hasResponse ? Outcome.DONE : Outcome.UNKNOWN;
      expect(merged).to.equal(
        possibleResults.includes(true) ? expected : Outcome.NOT_RUN,
      );
      expect(isOtherNodeAllowed(list, false)).to.equal(
        !possibleResults.includes(true),
      );
      expect(isOtherNodeAllowed(list, true)).to.equal(true);
      for (const {attempt, answer} of list) {
        const minimum = Math.max(attempt + 1, answer?.nextAttempt ?? 0);
        expect(computeNextAttempt(list)).to.be.at.least(minimum);
      }
    }),
    {seed: 11, numRuns: 2_000},
  );
});

// Guards against a dispatched request that is reported as NOT_RUN.
it('outcome: after the dispatch no reason implies not-run', () => {
  for (const reason of Object.values(RefusalReason)) {
    const after = decideOutcome(reason, SendPhase.AFTER_DISPATCH);
    expect(after, reason).to.equal(Outcome.UNKNOWN);
  }
  const notRun = Object.values(RefusalReason).filter(
    (reason) =>
      decideOutcome(reason, SendPhase.BEFORE_DISPATCH) === Outcome.NOT_RUN,
  );
  expect(notRun).to.include(RefusalReason.CLAIM_UNAVAILABLE);
  expect(notRun).not.to.include(RefusalReason.WRONG_INCARNATION);
  expect(notRun).not.to.include(RefusalReason.EXPIRED_KEY);
});
