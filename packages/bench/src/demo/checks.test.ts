import {expect} from 'chai';
import type {RequestRecord} from '@sycamoreyoke/standins/load/records';
import type {TimelineEvent} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {Outcome} from 'sycamoreyoke/types';
import {checkEvidence} from './checks.js';
import {parseViolations} from './collector.js';
import {listClasses} from './deployment.js';
import type {DemoEvidence} from './types.js';

const ID = '6f1c2a52-8a5e-4f6e-9c3b-0d7c1f2a3b4c';
const OTHER_ID = '0a1c2a52-8a5e-4f6e-9c3b-0d7c1f2a3b4c';

function createRecord(overrides: Partial<RequestRecord>): RequestRecord {
  return {
    requestId: ID,
    requestClass: 'donate',
    startMs: 0,
    latencyMs: 5,
    sends: 1,
    outcome: Outcome.DONE,
    status: 200,
    retries: 0,
    isWhole: true,
    isForeign: false,
    ...overrides,
  };
}

function createEvent(overrides: Partial<TimelineEvent>): TimelineEvent {
  return {
    time: {wallMs: 100, counter: 0},
    process: 'photos/a',
    code: EventCode.REQUEST_STARTED,
    requestId: OTHER_ID,
    details: {},
    ...overrides,
  };
}

/** Returns the names of the checks that fail. */
function listFailures(overrides: Partial<DemoEvidence>): string[] {
  const evidence: DemoEvidence = {
    records: [createRecord({})],
    executions: [
      {requestId: ID, requestClass: 'donate', started: 1, finished: 1},
    ],
    events: [],
    timelineGaps: 0,
    drainExitCode: 0,
    violationCounts: new Map(),
    ...overrides,
  };
  return checkEvidence(evidence, listClasses())
    .filter(({violations}) => violations > 0)
    .map(({name}) => name);
}

const SHED_EVENT = createEvent({
  code: EventCode.REQUEST_REFUSED,
  requestId: `${ID}-0-0`,
  details: {reason: 'overloaded'},
});

// Guards against checks that report a violation in a correct run.
it('reports nothing for a correct run', () => {
  expect(listFailures({})).to.deep.equal([]);
});

// Guards against missing a donation that ran once on each of two upstreams.
it('sums runs over all upstreams', () => {
  const run = {requestId: ID, requestClass: 'donate', started: 1, finished: 1};
  expect(listFailures({executions: [run, run]})).to.deep.equal([
    'non-idempotent request ran more than once',
  ]);
});

// Guards against reporting an idempotent request that ran twice.
it('allows an idempotent request to run twice', () => {
  const requestClass = 'fetch-photo';
  const run = {requestId: ID, requestClass, started: 2, finished: 2};
  expect(listFailures({executions: [run]})).to.deep.equal([]);
});

// Guards against missing a request that was answered as not run although an
// upstream ran it.
it('compares answers with executions', () => {
  const records = [createRecord({outcome: Outcome.NOT_RUN, isWhole: false})];
  expect(listFailures({records})).to.deep.equal([
    'answered as not run, but ran',
  ]);
});

// Guards against counting a response to another request as a mere failure.
it('reports foreign responses', () => {
  const records = [createRecord({isForeign: true})];
  expect(listFailures({records})).to.deep.equal([
    'response of another request',
  ]);
});

// Guards against missing retries that multiply over the hops.
it('reports retries above the limit of the class', () => {
  const records = [createRecord({retries: 3})];
  expect(listFailures({records})).to.deep.equal(['retries above the bound']);
});

// Guards against missing a priority inversion: a gate sheds a call that serves
// a critical request, and then starts a less important one.
it('reports a less important start after a critical shed', () => {
  const start = createEvent({time: {wallMs: 110, counter: 0}});
  expect(listFailures({events: [SHED_EVENT, start]})).to.deep.equal([
    'critical request shed while a lesser one was started',
  ]);
});

// Guards against comparing a shed with what another gate started.
it('compares sheds and starts of the same gate only', () => {
  const start = createEvent({process: 'photos/b'});
  expect(listFailures({events: [SHED_EVENT, start]})).to.deep.equal([]);
});

// Guards against missing a drain that hangs, so that the node gets killed.
it('reports a drained node that had to be killed', () => {
  expect(listFailures({drainExitCode: null})).to.deep.equal([
    'drained node did not end by itself',
  ]);
});

// Guards against parsing the violation counters of the nodes as zero.
it('reads the violation counters of the nodes', () => {
  const violationCounts = parseViolations(
    'sycamoreyoke_invariant_violations_total{invariant="at-most-once"} 2\n',
  );
  expect([...violationCounts]).to.deep.equal([['at-most-once', 2]]);
  expect(listFailures({violationCounts})).to.deep.equal([
    'counted by the nodes',
  ]);
});
