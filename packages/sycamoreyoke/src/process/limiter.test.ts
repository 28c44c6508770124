import {expect} from 'chai';
import type {Random} from '../random.js';
import {createRandom} from '../random.js';
import type {ConcurrencyLimiter} from './limiter.js';
import {TrialLimiter} from './limiter.js';
import {Completion} from './types.js';

interface Phase {
  readonly durationMs: number;
  readonly serviceMs: number;
}

/**
 * Saturates a limiter against a simulated upstream with slots and a queue, and
 * returns the limit after each phase.
 */
function runPhases(
  limiter: ConcurrencyLimiter,
  slots: number,
  phases: readonly Phase[],
  random: Random,
): number[] {
  let nowMs = 0;
  const running: Array<{startedMs: number; endMs: number}> = [];
  const slotFreeMs = new Array<number>(slots).fill(0);
  return phases.map(({durationMs, serviceMs}) => {
    const phaseEndMs = nowMs + durationMs;
    while (nowMs < phaseEndMs) {
      while (running.length < limiter.readLimit()) {
        const slot = slotFreeMs.indexOf(Math.min(...slotFreeMs));
        const beginMs = Math.max(nowMs, slotFreeMs[slot] ?? 0);
        const endMs = beginMs + serviceMs * (0.5 + random());
        slotFreeMs[slot] = endMs;
        running.push({startedMs: nowMs, endMs});
      }
      running.sort((first, second) => first.endMs - second.endMs);
      const next = running[0];
      if (!next) break;
      nowMs = Math.max(nowMs, next.endMs);
      limiter.observe({
        startedMs: next.startedMs,
        finishedMs: nowMs,
        childMs: 0,
        kind: 'any',
        completion: Completion.SUCCEEDED,
        running: running.length,
      });
      running.shift();
    }
    return limiter.readLimit();
  });
}

// Guards against a limit that collapses during a slow phase: a gradient limiter
// without trials lowers it so far that it needs seconds to recover.
for (const seed of [1, 2, 3]) {
  it(`limiter: keeps the limit through a slow phase, seed ${seed}`, () => {
    const limits = runPhases(
      new TrialLimiter(40),
      40,
      [
        {durationMs: 3_000, serviceMs: 50},
        {durationMs: 10_000, serviceMs: 200},
        {durationMs: 2_000, serviceMs: 50},
      ],
      createRandom(seed),
    );
    expect(limits[2]).to.be.at.least(34);
  });
}

// Guards against a limiter that stays at announced slots which are too low or
// too high.
it('limiter: corrects wrong announced slots', () => {
  const phases = [{durationMs: 10_000, serviceMs: 50}];
  const [raised] = runPhases(new TrialLimiter(20), 40, phases, createRandom(4));
  expect(raised).to.be.within(34, 62);
  const refused = new TrialLimiter(80);
  for (let index = 0; index < 10; index += 1) {
    refused.observe({
      startedMs: index * 100,
      finishedMs: index * 100 + 50,
      childMs: 0,
      kind: 'any',
      completion: Completion.SHED_BY_UPSTREAM,
      running: 41,
    });
  }
  expect(refused.readLimit()).to.be.at.most(36);
});
