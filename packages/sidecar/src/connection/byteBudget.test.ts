import {expect} from 'chai';
import fc from 'fast-check';
import {ByteBudget, findExceededLimit} from './byteBudget.js';
import {ByteList} from './byteList.js';

const SEED = 20_261_204;
const LIMITS = {maxBodyBytes: 1_000, maxOtherBytes: 100};

// Guards against received bytes that count towards no limit.
it('byte budget: bodies, heads and padding are limited', () => {
  const allowed = [
    {received: 100, body: 0},
    {received: 1_100, body: 1_000},
    {received: 1_000, body: 450},
  ];
  const excessive = [
    {received: 101, body: 0},
    {received: 1_001, body: 1_001},
    {received: 1_000, body: 449},
  ];
  for (const bytes of allowed) {
    expect(findExceededLimit(bytes, LIMITS)).to.equal(undefined);
  }
  for (const bytes of excessive) {
    expect(findExceededLimit(bytes, LIMITS)).to.be.a('string');
  }
});

// Guards against a total above the budget, and against a large holder that
// keeps out small ones.
it('byte budget: the largest holder has to release', () => {
  const step = fc.record({
    holder: fc.integer({min: 0, max: 5}),
    bytes: fc.integer({min: 0, max: 60}),
    isReleased: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step), (steps) => {
      const budget = new ByteBudget<number>(100);
      const held = new Map<number, number>();
      for (const {holder, bytes, isReleased} of steps) {
        if (isReleased) {
          budget.release(holder);
          held.delete(holder);
          continue;
        }
        const largest = budget.reserve(holder, bytes);
        held.set(holder, (held.get(holder) ?? 0) + bytes);
        const sum = [...held.values()].reduce((total, size) => total + size, 0);
        expect(largest !== undefined).to.equal(sum > 100);
        if (largest === undefined) continue;
        expect(held.get(largest)).to.equal(Math.max(...held.values()));
        budget.release(largest);
        held.delete(largest);
        expect(budget.readTotal()).to.be.at.most(100);
      }
    }),
    {seed: SEED, numRuns: 300},
  );
});

// Guards against pieces that are lost or joined in the wrong order.
it('byte list: pieces of any length are joined in order', () => {
  const lengths = fc.array(
    fc.oneof(fc.integer({min: 0, max: 40}), fc.integer({min: 0, max: 9_000})),
    {maxLength: 60},
  );
  fc.assert(
    fc.property(lengths, (sizes) => {
      const list = new ByteList();
      const pieces = sizes.map((size, index) => Buffer.alloc(size, index));
      for (const piece of pieces) list.add(piece);
      expect(list.readLength()).to.equal(Buffer.concat(pieces).length);
      expect(list.join().equals(Buffer.concat(pieces))).to.equal(true);
    }),
    {seed: SEED, numRuns: 100},
  );
});
