import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {EventCode, EventRing} from './events.js';
import {HybridClock, compareHybridTimes} from './hybridClock.js';

// Guards against a ring that grows or loses the latest events.
it('events: the ring keeps the latest events in order', () => {
  const clock = new VirtualClock();
  const ring = new EventRing('a', new HybridClock(clock), undefined, 3);
  for (let count = 0; count < 5; count += 1) {
    ring.record(EventCode.REQUEST_JOINED, {attempt: count});
  }
  expect(ring.list().map(({details}) => details['attempt'])).to.deep.equal([
    2, 3, 4,
  ]);
});

// Guards against a timeline that shows an effect before its cause because the
// clock of the receiving VM is behind.
it('events: a message orders the events of two processes', () => {
  const sender = new HybridClock(new VirtualClock(new Date(10_000)));
  const receiver = new HybridClock(new VirtualClock(new Date(0)));
  const sent = sender.read();
  receiver.observe(sent);
  expect(compareHybridTimes(sent, receiver.read())).to.be.lessThan(0);
});
