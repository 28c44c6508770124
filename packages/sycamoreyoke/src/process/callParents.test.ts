import {expect} from 'chai';
import {createRandom} from '../random.js';
import type {PossibleCall, RunningParent} from './callParents.js';
import {
  CallParents,
  ParentEvidence,
  computeStatedDeadline,
} from './callParents.js';

const CALL_MS = 30;

function createParents(): CallParents {
  const parents = new CallParents(0);
  parents.start({ticket: 'a', statedDeadlineMs: 1_000}, 0);
  parents.start({ticket: 'b', statedDeadlineMs: 1_010}, 10);
  parents.start({ticket: 'c', statedDeadlineMs: 2_000}, 20);
  return parents;
}

/** A call that arrives at a known time and expires at the deadline. */
function createCall(deadlineMs: number, nowMs = CALL_MS): PossibleCall {
  return {earliestMs: nowMs, latestMs: nowMs, leftMs: deadlineMs - nowMs};
}

function findParent(
  parents: CallParents,
  deadlineMs: number,
  nowMs?: number,
): string | undefined {
  return parents.findParents(createCall(deadlineMs, nowMs), false)?.tickets[0];
}

function startCall(
  parents: CallParents,
  deadlineMs: number,
  nowMs?: number,
): string | undefined {
  const ticket = findParent(parents, deadlineMs, nowMs);
  if (ticket !== undefined) parents.startCall(ticket);
  return ticket;
}

// Guards against attributing a call to the wrong request, so that a call for a
// booking is shed with the low importance of browsing.
it('call parents: the nearest deadline identifies the parent', () => {
  const parents = createParents();
  expect(startCall(parents, 1_009)).to.equal('b');
  expect(startCall(parents, 1_998)).to.equal('c');
});

// Guards against attributing a call to another request with sequential calls:
// each call follows the response to the previous one.
it('call parents: a call belongs to the latest idle request', () => {
  const parents = createParents();
  expect(startCall(parents, 700)).to.equal('c');
  expect(startCall(parents, 700)).to.equal('b');
  parents.finishCall('c', 60);
  parents.finishCall('b', 70);
  expect(startCall(parents, 700)).to.equal('b');
  expect(startCall(parents, 700)).to.equal('c');
  expect(startCall(parents, 700)).to.equal('a');
  expect(startCall(parents, 700)).to.equal(undefined);
});

// Guards against a call that counts as open while its body is still missing.
it('call parents: looking a parent up changes nothing', () => {
  const parents = createParents();
  expect(findParent(parents, 700)).to.equal('c');
  expect(findParent(parents, 700)).to.equal('c');
  expect(startCall(parents, 700)).to.equal('c');
});

// Guards against choosing a parent whose deadline is before that of the call.
it('call parents: a call never has more time than its parent', () => {
  const parents = createParents();
  parents.finish('c', true);
  expect(startCall(parents, 1_500)).to.equal(undefined);
});

/** The search of CallParents in its simplest form, over all requests. */
class NaiveCallParents {
  private readonly states = new Map<
    string,
    {
      deadlineMs: number;
      startedMs: number;
      idleSinceMs: number;
      openCalls: number;
    }
  >();

  start({ticket, statedDeadlineMs}: RunningParent, nowMs: number): void {
    this.states.set(ticket, {
      deadlineMs: statedDeadlineMs,
      startedMs: nowMs,
      idleSinceMs: nowMs,
      openCalls: 0,
    });
  }

  finish(ticket: string): void {
    this.states.delete(ticket);
  }

  startCall(callDeadlineMs: number, nowMs: number): string | undefined {
    const states = [...this.states].map(([ticket, state]) => ({
      ticket,
      state,
      lateMs: callDeadlineMs - state.deadlineMs,
    }));
    const [closest] = states
      .filter(({lateMs}) => lateMs >= -3 && lateMs <= 6)
      .filter(({state: {deadlineMs, startedMs}}) => {
        return callDeadlineMs - nowMs <= deadlineMs - startedMs + 6;
      })
      .sort((a, b) => Math.abs(a.lateMs) - Math.abs(b.lateMs));
    const [latest] = states
      .filter(({state}) => state.openCalls === 0)
      .filter(({state}) => state.deadlineMs + 6 >= callDeadlineMs)
      .sort((a, b) => b.state.idleSinceMs - a.state.idleSinceMs);
    const found = closest ?? latest;
    if (found) found.state.openCalls += 1;
    return found?.ticket;
  }

  finishCall(ticket: string, nowMs: number): void {
    const state = this.states.get(ticket);
    if (!state) return;
    state.openCalls -= 1;
    state.idleSinceMs = nowMs;
  }
}

// Guards against a search by index that finds another parent than a search
// through all running requests.
it('call parents: the index agrees with a search of all requests', () => {
  const random = createRandom(26);
  const parents = new CallParents(0);
  const naive = new NaiveCallParents();
  const running: string[] = [];
  const calling: string[] = [];
  const take = (tickets: string[]) =>
    tickets.splice(Math.floor(random() * tickets.length), 1)[0];
  for (let step = 0; step < 20_000; step += 1) {
    // Times differ, so that the latest is unambiguous.
    const nowMs = step * 0.7;
    const choice = random();
    if (choice < 0.3) {
      const statedDeadlineMs = nowMs + random() * 300;
      const parent = {ticket: `t-${step}`, statedDeadlineMs};
      parents.start(parent, nowMs);
      naive.start(parent, nowMs);
      running.push(parent.ticket);
    } else if (choice < 0.6) {
      const callDeadlineMs = nowMs + random() * 320;
      const found = startCall(parents, callDeadlineMs, nowMs);
      expect(found).to.equal(naive.startCall(callDeadlineMs, nowMs));
      if (found !== undefined) calling.push(found);
    } else if (choice < 0.8) {
      const ticket = take(calling) ?? '';
      parents.finishCall(ticket, nowMs);
      naive.finishCall(ticket, nowMs);
    } else {
      const ticket = take(running) ?? '';
      parents.finish(ticket, true);
      naive.finish(ticket);
    }
  }
});

// Guards against a request near its end that is taken for a new one, and gets
// no retry.
it('call parents: counts the answered calls of a request', () => {
  const parents = createParents();
  for (const nowMs of [100, 200]) {
    expect(startCall(parents, 1_998)).to.equal('c');
    parents.finishCall('c', nowMs);
  }
  expect(startCall(parents, 1_998)).to.equal('c');
  expect(parents.readProgress('c')).to.include({
    startedMs: 20,
    answeredCalls: 2,
  });
  parents.finish('c', true);
  expect(parents.readProgress('c')).to.equal(undefined);
});

const BUDGET_MS = 5_000;

/** Parents whose requests arrive every 10 ms and state a reserved deadline. */
function createBusyParents(): CallParents {
  const parents = new CallParents(0);
  for (let nowMs = 0; nowMs < 200; nowMs += 10) {
    const statedDeadlineMs = computeStatedDeadline(nowMs + BUDGET_MS, nowMs);
    parents.start({ticket: `at-${nowMs}`, statedDeadlineMs}, nowMs);
  }
  return parents;
}

// Guards against a client without a key whose request passes for a call, since
// a request with the same time budget arrived at the same moment.
it('call parents: a request with a whole time budget fits no parent', () => {
  const parents = createBusyParents();
  for (let arrivedMs = 0; arrivedMs < 250; arrivedMs += 0.5) {
    for (const waitedMs of [0, 5, 1_000]) {
      const call = {
        earliestMs: arrivedMs,
        latestMs: arrivedMs + waitedMs,
        leftMs: BUDGET_MS,
      };
      const found = parents.findParents(call, true)?.evidence;
      expect(found).to.not.be.oneOf([
        ParentEvidence.DEADLINE,
        ParentEvidence.DELAYED,
      ]);
      expect(parents.hasAbandonedParent(call)).to.equal(false);
    }
  }
});

// Guards against a call that is taken for a client's request because the node
// was paused while it arrived.
it('call parents: a call that waited for a paused node fits its parent', () => {
  const parents = createBusyParents();
  const sentMs = 700;
  const call = {
    earliestMs: 200,
    latestMs: 1_200,
    leftMs: Math.floor(100 + BUDGET_MS - 9 - sentMs),
  };
  const found = parents.findParents(call, false);
  expect(found?.evidence).to.equal(ParentEvidence.DEADLINE);
  expect(found?.tickets).to.include('at-100');
});

// Guards against a delayed call that is taken for a client's request on a
// connection that is known to be the upstream's, and against one without.
it('call parents: a delayed call fits on a trusted connection only', () => {
  const parents = new CallParents(0);
  parents.start({ticket: 'a', statedDeadlineMs: 1_000}, 0);
  const call = {earliestMs: 100, latestMs: 100, leftMs: 950};
  expect(parents.findParents(call, false)).to.equal(undefined);
  expect(parents.findParents(call, true)).to.deep.equal({
    tickets: ['a'],
    evidence: ParentEvidence.DELAYED,
  });
});

// Guards against a booking's call that is shed with the importance of browsing
// because a browsing request has the same deadline.
it('call parents: all requests that a call fits are named', () => {
  const parents = new CallParents(0);
  parents.start({ticket: 'a', statedDeadlineMs: 1_000}, 0);
  parents.start({ticket: 'b', statedDeadlineMs: 1_002}, 2);
  const found = parents.findParents(createCall(1_002), false);
  expect(found?.tickets).to.deep.equal(['b', 'a']);
});

// Guards against a call that is answered as an intruder's although its request
// was running a moment ago, and against remembering all of them.
it('call parents: a call fits a request without an answer', () => {
  const parents = createBusyParents();
  const call = {earliestMs: 150, latestMs: 150, leftMs: BUDGET_MS - 59};
  expect(parents.hasAbandonedParent(call)).to.equal(false);
  parents.finish('at-110', true);
  parents.finish('at-100', false);
  expect(parents.hasAbandonedParent(call)).to.equal(true);
  for (let index = 0; index < 2_000; index += 1) {
    parents.start({ticket: `x-${index}`, statedDeadlineMs: 0}, 0);
    parents.finish(`x-${index}`, false);
  }
  expect(parents.hasAbandonedParent(call)).to.equal(false);
});

// Guards against a call that is answered as a stranger's because the node was
// restarted while the request ran, and against an excuse without an end.
it('call parents: a call fits a request of a former process for a time', () => {
  const parents = new CallParents(1_000);
  const hasFormer = (nowMs: number, leftMs: number) =>
    parents.hasFormerParent({earliestMs: nowMs, latestMs: nowMs, leftMs}, 500);
  expect(hasFormer(1_010, 480)).to.equal(true);
  expect(hasFormer(1_490, 10)).to.equal(true);
  expect(hasFormer(1_010, 500)).to.equal(false);
  expect(hasFormer(1_490, 480)).to.equal(false);
  expect(hasFormer(1_600, 10)).to.equal(false);
});

// Guards against a late call that is answered as a stranger's on a connection
// that nothing is known of, and against the same answer for a request that
// states more time than any running one was told.
it('call parents: a late call fits a running request', () => {
  const parents = new CallParents(0);
  parents.start({ticket: 'a', statedDeadlineMs: 1_000}, 0);
  const hasDelayed = (nowMs: number, leftMs: number) =>
    parents.hasDelayedParent({earliestMs: nowMs, latestMs: nowMs, leftMs});
  expect(hasDelayed(100, 950)).to.equal(true);
  expect(hasDelayed(100, 1_010)).to.equal(false);
  expect(hasDelayed(100, 700)).to.equal(false);
});
