import {expect} from 'chai';
import {VirtualClock} from 'sycamoreyoke/clock';
import {LOOP_TICK_MS, LoopWatch} from './loopWatch.js';

/** An event loop whose turns a test controls. */
class TestLoop {
  readonly clock = new VirtualClock();
  readonly watch: LoopWatch;
  private callbacks: Array<() => void> = [];

  constructor() {
    this.watch = new LoopWatch({
      clock: this.clock,
      runAfterTurn: (callback) => this.callbacks.push(callback),
    });
  }

  /** Ends the turn after some work and starts the next one. */
  startTurn(workMs: number): void {
    this.clock.advance(workMs);
    const due = this.callbacks;
    this.callbacks = [];
    for (const callback of due) callback();
  }

  /** Ends the turn, finds nothing to read and waits for events. */
  waitForEvents(idleMs: number): void {
    this.startTurn(0);
    this.startTurn(0);
    this.clock.advance(idleMs);
  }
}

// Guards against a request that is taken for new on a process that is behind:
// it reaches the upstream after its deadline or after its client has left.
it('loop: a busy loop counts from the start of its last turn', () => {
  const loop = new TestLoop();
  loop.waitForEvents(5);
  for (let turn = 0; turn < 4; turn += 1) {
    const turnMs = loop.clock.readMs();
    loop.watch.findEarliestArrivalMs();
    loop.startTurn(LOOP_TICK_MS);
    expect(loop.watch.findEarliestArrivalMs()).to.equal(turnMs);
    loop.clock.advance(30);
    expect(loop.watch.findEarliestArrivalMs()).to.equal(turnMs);
    loop.waitForEvents(10);
  }
});

// Guards against an estimate that takes the work of one turn for the age of
// bytes in all turns that follow.
it('loop: a loop in a row of short turns is hardly behind', () => {
  const loop = new TestLoop();
  loop.waitForEvents(5);
  loop.watch.findEarliestArrivalMs();
  loop.startTurn(LOOP_TICK_MS);
  for (let turn = 0; turn < 9; turn += 1) {
    loop.watch.findEarliestArrivalMs();
    loop.startTurn(2);
  }
  const behindMs = loop.clock.readMs() - loop.watch.findEarliestArrivalMs();
  expect(behindMs).to.equal(2);
});

// Guards against time that an idle process spent waiting being taken off the
// deadline of the request that woke it.
it('loop: an idle loop handles bytes as they arrive', () => {
  const loop = new TestLoop();
  loop.waitForEvents(5);
  loop.watch.findEarliestArrivalMs();
  loop.waitForEvents(LOOP_TICK_MS);
  loop.watch.observe();
  loop.waitForEvents(100);
  const nowMs = loop.clock.readMs();
  expect(loop.watch.findEarliestArrivalMs()).to.equal(nowMs);
});

// Guards against requests that waited while the process was paused.
it('loop: after a pause bytes may be as old as the last turn', () => {
  const loop = new TestLoop();
  loop.waitForEvents(5);
  const lastSeenMs = loop.clock.readMs();
  loop.watch.findEarliestArrivalMs();
  loop.waitForEvents(3_000);
  expect(loop.watch.findEarliestArrivalMs()).to.equal(lastSeenMs);
});
