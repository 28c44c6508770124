import {expect} from 'chai';
import {createRandom} from '../random.js';
import type {RunningParent} from './callParents.js';
import {CallParents} from './callParents.js';

function createParents(): CallParents {
  const parents = new CallParents();
  parents.start({ticket: 'a', deadlineMs: 1_000}, 0);
  parents.start({ticket: 'b', deadlineMs: 1_010}, 10);
  parents.start({ticket: 'c', deadlineMs: 2_000}, 20);
  return parents;
}

// Guards against attributing a call to the wrong request, so that a call for a
// booking is shed with the low importance of browsing.
it('call parents: the nearest deadline identifies the parent', () => {
  const parents = createParents();
  expect(parents.startCall(1_009)).to.equal('b');
  expect(parents.startCall(1_998)).to.equal('c');
});

// Guards against attributing a call to another request with sequential calls:
// each call follows the response to the previous one.
it('call parents: a call belongs to the latest idle request', () => {
  const parents = createParents();
  expect(parents.startCall(700)).to.equal('c');
  expect(parents.startCall(700)).to.equal('b');
  parents.finishCall('c', 60);
  parents.finishCall('b', 70);
  expect(parents.startCall(700)).to.equal('b');
  expect(parents.startCall(700)).to.equal('c');
  expect(parents.startCall(700)).to.equal('a');
  expect(parents.startCall(700)).to.equal(undefined);
});

// Guards against a call that counts as open while its body is still missing.
it('call parents: looking a parent up changes nothing', () => {
  const parents = createParents();
  expect(parents.findParent(700)).to.equal('c');
  expect(parents.findParent(700)).to.equal('c');
  expect(parents.startCall(700)).to.equal('c');
});

// Guards against choosing a parent whose deadline is before that of the call.
it('call parents: a call never has more time than its parent', () => {
  const parents = createParents();
  parents.finish('c');
  expect(parents.startCall(1_500)).to.equal(undefined);
});

/** The search of CallParents in its simplest form, over all requests. */
class NaiveCallParents {
  private readonly states = new Map<
    string,
    {deadlineMs: number; idleSinceMs: number; openCalls: number}
  >();

  start({ticket, deadlineMs}: RunningParent, nowMs: number): void {
    this.states.set(ticket, {deadlineMs, idleSinceMs: nowMs, openCalls: 0});
  }

  finish(ticket: string): void {
    this.states.delete(ticket);
  }

  startCall(callDeadlineMs: number): string | undefined {
    const states = [...this.states].map(([ticket, state]) => ({
      ticket,
      state,
      differenceMs: Math.abs(state.deadlineMs - callDeadlineMs),
    }));
    const [closest] = states
      .filter(({differenceMs}) => differenceMs <= 6)
      .sort((a, b) => a.differenceMs - b.differenceMs);
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
  const parents = new CallParents();
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
      const parent = {ticket: `t-${step}`, deadlineMs: nowMs + random() * 300};
      parents.start(parent, nowMs);
      naive.start(parent, nowMs);
      running.push(parent.ticket);
    } else if (choice < 0.6) {
      const callDeadlineMs = nowMs + random() * 320;
      const found = parents.startCall(callDeadlineMs);
      expect(found).to.equal(naive.startCall(callDeadlineMs));
      if (found !== undefined) calling.push(found);
    } else if (choice < 0.8) {
      const ticket = take(calling) ?? '';
      parents.finishCall(ticket, nowMs);
      naive.finishCall(ticket, nowMs);
    } else {
      const ticket = take(running) ?? '';
      parents.finish(ticket);
      naive.finish(ticket);
    }
  }
});

// Guards against a request near its end that is taken for a new one, and gets
// no retry.
it('call parents: counts the answered calls of a request', () => {
  const parents = createParents();
  for (const nowMs of [100, 200]) {
    expect(parents.startCall(1_998)).to.equal('c');
    parents.finishCall('c', nowMs);
  }
  expect(parents.startCall(1_998)).to.equal('c');
  expect(parents.readProgress('c')).to.include({
    startedMs: 20,
    answeredCalls: 2,
  });
  parents.finish('c');
  expect(parents.readProgress('c')).to.equal(undefined);
});
