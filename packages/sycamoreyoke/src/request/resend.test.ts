import {expect} from 'chai';
import type {ResendQuestion} from './resend.js';
import {ResendDecision, SendEnd, decideResend} from './resend.js';

const QUESTION: ResendQuestion = {
  end: SendEnd.LOST,
  isIdempotent: true,
  runs: 1,
  maxAttempts: 2,
  sends: 1,
  lateRefusals: 0,
  leftMs: 1_000,
  isRefusedEverywhere: false,
};

function decide(changes: Partial<ResendQuestion>) {
  return decideResend({...QUESTION, ...changes});
}

// Guards against a booking that runs twice.
it('resend: what may have run is sent again only if idempotent', () => {
  const once = {isIdempotent: false};
  expect(decide(once)).to.equal(ResendDecision.ANSWER_UNKNOWN);
  expect(decide({})).to.equal(ResendDecision.SEND_ON_BUDGET);
  expect(decide({...once, end: SendEnd.REFUSED_BY_UPSTREAM})).to.equal(
    ResendDecision.SEND_ON_BUDGET,
  );
});

// Guards against a request that runs more often than its route allows; what an
// upstream or a gate refused has not run.
it('resend: runs are bounded, refusals are not runs', () => {
  const full = {runs: 2, sends: 3};
  expect(decide(full)).to.equal(ResendDecision.ANSWER_UNKNOWN);
  expect(decide({...full, end: SendEnd.REFUSED_BY_UPSTREAM})).to.equal(
    ResendDecision.SEND_ON_BUDGET,
  );
  expect(decide({...full, end: SendEnd.REFUSED_BY_GATE})).to.equal(
    ResendDecision.SEND_FREELY,
  );
});

// Guards against a send that cannot be answered in time, and against a request
// that wanders from gate to gate.
it('resend: time and sends are bounded', () => {
  const refused = {end: SendEnd.REFUSED_BY_GATE, runs: 0};
  expect(decide({...refused, leftMs: 5})).to.equal(
    ResendDecision.ANSWER_NOT_RUN,
  );
  expect(decide({...refused, sends: 50})).to.equal(
    ResendDecision.ANSWER_NOT_RUN,
  );
});

// Guards against a request without hope that is passed to five gates, while
// the load is high.
it('resend: a second gate that finds the time too short is the last', () => {
  const late = {end: SendEnd.REFUSED_BY_GATE, sends: 1, lateRefusals: 1};
  expect(decide(late)).to.equal(ResendDecision.SEND_FREELY);
  expect(decide({...late, sends: 2, lateRefusals: 2})).to.equal(
    ResendDecision.ANSWER_NOT_RUN,
  );
});

// Guards against a crashing request that is offered to gate after gate.
it('resend: what every gate refuses is answered at once', () => {
  const refused = {end: SendEnd.REFUSED_BY_GATE};
  expect(decide(refused)).to.equal(ResendDecision.SEND_FREELY);
  expect(decide({...refused, isRefusedEverywhere: true})).to.equal(
    ResendDecision.ANSWER_NOT_RUN,
  );
});
