import {expect} from 'chai';
import {ConnectionOwner} from 'sycamoreyoke/connection/connectionOwner';
import type {PossibleCall} from 'sycamoreyoke/process/callParents';
import {ParentEvidence} from 'sycamoreyoke/process/callParents';
import {Importance} from 'sycamoreyoke/types';
import type {ClientExchange} from '../connection/clientExchange.js';
import type {ParentCall} from '../process/parentCall.js';
import {CallDoubt} from '../process/parentCall.js';
import {CallOrigin} from './callOrigin.js';

/** A request on a connection, whose possible parent has some evidence. */
function createOrigin(
  owner: ConnectionOwner,
  evidence: ParentEvidence | undefined,
  doubt?: CallDoubt,
): CallOrigin {
  const exchange = {owner, arrivedMs: 10, readMs: 20};
  const parent: ParentCall | undefined = evidence && {
    requestId: 'p',
    importance: Importance.NORMAL,
    account: 'hotel',
    evidence,
    readWork: () => undefined,
    finish: () => undefined,
  };
  const find = (call: PossibleCall) => {
    expect(call).to.deep.equal({earliestMs: 10, latestMs: 20, leftMs: 500});
    return parent;
  };
  return new CallOrigin(exchange as ClientExchange, 500, {
    findParent: find,
    start: find,
    findDoubt: () => doubt,
  });
}

function createTrustedOwner(): ConnectionOwner {
  const owner = new ConnectionOwner();
  for (let count = 0; count < 8; count += 1) owner.recordCall(true);
  return owner;
}

// Guards against a client's request that passes for a call since some request
// of the upstream was active last.
it('call origin: only a matching deadline shows a call', () => {
  const isCall = (evidence: ParentEvidence | undefined) =>
    createOrigin(new ConnectionOwner(), evidence).isUpstreamCall();
  expect(isCall(undefined)).to.equal(false);
  expect(isCall(ParentEvidence.RECENCY)).to.equal(false);
  expect(isCall(ParentEvidence.DEADLINE)).to.equal(true);
  expect(isCall(ParentEvidence.DELAYED)).to.equal(true);
});

// Guards against a client that sends a request without its key on a connection
// on which it has shown it.
it('call origin: a connection with a key has no calls', () => {
  const owner = createTrustedOwner();
  owner.recordKey();
  const origin = createOrigin(owner, ParentEvidence.DEADLINE, CallDoubt.LATE);
  expect(origin.isUpstreamCall()).to.equal(false);
  expect(origin.findDoubt()).to.equal(undefined);
  expect(origin.startCall()).to.equal(undefined);
});

// Guards against a call that is answered as an intruder's since the node, but
// not its upstream, has given the request up.
it('call origin: a request that may be a call is in doubt', () => {
  const owner = new ConnectionOwner();
  const doubt = CallDoubt.ENDED_PARENT;
  const find = (evidence: ParentEvidence | undefined) =>
    createOrigin(owner, evidence, doubt).findDoubt();
  expect(createOrigin(owner, undefined).findDoubt()).to.equal(undefined);
  expect(find(undefined)).to.equal(doubt);
  expect(find(ParentEvidence.RECENCY)).to.equal(doubt);
  expect(find(ParentEvidence.DEADLINE)).to.equal(undefined);
  const trusted = createOrigin(createTrustedOwner(), undefined);
  expect(trusted.findDoubt()).to.equal(CallDoubt.NO_PARENT);
});
