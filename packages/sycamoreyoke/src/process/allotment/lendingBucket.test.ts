import {expect} from 'chai';
import {createRandom, takeInteger} from '../../random.js';
import {computeExcess, computeFallbackRate} from './fallbackBucket.js';
import {
  LendingBucket,
  computeCapacity,
  computeLifetimeMs,
} from './lendingBucket.js';
import {TokenBucket} from './tokenBucket.js';
import type {Allotment} from './types.js';

const ALLOTMENT: Allotment = {ratePerS: 100, burst: 120};

/** Takes all tokens at each step, and returns them unused shortly before expiry. */
function countAfterReturns(forMs: number): number {
  const bucket = new LendingBucket(ALLOTMENT, -10_000, 0);
  const holdMs = computeLifetimeMs(ALLOTMENT) - 100;
  const held: number[] = [];
  const stepMs = 10;
  for (let step = 0; step * stepMs < forMs; step += 1) {
    const returned = held[step - holdMs / stepMs] ?? 0;
    if (returned > 0) bucket.accept(step * stepMs, returned);
    held[step] = bucket.take(step * stepMs, Infinity);
  }
  return held.slice(-holdMs / stepMs).reduce((sum, count) => sum + count, 0);
}

// Guards against tokens that multiply because each one that is returned makes
// room for another: a capacity below the burst does not prevent it.
it('lending bucket: no more tokens are out than the burst', () => {
  expect(countAfterReturns(6_000)).to.be.within(60, ALLOTMENT.burst);
});

// Guards against runs beyond rate x window + burst when tokens are lent before
// a burst and used during it, late or not at all.
it('lending bucket: uses of lent tokens fit one exact bucket', () => {
  for (let seed = 1; seed <= 150; seed += 1) {
    const random = createRandom(seed);
    const ratePerS = 10 + takeInteger(random, 200);
    const allotment = {ratePerS, burst: ratePerS * (0.25 + 4 * random())};
    const lifetimeMs = computeLifetimeMs(allotment);
    const bucket = new LendingBucket(allotment, -10_000, 0);
    const size = {ratePerS, capacity: allotment.burst};
    const exact = new TokenBucket(size, 0, allotment.burst);
    let tokens: number[] = [];
    for (let nowMs = 0; nowMs < 8_000; nowMs += 5) {
      if (random() < 0.1) {
        const granted = bucket.take(nowMs, takeInteger(random, 300));
        for (let i = 0; i < granted; i += 1) tokens.push(nowMs + lifetimeMs);
      }
      tokens = tokens.filter((expiresMs) => expiresMs > nowMs);
      const count = random() < 0.05 ? tokens.length : 0;
      const isUsed = random() < 0.7;
      tokens.splice(0, count);
      if (!isUsed && count > 0) bucket.accept(nowMs, count);
      exact.advance(nowMs);
      if (isUsed) expect(exact.take(count), `seed ${seed}`).to.equal(count);
    }
  }
});

// Guards against a second burst after a restart, and against an account that
// loses what it has gained while it was idle.
it('lending bucket: begins empty, and a later one holds the gain', () => {
  const fresh = new LendingBucket(ALLOTMENT, 1_000, 1_000);
  expect(fresh.take(1_000, 500)).to.equal(0);
  const later = new LendingBucket(ALLOTMENT, 1_000, 1_300);
  expect(later.take(1_300, 500)).to.equal(30);
  const idle = new LendingBucket(ALLOTMENT, 1_000, 60_000);
  expect(idle.isIdle(60_000)).to.equal(true);
  expect(idle.take(60_000, 500)).to.equal(computeCapacity(ALLOTMENT));
});

// Guards against a lowered limit that applies only to tokens gained later.
it('lending bucket: lowered limit takes effect at once', () => {
  const bucket = new LendingBucket(ALLOTMENT, -10_000, 0);
  bucket.apply(0, {ratePerS: 10, burst: 10});
  expect(bucket.take(0, 500)).to.equal(5);
  expect(bucket.take(1_000, 500)).to.be.within(4, 5);
});

// Guards against a credit for a token that may have been used, since its owner
// regards it as expired.
it('lending bucket: expired token is not credited', () => {
  const bucket = new LendingBucket({ratePerS: 1, burst: 100}, -1e6, 0);
  expect(bucket.take(0, 500)).to.equal(99);
  bucket.accept(5_000, 99);
  expect(bucket.take(5_000, 500)).to.equal(5);
});

// Guards against refusing a small account two requests that arrive together,
// although its burst allows them and the deployment tolerates what was lent
// before; and against more than the burst and the excess in a window.
it('lending bucket: a tolerated excess leaves the whole burst', () => {
  const allotment = {ratePerS: 2, burst: 2, excess: 10};
  const bucket = new LendingBucket(allotment, -10_000, 0);
  expect(bucket.take(0, 5)).to.equal(2);
  expect(bucket.take(500, 5)).to.equal(1);
  const strict = new LendingBucket({...allotment, excess: 0}, -10_000, 0);
  expect(strict.take(0, 5)).to.equal(1);
  let lent = 3;
  for (let nowMs = 520; nowMs <= 5_000; nowMs += 20) {
    lent += bucket.take(nowMs, 5);
  }
  const {ratePerS, burst, excess} = allotment;
  expect(lent).to.be.at.most(ratePerS * 5 + burst + excess);
  expect(lent).to.be.at.least(ratePerS * 5);
});

// Guards against using the tolerance twice: by lent tokens, and by origins that
// reach no owner.
it('lending bucket: excess and fallback share the tolerance', () => {
  const tolerance = {windowMs: 5_000, overage: 0.1, slack: 20};
  const allotment = {ratePerS: 344, burst: 344};
  const fallback = 61 * computeFallbackRate(allotment, tolerance, 61) * 5;
  const excess = computeExcess(allotment, tolerance);
  expect(excess + fallback).to.be.at.most(0.1 * (344 * 5 + 344) + 20);
});
