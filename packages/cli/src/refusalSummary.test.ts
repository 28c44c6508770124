import {expect} from 'chai';
import type {EventDetails, TimelineEvent} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {describeRefusal} from './refusalSummary.js';

function createEvent(
  code: EventCode,
  details: EventDetails,
  requestId = 'r',
): TimelineEvent {
  const time = {wallMs: 0, counter: 0};
  return {time, process: 'n-1', code, requestId, details};
}

// Guards against an explanation from which an operator cannot tell the account
// of a refused client, or why it was refused.
it('refusal summary: names account, reason and backlog', () => {
  const events = [
    createEvent(EventCode.GATE_REFUSED, {
      reason: 'overloaded',
      waiting: 60,
      account: 'hotel',
      accountWaiting: 40,
      waitingAccounts: 3,
    }),
    createEvent(
      EventCode.REQUEST_REFUSED,
      {account: 'x', reason: 'y'},
      'child',
    ),
    createEvent(EventCode.REQUEST_REFUSED, {
      answer: 'not-run',
      reason: 'overloaded',
      account: 'hotel',
    }),
  ];
  expect(describeRefusal(events, 'r')).to.equal(
    "Refused: account=hotel reason=overloaded; n-1: 40 of 60 waiting requests are the account's, 3 accounts wait at this importance",
  );
});

// Guards against a 401 without the fault of the key.
it('refusal summary: names the fault of a key', () => {
  const code = EventCode.REQUEST_UNAUTHENTICATED;
  const withdrawn = createEvent(code, {fault: 'withdrawn', account: 'hotel'});
  expect(describeRefusal([withdrawn], 'r')).to.equal(
    'Refused: account=hotel reason=unauthenticated key=withdrawn',
  );
  const shared = createEvent(code, {fault: 'shared', accounts: 'hotel depot'});
  expect(describeRefusal([shared], 'r')).to.equal(
    'Refused: account=hotel depot reason=unauthenticated key=shared',
  );
  const missing = createEvent(code, {fault: 'missing'});
  expect(describeRefusal([missing], 'r')).to.equal(
    'Refused: account=none reason=unauthenticated key=missing',
  );
});

it('refusal summary: nothing for a request that was served', () => {
  const events = [
    createEvent(EventCode.CALL_COMPLETED, {account: 'hotel'}),
    createEvent(EventCode.REQUEST_REFUSED, {reason: 'overloaded'}, 'child'),
  ];
  expect(describeRefusal(events, 'r')).to.equal(undefined);
});
