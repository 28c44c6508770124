import {expect} from 'chai';
import type {StartState} from './startPhase.js';
import {isStarted} from './startPhase.js';

const STARTED: StartState = {
  hasConfiguration: true,
  isListed: true,
  knownServices: new Set(['photos', 'tracking']),
  linkedServices: new Set(['photos', 'tracking']),
  elapsedMs: 300,
};

// Guards against requests on an upstream whose own calls find no node yet.
it('start phase: a node takes calls once it reaches each service', () => {
  expect(isStarted(STARTED)).to.equal(true);
  const linkedServices = new Set(['photos']);
  expect(isStarted({...STARTED, linkedServices})).to.equal(false);
  expect(isStarted({...STARTED, isListed: false})).to.equal(false);
});

// Guards against a node that stays out while a whole service is down, or while
// the store is away.
it('start phase: it ends although a service or the list is missing', () => {
  const missing = {...STARTED, isListed: false, linkedServices: new Set([''])};
  expect(isStarted({...missing, elapsedMs: 2_000})).to.equal(true);
});

// Guards against answers of a node that knows no routes.
it('start phase: no node takes calls without a configuration', () => {
  const unknown = {...STARTED, hasConfiguration: false, elapsedMs: 60_000};
  expect(isStarted(unknown)).to.equal(false);
});
