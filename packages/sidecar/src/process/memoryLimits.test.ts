import {expect} from 'chai';
import {computeMemoryLimits} from './memoryLimits.js';

const MB = 1024 * 1024;
/** Copies of one body while it is joined, encoded and written. */
const BODY_COPIES = 4;

// Guards against limits whose sum exceeds the memory of a machine.
it('memory: all limits together fit into the machine', () => {
  for (const memoryMb of [200, 250, 350, 602, 2_048]) {
    const limits = computeMemoryLimits(memoryMb);
    const gateBytes = limits.responses + BODY_COPIES * limits.responseBody;
    const originBytes = limits.frames + limits.clientOutput;
    expect(gateBytes).to.be.below(memoryMb * MB - 85 * MB);
    expect(originBytes).to.be.below(memoryMb * MB - 85 * MB);
  }
});

// Guards against a small machine that refuses every response.
it('memory: a small machine still takes responses', () => {
  expect(computeMemoryLimits(64).responseBody).to.be.at.least(MB);
});
