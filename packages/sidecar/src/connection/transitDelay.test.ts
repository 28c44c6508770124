import {expect} from 'chai';
import {TransitDelay} from './transitDelay.js';

const CLOCK_DIFFERENCE_MS = 5_000_000;

// Guards against a call that waited on its link and is run after its deadline.
it('transit: a message that waited is late by its wait', () => {
  const delay = new TransitDelay();
  expect(delay.observe(1_000, CLOCK_DIFFERENCE_MS + 1_001)).to.equal(0);
  expect(delay.observe(2_000, CLOCK_DIFFERENCE_MS + 2_801)).to.equal(800);
  expect(delay.observe(2_900, CLOCK_DIFFERENCE_MS + 2_901)).to.equal(0);
});

// Guards against clocks that drift apart until each call seems late.
it('transit: drift of the clocks does not add up', () => {
  const delay = new TransitDelay();
  let lateMs = 0;
  for (let second = 0; second < 36_000; second += 1) {
    const sentMs = second * 1_000;
    lateMs = delay.observe(sentMs, sentMs * 1.0001);
  }
  expect(lateMs).to.be.below(10);
});
