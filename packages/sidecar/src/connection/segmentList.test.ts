import {expect} from 'chai';
import fc from 'fast-check';
import {SegmentList, SegmentPool} from './segmentList.js';

const SEED = 20_261_207;
const MB = 1024 * 1024;

// Guards against bodies that are changed by the reuse of buffers.
it('segments: bytes are kept, and reuse does not change them', () => {
  const sizes = fc.array(fc.integer({min: 0, max: 300_000}), {maxLength: 8});
  fc.assert(
    fc.property(fc.array(sizes, {maxLength: 5}), (bodies) => {
      const pool = new SegmentPool(MB);
      const taken: Array<{expected: Buffer; pieces: readonly Buffer[]}> = [];
      for (const [index, body] of bodies.entries()) {
        const chunks = body.map((size) => Buffer.alloc(size, index + 1));
        const list = new SegmentList(pool);
        for (const chunk of chunks) list.add(chunk);
        const expected = Buffer.concat(chunks);
        if (index % 2 === 0) list.clear();
        else taken.push({expected, pieces: list.take()});
      }
      for (const {expected, pieces} of taken)
        expect(Buffer.concat(pieces).equals(expected)).to.equal(true);
    }),
    {seed: SEED, numRuns: 50},
  );
});

// Guards against buffers that pile up although nothing needs them.
it('segments: the pool keeps a limited number', () => {
  const pool = new SegmentPool(MB);
  const list = new SegmentList(pool);
  list.add(Buffer.alloc(2 * MB, 1));
  list.clear();
  const reused = Array.from({length: 5}, () => pool.take());
  expect(reused.filter((segment) => segment[0] === 1)).to.have.length(4);
});
