import {expect} from 'chai';
import fc from 'fast-check';
import {
  ResponseLedger,
  ResponseVerdict,
  checkResponse,
  formatContentDigest,
} from './responseCheck.js';

// Guards against a truncated or altered body that is forwarded as complete.
it('response check: any change of a body is found', () => {
  fc.assert(
    fc.property(
      fc.uint8Array({minLength: 1, maxLength: 200}),
      fc.nat(),
      fc.boolean(),
      (body, position, isCut) => {
        const index = position % body.length;
        const changed = isCut
          ? body.slice(0, index)
          : body.map((byte, at) => (at === index ? byte ^ 1 : byte));
        const response = {
          requestId: 'r-1',
          echoedRequestId: 'r-1',
          contentLength: String(body.length),
          contentDigest: formatContentDigest(body),
          isEnded: true,
        };
        expect(checkResponse({...response, body})).to.deep.equal([]);
        expect(checkResponse({...response, body: changed})).not.to.deep.equal(
          [],
        );
      },
    ),
    {seed: 12, numRuns: 500},
  );
});

// Guards against a fault that hides another, and against the response of
// another request.
it('response check: every fault is reported with its location', () => {
  const findings = checkResponse({
    requestId: 'r-1',
    echoedRequestId: 'r-2',
    contentLength: '1e1',
    contentDigest: 'sha-256=:AAAA:',
    isEnded: false,
    body: new Uint8Array(10),
  });
  expect(findings.map(({place}) => place)).to.deep.equal([
    'body',
    'header content-length',
    'header content-digest',
    'header sycamoreyoke-request-id',
  ]);
});

// Guards against a late or duplicate response that reaches the caller, and
// against memory that grows with the number of exchanges.
it('response check: one response is accepted for each exchange', () => {
  const ticket = fc.integer({min: 0, max: 6}).map(String);
  const step = fc.tuple(fc.constantFrom('close', 'admit'), ticket);
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60}), (steps) => {
      const ledger = new ResponseLedger(7);
      const model = new Map<string, ResponseVerdict>();
      for (let index = 0; index < 7; index += 1) {
        ledger.open(String(index));
        model.set(String(index), ResponseVerdict.ACCEPTED);
      }
      for (const [action, name] of steps) {
        const before = model.get(name);
        const isOpen = before === ResponseVerdict.ACCEPTED;
        if (action === 'close') {
          ledger.close(name);
          if (isOpen) model.set(name, ResponseVerdict.LATE);
        } else {
          expect(ledger.admit(name)).to.equal(before);
          if (isOpen) model.set(name, ResponseVerdict.DUPLICATE);
        }
      }
      expect(ledger.admit('other')).to.equal(ResponseVerdict.UNEXPECTED);
    }),
    {seed: 13, numRuns: 500},
  );
  const small = new ResponseLedger(2);
  for (const name of ['a', 'b', 'c']) {
    small.open(name);
    small.admit(name);
  }
  expect(small.admit('a')).to.equal(ResponseVerdict.UNEXPECTED);
  expect(small.admit('c')).to.equal(ResponseVerdict.DUPLICATE);
  expect(small.count(ResponseVerdict.DUPLICATE)).to.equal(1);
});
