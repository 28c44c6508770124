import {expect} from 'chai';
import {VirtualClock} from 'sycamoreyoke/clock';
import {ConnectionOwner} from 'sycamoreyoke/connection/connectionOwner';
import {AccountMetrics} from 'sycamoreyoke/process/accountMetrics';
import {ParentEvidence} from 'sycamoreyoke/process/callParents';
import {Metrics} from 'sycamoreyoke/process/metrics';
import {WeightedRotation} from 'sycamoreyoke/process/weightedRotation';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {Importance} from 'sycamoreyoke/types';
import {
  Repeatability,
  compileRouteTable,
} from 'sycamoreyoke/version/routeTable';
import type {
  ClientAnswer,
  ClientExchange,
} from '../connection/clientExchange.js';
import {ExchangeState} from '../connection/clientExchange.js';
import {SegmentPool} from '../connection/segmentList.js';
import type {AllotmentTask} from '../process/allotmentTask.js';
import {HeldBytes} from '../process/heldBytes.js';
import type {PeerTask} from '../process/peerTask.js';
import type {ParentCall} from '../process/parentCall.js';
import type {ResultHandler, WireProtocol} from '../types.js';
import {BeginCheck} from './beginCheck.js';
import {OriginHandler} from './originHandler.js';

const REQUESTS = 20;
const TABLE = compileRouteTable({
  version: 1,
  routes: [
    {
      name: 'booking',
      host: 'h',
      prefix: '/',
      repeatability: Repeatability.ONCE,
      timeoutMs: 1_000,
      targetLatencyMs: 500,
      maxAttempts: 2,
      rank: 0,
      isPublic: false,
      targets: [{service: 's', weight: 1}],
    },
  ],
  services: new Map(),
  limits: {
    maxHeaderBytes: 1_000,
    maxBodyBytes: 1_000,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
  },
  accounts: undefined,
  findings: [],
});
const PARENT: ParentCall = {
  requestId: 'p',
  importance: Importance.CRITICAL,
  account: undefined,
  evidence: ParentEvidence.DEADLINE,
  readWork: () => undefined,
  finish: () => undefined,
};

/** Sends requests to an origin whose upstream answers 500; lists the answers. */
function sendRequests(parent: ParentCall | undefined): ClientAnswer[] {
  const clock = new VirtualClock();
  const metrics = new Metrics();
  const record = () => undefined;
  const node = {
    node: 'n',
    send: (_call: unknown, handle: ResultHandler) => {
      handle({
        end: SendEnd.RESPONSE,
        reason: undefined,
        retryAfterMs: 0,
        status: 500,
        headers: [],
        body: new Uint8Array(0),
      });
      return {cancel: () => undefined};
    },
    avoid: () => undefined,
    observe: () => undefined,
  };
  const handler = new OriginHandler({
    clock,
    random: () => 0.5,
    wire: {
      readClientHead: () => ({
        requestId: 'r',
        leftMs: 1_000,
        key: undefined,
        headers: [],
      }),
    } as unknown as WireProtocol,
    peers: {choose: () => node} as unknown as PeerTask,
    allotments: {} as unknown as AllotmentTask,
    rotation: new WeightedRotation(),
    held: new HeldBytes(clock, {maxBytes: 1e6, largeBytes: 1e6}),
    pool: new SegmentPool(0),
    accountMetrics: new AccountMetrics(),
    service: 'o',
    record,
    metrics,
    readTable: () => TABLE,
    readRetryBudget: () => ({
      recordFirstAttempt: () => undefined,
      takeRetry: () => true,
    }),
    beginCheck: new BeginCheck({clock, metrics, record}),
    childCalls: {
      findParent: () => parent,
      start: () => parent,
      findDoubt: () => undefined,
    },
    readStopSchedule: () => undefined,
  });
  const answers: ClientAnswer[] = [];
  for (let count = 0; count < REQUESTS; count += 1) {
    clock.advance(10);
    handler.handle({
      request: {rawHeaders: ['Host', 'h'], url: '/', complete: true},
      arrivedMs: clock.readMs(),
      state: ExchangeState.RUNNING,
      readMs: clock.readMs(),
      owner: new ConnectionOwner(),
      handleClose: () => undefined,
      answer: (answer: ClientAnswer) => answers.push(answer),
    } as unknown as ClientExchange);
  }
  return answers;
}

// Guards against a booking that is begun although it would fail, and against a
// refusal that does not tell the client when to return.
it('origin: a client request that would fail is refused at once', () => {
  const refused = sendRequests(undefined).filter(({status}) => status === 503);
  expect(refused.length).to.be.above(REQUESTS / 2);
  for (const {headers} of refused) expect(headers).to.include('Retry-After');
});

// Guards against cutting off a running request in the middle of its work.
it('origin: calls for a running request are not refused as new ones', () => {
  const statuses = sendRequests(PARENT).map(({status}) => status);
  expect(statuses).to.eql(new Array(REQUESTS).fill(500));
});
