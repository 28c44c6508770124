import {expect} from 'chai';
import fc from 'fast-check';
import {VirtualClock} from '../clock.js';
import {
  ByteAdmission,
  MIN_PROGRESS_BYTES,
  PROGRESS_WINDOW_MS,
} from './byteAdmission.js';

const SEED = 20_261_207;
const MB = 1024 * 1024;
const LIMITS = {maxBytes: 10 * MB, largeBytes: 9 * MB};

function createAdmission() {
  const clock = new VirtualClock();
  return {clock, admission: new ByteAdmission<string>(clock, LIMITS)};
}

// Guards against bodies that are read although they do not fit, and against
// refusing what only has to wait.
it('byte admission: what does not fit waits and is read later', () => {
  const {admission} = createAdmission();
  expect(admission.open('a', 6 * MB).resumed).to.deep.equal(['a']);
  expect(admission.open('b', 6 * MB)).to.deep.equal({resumed: [], refused: []});
  admission.advance('a', 6 * MB);
  admission.finish('a');
  expect(admission.release('a').resumed).to.deep.equal(['b']);
  expect(admission.countBytes()).to.equal(6 * MB);
});

// Guards against an ordinary request that waits behind large uploads.
it('byte admission: a small body passes large ones', () => {
  const {admission} = createAdmission();
  admission.open('a', 8 * MB);
  admission.open('b', 8 * MB);
  expect(admission.open('small', 10).resumed).to.deep.equal(['small']);
});

// Guards against a body that keeps the others out and never ends.
it('byte admission: a body without progress is refused for others', () => {
  const {clock, admission} = createAdmission();
  admission.open('stuck', 6 * MB);
  admission.advance('stuck', 6 * MB - 9);
  clock.advance(10 * PROGRESS_WINDOW_MS);
  expect(admission.tick().refused).to.deep.equal([]);
  admission.open('next', 6 * MB);
  clock.advance(PROGRESS_WINDOW_MS - 1);
  expect(admission.tick().refused).to.deep.equal([]);
  clock.advance(1);
  expect(admission.tick()).to.deep.equal({
    resumed: ['next'],
    refused: ['stuck'],
  });
});

// Guards against refusing a slow client that does make progress.
it('byte admission: a slow body is kept', () => {
  const {clock, admission} = createAdmission();
  admission.open('slow', 6 * MB);
  admission.open('next', 6 * MB);
  for (let round = 0; round < 50; round += 1) {
    clock.advance(PROGRESS_WINDOW_MS);
    admission.advance('slow', MIN_PROGRESS_BYTES);
    expect(admission.tick().refused).to.deep.equal([]);
  }
});

// Guards against bodies without a length that wait for each other for ever.
it('byte admission: the largest of those that only wait is refused', () => {
  const {admission} = createAdmission();
  const names = ['a', 'b', 'c'];
  for (const name of names) admission.open(name, undefined);
  const reading = new Set(names);
  const refused: string[] = [];
  for (let round = 0; round < 200 && refused.length === 0; round += 1) {
    for (const name of names) {
      if (!reading.has(name)) continue;
      const bytes = name === 'b' ? 200_000 : 100_000;
      if (!admission.advance(name, bytes)) reading.delete(name);
    }
    refused.push(...admission.tick().refused);
  }
  expect(refused).to.deep.equal(['b']);
  expect(admission.countBytes()).to.be.at.most(LIMITS.maxBytes);
});

// Guards against a body that fits into the budget only if it is alone.
it('byte admission: a single body may use the whole budget', () => {
  const {admission} = createAdmission();
  expect(admission.open('a', 10 * MB).resumed).to.deep.equal(['a']);
  admission.release('a');
  expect(admission.open('b', 10 * MB + 1).refused).to.deep.equal(['b']);
});

// Guards against frames of running calls that give way to unfinished uploads.
it('byte admission: a frame displaces the largest unfinished body', () => {
  const {admission} = createAdmission();
  admission.open('a', 3 * MB);
  admission.open('b', 5 * MB);
  expect(admission.hold('frame', 4 * MB)).to.deep.equal({
    isHeld: true,
    resumed: [],
    refused: ['b'],
  });
  expect(admission.hold('huge', 8 * MB).isHeld).to.equal(false);
});

// Guards against bytes above the budget, bytes that are not given back, and
// bodies that wait although nothing is held.
it('byte admission: the budget holds for any order of events', () => {
  const step = fc.record({
    action: fc.constantFrom('open', 'chunked', 'data', 'end', 'leave', 'tick'),
    body: fc.integer({min: 0, max: 6}),
    bytes: fc.integer({min: 1, max: 4 * MB}),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60}), (steps) => {
      const clock = new VirtualClock();
      const admission = new ByteAdmission<number>(clock, LIMITS);
      const open = new Map<number, {left: number; isReading: boolean}>();
      const apply = (change: {
        resumed: readonly number[];
        refused: readonly number[];
      }) => {
        for (const id of change.refused) open.delete(id);
        for (const id of change.resumed) {
          const state = open.get(id);
          if (state) state.isReading = true;
        }
      };
      for (const {action, body, bytes} of steps) {
        const state = open.get(body);
        if (action === 'tick') {
          clock.advance(PROGRESS_WINDOW_MS);
          apply(admission.tick());
        } else if (action === 'open' || action === 'chunked') {
          if (state) continue;
          const length = action === 'open' ? bytes : undefined;
          open.set(body, {left: length ?? Infinity, isReading: false});
          apply(admission.open(body, length));
        } else if (action === 'leave' && state) {
          open.delete(body);
          apply(admission.release(body));
        } else if (state?.isReading) {
          if (action === 'end') {
            state.isReading = false;
            apply(admission.finish(body));
          } else {
            const received = Math.min(bytes, state.left, 64 * 1024);
            state.left -= received;
            state.isReading = admission.advance(body, received);
            if (!state.isReading) apply(admission.tick());
          }
        }
        // A read may pass the budget by what a connection reads at once.
        expect(admission.countBytes()).to.be.at.most(
          LIMITS.maxBytes + 7 * 64 * 1024,
        );
      }
      for (const id of [...open.keys()]) admission.release(id);
      expect(admission.countBytes()).to.equal(0);
      expect(admission.countWaiting()).to.equal(0);
    }),
    {seed: SEED, numRuns: 300},
  );
});
