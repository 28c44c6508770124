import {expect} from 'chai';
import {createRandom} from '../random.js';
import {RequestTimes} from './requestTimes.js';

const SEED = 24;

// Guards against an estimate below what requests of a route usually take.
it('request times: few requests exceed the estimate', () => {
  const random = createRandom(SEED);
  const times = new RequestTimes();
  let exceeded = 0;
  for (let index = 0; index < 2_000; index += 1) {
    const elapsedMs = 100 - 80 * Math.log(1 - random());
    if (elapsedMs > (times.computeUpperMs('book') ?? Infinity)) exceeded += 1;
    times.observe('book', elapsedMs);
  }
  expect(exceeded).to.be.below(2_000 * 0.05);
});

// Guards against an estimate that stays far above requests of a steady time.
it('request times: steady requests have a close estimate', () => {
  const times = new RequestTimes();
  for (let index = 0; index < 60; index += 1) times.observe('book', 2_500);
  expect(times.computeUpperMs('book')).to.be.within(2_500, 2_600);
  expect(times.computeUpperMs('read')).to.equal(undefined);
});
