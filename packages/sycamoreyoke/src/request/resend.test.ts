import {expect} from 'chai';
import type {ResendContext} from './resend.js';
import {ResendDecision, SendEnd, decideResend} from './resend.js';

const CONTEXT: ResendContext = {
  end: SendEnd.LOST,
  isIdempotent: true,
  runs: 1,
  maxAttempts: 2,
  sends: 1,
  deadlineRefusals: 0,
  leftMs: 1_000,
  isRefusedEverywhere: false,
};

function decide(changes: Partial<ResendContext>) {
  return decideResend({...CONTEXT, ...changes});
}

// Guards against a non-idempotent request that runs twice.
it('resend: a request that may have run is resent only if idempotent', () => {
  const nonIdempotent = {isIdempotent: false};
  expect(decide(nonIdempotent)).to.equal(ResendDecision.ANSWER_UNKNOWN);
  expect(decide({})).to.equal(ResendDecision.SEND_ON_BUDGET);
  expect(decide({...nonIdempotent, end: SendEnd.REFUSED_BY_UPSTREAM})).to.equal(
    ResendDecision.SEND_ON_BUDGET,
  );
});

// Guards against a request that runs more often than its route allows. A send
// that an upstream or a gate refused has not run.
it('resend: runs are bounded, refusals do not count', () => {
  const atRunLimit = {runs: 2, sends: 3};
  expect(decide(atRunLimit)).to.equal(ResendDecision.ANSWER_UNKNOWN);
  expect(decide({...atRunLimit, end: SendEnd.REFUSED_BY_UPSTREAM})).to.equal(
    ResendDecision.SEND_ON_BUDGET,
  );
  expect(decide({...atRunLimit, end: SendEnd.REFUSED_BY_GATE})).to.equal(
    ResendDecision.SEND_FREELY,
  );
});

// Guards against a send that cannot be answered in time, and against a request
// that is passed on from gate to gate without end.
it('resend: time and sends are bounded', () => {
  const refused = {end: SendEnd.REFUSED_BY_GATE, runs: 0};
  expect(decide({...refused, leftMs: 5})).to.equal(
    ResendDecision.ANSWER_NOT_RUN,
  );
  expect(decide({...refused, sends: 50})).to.equal(
    ResendDecision.ANSWER_NOT_RUN,
  );
});

// Guards against a request that cannot be served in time but is offered to five
// gates under high load.
it('resend: the second refusal for lack of time is final', () => {
  const late = {end: SendEnd.REFUSED_BY_GATE, sends: 1, deadlineRefusals: 1};
  expect(decide(late)).to.equal(ResendDecision.SEND_FREELY);
  expect(decide({...late, sends: 2, deadlineRefusals: 2})).to.equal(
    ResendDecision.ANSWER_NOT_RUN,
  );
});

// Guards against a crashing request that is offered to one gate after another.
it('resend: a request that every gate refuses is answered immediately', () => {
  const refused = {end: SendEnd.REFUSED_BY_GATE};
  expect(decide(refused)).to.equal(ResendDecision.SEND_FREELY);
  expect(decide({...refused, isRefusedEverywhere: true})).to.equal(
    ResendDecision.ANSWER_NOT_RUN,
  );
});
