import {expect} from 'chai';
import {VirtualClock} from 'sycamoreyoke/clock';
import {LOOP_TICK_MS, LoopWatch} from './loopWatch.js';

/** An event loop whose turns and idle times a test controls. */
class TestLoop {
  readonly clock = new VirtualClock();
  readonly watch: LoopWatch;
  private idleMs = 0;
  private readonly callbacks: Array<() => void> = [];

  constructor() {
    this.watch = new LoopWatch({
      clock: this.clock,
      readIdleMs: () => this.idleMs,
      runAfterTurn: (callback) => this.callbacks.push(callback),
    });
  }

  /** Ends the turn, waits for events and starts the next turn. */
  startTurn(idleMs: number): void {
    for (const callback of this.callbacks.splice(0)) callback();
    this.idleMs += idleMs;
    this.clock.advance(idleMs);
  }
}

// Guards against a request that is taken for new on a process that is behind:
// it reaches the upstream after its deadline or after its client has left.
it('loop: a busy loop counts from the start of its last turn', () => {
  const loop = new TestLoop();
  loop.startTurn(5);
  const lastTurnMs = loop.clock.readMs();
  // Other work comes first in the turn; bytes may arrive during it too.
  loop.clock.advance(80);
  loop.watch.findEarliestArrivalMs();
  loop.clock.advance(LOOP_TICK_MS);
  // The system call that reads events at once takes a moment too.
  loop.startTurn(0.05);
  expect(loop.watch.findEarliestArrivalMs()).to.equal(lastTurnMs);
  loop.clock.advance(300);
  expect(loop.watch.findEarliestArrivalMs()).to.equal(lastTurnMs);
  const readMs = loop.clock.readMs() - 300;
  loop.startTurn(0.05);
  expect(loop.watch.findEarliestArrivalMs()).to.be.closeTo(readMs, 1);
});

// Guards against time that an idle process spent waiting being taken off the
// deadline of the request that woke it.
it('loop: an idle loop handles bytes as they arrive', () => {
  const loop = new TestLoop();
  loop.startTurn(5);
  loop.watch.findEarliestArrivalMs();
  loop.startTurn(LOOP_TICK_MS);
  loop.watch.observe();
  loop.startTurn(100);
  const nowMs = loop.clock.readMs();
  expect(loop.watch.findEarliestArrivalMs()).to.equal(nowMs);
});

// Guards against requests that waited while the process was paused: the loop
// counts the pause as idle time.
it('loop: after a pause bytes may be as old as the last turn', () => {
  const loop = new TestLoop();
  loop.startTurn(5);
  const lastSeenMs = loop.clock.readMs();
  loop.watch.findEarliestArrivalMs();
  loop.startTurn(3_000);
  expect(loop.watch.findEarliestArrivalMs()).to.equal(lastSeenMs);
});
