import {expect} from 'chai';
import fc from 'fast-check';
import {createRandom} from '../random.js';
import {Outcome, RefusalReason} from '../types.js';
import {createDeadline, computeHopTimeout} from './deadline.js';
import type {RetryContext} from './retry.js';
import {NoRetryReason, decideRetry} from './retry.js';

const BACKOFF = {baseMs: 10, maxMs: 200};
const times = fc.nat(1_000);

const questions: fc.Arbitrary<RetryContext> = fc
  .record({
    outcome: fc.constantFrom(...Object.values(Outcome)),
    isIdempotent: fc.boolean(),
    attempt: fc.nat(1_000),
    allowance: fc.nat(2),
    nowMs: times,
    deadline: fc.nat(5_000),
    serviceMs: times,
    reason: fc.constantFrom(...Object.values(RefusalReason), undefined),
    retryAfterMs: fc.option(times, {nil: undefined}),
  })
  .map((question) => question as RetryContext);

// Guards against a second execution of a request that may have run, and against
// a retry that exceeds the allowance, precedes retry-after or cannot complete
// before the deadline.
it('retry: only what is safe, granted and in time is retried', () => {
  const random = createRandom(31);
  let retried = 0;
  fc.assert(
    fc.property(questions, (question) => {
      const decision = decideRetry(question, BACKOFF, random);
      const isSafe =
        question.outcome === Outcome.NOT_RUN ||
        (question.outcome === Outcome.UNKNOWN && question.isIdempotent);
      if (!decision.isRetried) return;
      retried += 1;
      expect(isSafe).to.equal(true);
      expect(question.allowance).to.be.above(0);
      const minDelayMs = question.retryAfterMs ?? 0;
      expect(decision.delayMs).to.be.within(
        minDelayMs,
        minDelayMs + BACKOFF.maxMs,
      );
      const endMs = question.nowMs + decision.delayMs + question.serviceMs;
      expect(endMs).to.be.below(question.deadline);
    }),
    {seed: 31, numRuns: 5_000},
  );
  expect(retried).to.be.above(250);
});

// Guards against retrying a request that every node would refuse.
it('retry: a permanent refusal is not retried', () => {
  const question = {
    outcome: Outcome.NOT_RUN,
    reason: RefusalReason.CRASHING,
    isIdempotent: true,
    attempt: 0,
    allowance: 3,
    nowMs: 0,
    deadline: 1_000,
    serviceMs: 1,
  };
  const decision = decideRetry(question, BACKOFF, createRandom(32));
  expect(decision).to.deep.equal({
    isRetried: false,
    reason: NoRetryReason.PERMANENT,
  });
});

// Guards against a hop that extends the timeout or times out after its caller.
it('deadline: the timeout shrinks on every hop', () => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 120_000}),
      times,
      (timeoutMs, nowMs) => {
        const deadline = createDeadline(nowMs, 60_000, timeoutMs);
        const next = computeHopTimeout(deadline, nowMs + 0.5);
        if (next === undefined) expect(timeoutMs).to.be.below(4);
        else expect(next).to.be.within(1, Math.min(timeoutMs, 60_000) - 2);
      },
    ),
    {seed: 33},
  );
});
