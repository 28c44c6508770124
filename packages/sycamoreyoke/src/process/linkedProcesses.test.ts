import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {FORMER_PROCESS_MS, LinkedProcesses} from './linkedProcesses.js';

const FIRST = {node: 'a', incarnation: 'first'};
const SECOND = {node: 'a', incarnation: 'second'};

// Guards against a successor that is told nothing because its process is linked
// twice, and against a process that counts as its own successor.
it('linked processes: the former process of a successor is known', () => {
  const linked = new LinkedProcesses(new VirtualClock());
  expect(linked.hasKnownFormer(FIRST)).to.equal(false);
  linked.recordUp(FIRST);
  expect(linked.hasKnownFormer(FIRST)).to.equal(false);
  linked.recordDown(FIRST);
  expect(linked.hasKnownFormer(SECOND)).to.equal(true);
  linked.recordUp(SECOND);
  linked.recordDown(SECOND);
  linked.recordUp(SECOND);
  expect(linked.hasKnownFormer(SECOND)).to.equal(true);
});

// Guards against a node that vouches for a process of whose last minutes it
// knows nothing.
it('linked processes: a link that ended long before tells nothing', () => {
  const clock = new VirtualClock();
  const linked = new LinkedProcesses(clock);
  linked.recordUp(FIRST);
  clock.advance(10 * FORMER_PROCESS_MS);
  linked.recordDown(FIRST);
  clock.advance(FORMER_PROCESS_MS);
  expect(linked.hasKnownFormer(SECOND)).to.equal(true);
  clock.advance(1);
  expect(linked.hasKnownFormer(SECOND)).to.equal(false);
});
