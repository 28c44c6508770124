import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {createRandom} from '../random.js';
import {Importance} from '../types.js';
import {
  formatLevel,
  AdmissionLevelCache,
  parseLevel,
} from './admissionLevel.js';

// Guards against two nodes interpreting a level differently, and against
// accepting a malformed header.
it('level: formatting and parsing agree, malformed text is refused', () => {
  const level = {lowestAdmitted: Importance.HIGH, validMs: 180};
  expect(parseLevel(formatLevel(level))).to.deep.equal(level);
  for (const text of ['', '4;10', '2', '2;-1', '2;99999', '2;1 ', 'x;1']) {
    expect(parseLevel(text), text).to.be.undefined;
  }
});

// Guards against a stale level that causes refusals for longer than a second,
// and against early refusal of CRITICAL requests.
it('level: a level expires after a second and never refuses CRITICAL', () => {
  const clock = new VirtualClock();
  const cache = new AdmissionLevelCache(clock, createRandom(1));
  cache.observe('m0', {lowestAdmitted: Importance.CRITICAL, validMs: 9_999});
  expect(cache.isAdmitted('m0', Importance.HIGH)).to.be.false;
  expect(cache.isAdmitted('m0', Importance.CRITICAL)).to.be.true;
  clock.advance(999);
  expect(cache.isAdmitted('m0', Importance.HIGH)).to.be.false;
  clock.advance(1);
  expect(cache.isAdmitted('m0', Importance.HIGH)).to.be.true;
  expect(cache.count()).to.equal(0);
});

// Guards against a probe share other than 2%: too few probes detect the end of
// an overload late, too many add to the load.
it('level: two in a hundred requests are probes', () => {
  const cache = new AdmissionLevelCache(new VirtualClock(), createRandom(2));
  const probes = Array.from({length: 50_000}, () => cache.isProbe()).filter(
    Boolean,
  );
  expect(probes.length).to.be.within(850, 1_150);
});
