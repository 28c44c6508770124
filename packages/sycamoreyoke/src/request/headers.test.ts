import {expect} from 'chai';
import {formatCallHeaders, parseCallHeaders} from './headers.js';

// Guards against an invalid header that hides another one.
it('headers: every invalid header is reported', () => {
  const {findings} = parseCallHeaders({
    'sycamoreyoke-class': 'Not A Name',
    'sycamoreyoke-allowance': '-1',
    'sycamoreyoke-timeout-ms': '999999999',
    'sycamoreyoke-request-id': 'a b',
    'idempotency-key': 'not-a-uuid',
  });
  expect(findings?.map(({place}) => place)).to.have.members([
    'header sycamoreyoke-class',
    'header sycamoreyoke-allowance',
    'header sycamoreyoke-timeout-ms',
    'header sycamoreyoke-request-id',
    'header idempotency-key',
  ]);
});

// Guards against a repeated header of which only the first value is read.
it('headers: a repeated header is refused', () => {
  const result = parseCallHeaders({'sycamoreyoke-class': ['a', 'b']});
  expect(result.findings).to.have.length(1);
});

// Guards against a node that loses header values of the previous hop.
it('headers: formatting and parsing keep every value', () => {
  const headers = {
    service: 'bookings',
    requestClass: 'book-resole',
    requestId: 'r-1',
    attempt: 2,
    timeoutMs: 800,
    allowance: 3,
    pin: {incarnation: 'abc', epoch: 7},
    idempotencyKey: '01890a5d-ac96-774b-bcce-b302099a8057',
    caller: 'site',
    token: 'secret',
    rootId: 'site/r-1',
    parentId: 'r-0',
    importance: 2,
    time: {wallMs: 1700000000000, counter: 3},
    contentDigest: `sha-256=:${'A'.repeat(43)}=:`,
  };
  expect(parseCallHeaders(formatCallHeaders(headers)).headers).to.deep.equal(
    headers,
  );
});
