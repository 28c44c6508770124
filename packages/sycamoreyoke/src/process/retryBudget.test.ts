import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {createRandom} from '../random.js';
import {RetryBudget} from './retryBudget.js';

// Guards against wrong sums when buckets leave the window, also after an idle
// period longer than the window, by comparing with a plain list of attempts.
it('retry budget: matches a list of all attempts', () => {
  const random = createRandom(41);
  const clock = new VirtualClock();
  const budget = new RetryBudget(clock, () => 0.1);
  let attempts: Array<{readonly bucket: number; readonly isRetry: boolean}> =
    [];
  const counts = {taken: 0, refused: 0};
  for (let step = 0; step < 50_000; step += 1) {
    const isBusy = step % 10_000 < 5_000;
    clock.advance(random() < 0.0005 ? 25_000 * random() : isBusy ? 5 : 200);
    const bucket = Math.floor(clock.readMs() / 1_000);
    attempts = attempts.filter((attempt) => attempt.bucket > bucket - 10);
    if (random() < 0.7) {
      budget.recordFirstAttempt();
      attempts.push({bucket, isRetry: false});
      continue;
    }
    const retries = attempts.filter(({isRetry}) => isRetry).length;
    const limit = Math.max(10, 0.1 * (attempts.length - retries));
    const isTaken = retries + 1 <= limit;
    expect(budget.takeRetry()).to.equal(isTaken);
    counts[isTaken ? 'taken' : 'refused'] += 1;
    if (isTaken) attempts.push({bucket, isRetry: true});
  }
  expect(counts.taken).to.be.above(1_000);
  expect(counts.refused).to.be.above(1_000);
});
