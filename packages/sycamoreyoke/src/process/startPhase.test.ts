import {expect} from 'chai';
import type {StartState} from './startPhase.js';
import {isStarted} from './startPhase.js';

const STARTED: StartState = {
  hasConfiguration: true,
  isBehindPeers: false,
  hasNodeList: true,
  knownServices: new Set(['photos', 'tracking']),
  linkedServices: new Set(['photos', 'tracking']),
  elapsedMs: 300,
};

// Guards against running requests on an upstream while its outgoing calls have
// no node to go to.
it('start phase: ends once each service is linked', () => {
  expect(isStarted(STARTED)).to.equal(true);
  const linkedServices = new Set(['photos']);
  expect(isStarted({...STARTED, linkedServices})).to.equal(false);
  expect(isStarted({...STARTED, hasNodeList: false})).to.equal(false);
});

// Guards against a node that never starts while a whole service is down or the
// store is unavailable.
it('start phase: ends after 2 s without a service or the list', () => {
  const missing = {
    ...STARTED,
    hasNodeList: false,
    linkedServices: new Set(['']),
  };
  expect(isStarted({...missing, elapsedMs: 2_000})).to.equal(true);
});

// Guards against serving requests without routes.
it('start phase: does not end without a configuration', () => {
  const unknown = {...STARTED, hasConfiguration: false, elapsedMs: 60_000};
  expect(isStarted(unknown)).to.equal(false);
});

// Guards against a node that serves by the older configuration of a restored
// store, and against one that waits for a peer that is gone.
it('start phase: waits up to 2 s for a newer configuration of a peer', () => {
  const behind = {...STARTED, isBehindPeers: true};
  expect(isStarted(behind)).to.equal(false);
  expect(isStarted({...behind, elapsedMs: 2_000})).to.equal(true);
});
