import {expect} from 'chai';
import {computeMemoryLimits} from './memoryLimits.js';

const MB = 1024 * 1024;
/** Copies of one response when it is joined; frames are written uncopied. */
const BODY_COPIES = 1;

// Guards against limits whose sum exceeds the memory of a machine.
it('memory: all limits together fit into the machine', () => {
  for (const memoryMb of [200, 250, 350, 602, 2_048]) {
    const limits = computeMemoryLimits(memoryMb);
    const {maxBytes} = limits.held;
    const responseBytes = limits.responses + BODY_COPIES * limits.responseBody;
    const gateBytes = maxBytes + responseBytes;
    const originBytes = maxBytes + limits.clientOutput;
    expect(gateBytes).to.be.below(memoryMb * MB - 85 * MB);
    expect(originBytes).to.be.below(memoryMb * MB - 85 * MB);
  }
});

// Guards against a legal body that the smallest machine can never take.
it('memory: the largest body fits into the smallest machine', () => {
  const {largeBytes} = computeMemoryLimits(250).held;
  expect(largeBytes).to.be.above(65 * MB);
});

// Guards against a small machine that refuses every response.
it('memory: a small machine still takes responses', () => {
  expect(computeMemoryLimits(64).responseBody).to.be.at.least(MB);
});
