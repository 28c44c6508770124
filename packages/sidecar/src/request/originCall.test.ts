import {expect} from 'chai';
import {VirtualClock} from 'sycamoreyoke/clock';
import {AccountMetrics} from 'sycamoreyoke/process/accountMetrics';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {Metrics} from 'sycamoreyoke/process/metrics';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {Importance} from 'sycamoreyoke/types';
import {Repeatability} from 'sycamoreyoke/version/routeTable';
import {createFailure} from '../connection/callFailure.js';
import type {ChosenNode} from '../process/peerTask.js';
import type {PendingCall, ResultHandler} from '../types.js';
import {GateReason} from '../types.js';
import type {Answer} from './originCall.js';
import {AnswerKind, OriginCall} from './originCall.js';

type Send = (handle: ResultHandler) => PendingCall;

const NOTHING: PendingCall = {cancel: () => undefined};
const BUSY = createFailure(SendEnd.REFUSED_BY_GATE, GateReason.OVERLOADED, 70);
const LOST = createFailure(SendEnd.LOST, GateReason.LINK_LOST);

/** What a call needs besides its answers, where a test concerns it. */
interface CallChanges {
  readonly account?: string;
  readonly inferredAccount?: string;
  readonly parentId?: string;
  readonly record?: EventRecorder;
  readonly accountMetrics?: AccountMetrics;
}

/** Creates a call whose consecutive sends are answered as given. */
function createCall(
  repeatability: Repeatability,
  answers: Answer[],
  ...sends: Send[]
): OriginCall {
  return createAccountCall({}, repeatability, answers, ...sends);
}

function createAccountCall(
  changes: CallChanges,
  repeatability: Repeatability,
  answers: Answer[],
  ...sends: Send[]
): OriginCall {
  let next = 0;
  const choose = (): ChosenNode | undefined => {
    const send = sends[next];
    if (!send) return undefined;
    next += 1;
    return {
      node: `n-${next}`,
      send: (_call, handle) => send(handle),
      avoid: () => undefined,
      observe: () => undefined,
    };
  };
  const request = {
    requestId: 'r',
    route: {
      name: 'route',
      host: 'a.example',
      prefix: '/',
      repeatability,
      timeoutMs: 1_000,
      targetLatencyMs: 500,
      maxAttempts: 2,
      rank: 0,
      isPublic: false,
      targets: [],
    },
    service: 's',
    importance: Importance.NORMAL,
    method: 'GET',
    path: '/',
    headers: [],
    body: new Uint8Array(0),
    arrivedMs: 0,
    deadlineMs: 1_000,
    usefulUntilMs: 500,
    configurationVersion: 1,
    parentId: changes.parentId,
    account: changes.account,
    inferredAccount: changes.inferredAccount,
  };
  return new OriginCall(request, {
    clock: new VirtualClock(),
    peers: {choose},
    callerService: 'c',
    record: changes.record ?? (() => undefined),
    metrics: new Metrics(),
    accountMetrics: changes.accountMetrics ?? new AccountMetrics(),
    readRetryBudget: () => ({
      recordFirstAttempt: () => undefined,
      takeRetry: () => true,
    }),
    handle: (answer) => answers.push(answer),
  });
}

function answerWith(result: typeof BUSY): Send {
  return (handle) => {
    handle(result);
    return NOTHING;
  };
}

// Guards against work that goes on for a client that has left, if the first
// gate refused synchronously and the request runs at the second one.
it('origin call: a cancel reaches the pending send', () => {
  let cancelled = 0;
  const running: Send = () => ({cancel: () => (cancelled += 1)});
  const call = createCall(
    Repeatability.IDEMPOTENT,
    [],
    answerWith(BUSY),
    running,
  );
  call.start();
  call.cancel();
  expect(cancelled).to.equal(1);
});

// Guards against resending a non-idempotent request that may have run.
it('origin call: a lost booking is answered as unknown at once', () => {
  const answers: Answer[] = [];
  const sends = [answerWith(LOST), answerWith(BUSY)];
  createCall(Repeatability.ONCE, answers, ...sends).start();
  expect(answers.map(({kind}) => kind)).to.deep.equal([AnswerKind.UNKNOWN]);
});

// Guards against answering "not run" because the last send was refused,
// although an earlier send may have run.
it('origin call: answers not run only if no send may have run', () => {
  const answers: Answer[] = [];
  createCall(
    Repeatability.IDEMPOTENT,
    answers,
    answerWith(LOST),
    answerWith(BUSY),
  ).start();
  createCall(Repeatability.ONCE, answers, answerWith(BUSY)).start();
  expect(answers.map(({kind}) => kind)).to.deep.equal([
    AnswerKind.UNKNOWN,
    AnswerKind.NOT_RUN,
  ]);
  expect(answers[1]?.result.retryAfterMs).to.equal(70);
});

// Guards against a refusal that an operator cannot trace to the account of the
// client, in the log or in the metrics.
it('origin call: events and metrics carry the account', () => {
  const events: string[] = [];
  const accountMetrics = new AccountMetrics();
  const changes = {
    account: 'hotel',
    accountMetrics,
    record: ((code, details) =>
      events.push(
        `${EventCode[code]} ${details?.['account']}`,
      )) as EventRecorder,
  };
  const sends = [answerWith(BUSY), answerWith(BUSY)];
  createAccountCall(changes, Repeatability.ONCE, [], ...sends).start();
  const child = {...changes, parentId: 'p'};
  createAccountCall(child, Repeatability.ONCE, [], ...sends).start();
  const expected = ['CALL_RETRIED hotel', 'REQUEST_REFUSED hotel'];
  expect([...new Set(events)]).to.deep.equal(expected);
  const [sample, ...others] = accountMetrics.list();
  expect(others).to.deep.equal([]);
  expect(sample?.value, 'calls of upstreams are not counted').to.equal(1);
  expect(sample?.labels).to.deep.equal({
    account: 'hotel',
    answer: AnswerKind.NOT_RUN,
    reason: GateReason.OVERLOADED,
  });
});

// Guards against an account that an operator takes for certain, in the log or
// in the metrics, although it was only inferred for a call of an upstream.
it('origin call: an inferred account is named as such', () => {
  const accounts: unknown[] = [];
  const accountMetrics = new AccountMetrics();
  const changes = {
    inferredAccount: 'hotel',
    parentId: 'p',
    accountMetrics,
    record: ((_code, details) =>
      accounts.push([
        details?.['account'],
        details?.['inferredAccount'],
      ])) as EventRecorder,
  };
  const send = answerWith(BUSY);
  createAccountCall(changes, Repeatability.ONCE, [], send).start();
  expect(accounts).to.deep.equal(accounts.map(() => [undefined, 'hotel']));
  expect(accounts).to.not.have.length(0);
  expect(accountMetrics.list()).to.deep.equal([]);
});
