import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {createRandom} from '../random.js';
import {Importance} from '../types.js';
import {formatLevel, LevelCache, parseLevel} from './admissionLevel.js';

// Guards against a level that two nodes read differently, and against garbage
// taken for a level.
it('level: formatting and parsing agree, garbage is refused', () => {
  const level = {lowestAdmitted: Importance.HIGH, validMs: 180};
  expect(parseLevel(formatLevel(level))).to.deep.equal(level);
  for (const text of ['', '4;10', '2', '2;-1', '2;99999', '2;1 ', 'x;1']) {
    expect(parseLevel(text), text).to.be.undefined;
  }
});

// Guards against a stale level that refuses for longer than a second, and
// against early refusals of CRITICAL requests.
it('level: a level expires after a second and never holds CRITICAL', () => {
  const clock = new VirtualClock();
  const cache = new LevelCache(clock, createRandom(1));
  cache.observe('m0', {lowestAdmitted: Importance.CRITICAL, validMs: 9_999});
  expect(cache.isAdmitted('m0', Importance.HIGH)).to.be.false;
  expect(cache.isAdmitted('m0', Importance.CRITICAL)).to.be.true;
  clock.advance(999);
  expect(cache.isAdmitted('m0', Importance.HIGH)).to.be.false;
  clock.advance(1);
  expect(cache.isAdmitted('m0', Importance.HIGH)).to.be.true;
  expect(cache.count()).to.equal(0);
});

// Guards against a probe share that is off by more than chance.
it('level: two in a hundred requests are probes', () => {
  const cache = new LevelCache(new VirtualClock(), createRandom(2));
  const probes = Array.from({length: 50_000}, () => cache.isProbe()).filter(
    Boolean,
  );
  expect(probes.length).to.be.within(850, 1_150);
});
