import {expect} from 'chai';
import {StartPace} from './startPace.js';
import {Completion} from './types.js';

const FULL = 64;

/** Work that is waiting for one upstream, which is slow after its start. */
interface Backlog {
  /** Requests that the upstream serves at once without refusing. */
  readonly capacity: (nowMs: number) => number;
  readonly serviceMs: (nowMs: number) => number;
}

interface PlayResult {
  served: number;
  refused: number;
  /** Time at which the limit was the full one for the first time, ms. */
  fullMs: number;
}

/** Plays rounds of a backlog that always uses the whole limit. */
function replayRounds(
  {capacity, serviceMs}: Backlog,
  endMs: number,
  readLimit: () => number,
  observe: (startedMs: number, finishedMs: number, isServed: boolean) => void,
): PlayResult {
  const result: PlayResult = {served: 0, refused: 0, fullMs: Infinity};
  let nowMs = 0;
  while (nowMs < endMs) {
    const limit = readLimit();
    if (limit >= FULL) result.fullMs = Math.min(result.fullMs, nowMs);
    const served = Math.min(limit, capacity(nowMs));
    const finishedMs = nowMs + serviceMs(nowMs);
    for (let index = 0; index < limit; index += 1) {
      observe(nowMs, finishedMs, index < served);
    }
    result.served += served;
    result.refused += limit - served;
    nowMs = finishedMs;
  }
  return result;
}

function replayPaced(backlog: Backlog, endMs: number): PlayResult {
  const pace = new StartPace();
  pace.start(FULL);
  return replayRounds(
    backlog,
    endMs,
    () => pace.computeLimit(FULL),
    (startedMs, finishedMs, isServed) => {
      const completion = isServed
        ? Completion.SUCCEEDED
        : Completion.SHED_BY_UPSTREAM;
      const running = pace.computeLimit(FULL);
      pace.observe({startedMs, finishedMs, completion, running}, FULL);
    },
  );
}

function replayAtOnce(backlog: Backlog, endMs: number): PlayResult {
  return replayRounds(
    backlog,
    endMs,
    () => FULL,
    () => undefined,
  );
}

// Guards against an upstream that stays idle although each answer shows that it
// serves more: 16, 32, 64 in two rounds of 200 ms.
it('start pace: the full limit is reached in rounds that double', () => {
  const healthy = {capacity: () => FULL, serviceMs: () => 200};
  expect(replayPaced(healthy, 2_000).fullMs).to.be.at.most(600);
});

// Guards against flooding an upstream that serves a third of its slots for its
// first two seconds: what it refuses has to be sent again by its callers.
it('start pace: a cold upstream refuses less than a full limit', () => {
  const cold: Backlog = {
    capacity: (nowMs) => (nowMs < 2_000 ? 20 : FULL),
    serviceMs: (nowMs) => (nowMs < 2_000 ? 200 : 100),
  };
  const paced = replayPaced(cold, 4_000);
  const atOnce = replayAtOnce(cold, 4_000);
  expect(paced.refused).to.be.below(atOnce.refused / 2);
  expect(paced.served).to.be.above(0.85 * atOnce.served);
  expect(paced.fullMs).to.be.within(2_000, 3_000);
});

// Guards against a limit that falls to nothing and never recovers, if the
// upstream refuses a share of all requests whatever their number.
it('start pace: refusals that do not depend on the load end it too', () => {
  const shedding: Backlog = {
    capacity: (nowMs) => (nowMs < 1_000 ? 0 : FULL),
    serviceMs: () => 100,
  };
  const {fullMs} = replayPaced(shedding, 3_000);
  expect(fullMs).to.be.within(1_000, 1_500);
});

// Guards against growing on the answers of an idle upstream, which prove
// nothing about a higher load.
it('start pace: unused limits are not raised', () => {
  const pace = new StartPace();
  pace.start(FULL);
  const first = pace.computeLimit(FULL);
  for (let index = 0; index < 100; index += 1) {
    const sample = {startedMs: index, finishedMs: index + 1, running: 1};
    pace.observe({...sample, completion: Completion.SUCCEEDED}, FULL);
  }
  expect(pace.computeLimit(FULL)).to.equal(first);
});

// Guards against an upstream that gets no work at first, also with few slots.
it('start pace: some work starts at once', () => {
  const pace = new StartPace();
  pace.start(3);
  expect(pace.computeLimit(3)).to.be.at.least(2);
  pace.start(1);
  expect(pace.computeLimit(1)).to.equal(1);
});
