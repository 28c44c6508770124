import {expect} from 'chai';
import {VirtualClock} from 'sycamoreyoke/clock';
import {EventCode} from 'sycamoreyoke/process/events';
import {DecisionLog} from './decisionLog.js';

const FLOOD = 100_000;
/** Bounds of the log: 70 lines per second of at most 1 KB each. */
const LINES_PER_S = 72;
const BYTES_WAITING = 300 * 1024;

// Guards against a flood of failures that fills the disk of a log collector or
// uses the CPU time that requests need.
it('decision log: a flood is cut to its budget and reported', () => {
  const written: string[] = [];
  const clock = new VirtualClock();
  const log = new DecisionLog('n', clock, (content, done) => {
    written.push(content);
    done();
  });
  for (let second = 0; second < 3; second += 1) {
    for (let count = 0; count < FLOOD; count += 1) {
      log.record(EventCode.REQUEST_REFUSED, {reason: 'x'}, `r-${count}`);
      log.record(EventCode.CALL_COMPLETED, {}, `s-${count}`);
    }
    clock.advance(1_000);
    log.flush();
  }
  const lines = written.join('').trim().split('\n');
  expect(lines.length).to.be.at.most(3 * LINES_PER_S);
  const dropped = lines.filter((line) => line.includes('LOG_LINES_DROPPED'));
  expect(dropped.length).to.equal(2);
});

// Guards against a stalled log reader that blocks the process or makes its
// buffer grow without limit.
it('decision log: a blocked reader drops lines within a memory limit', () => {
  const clock = new VirtualClock();
  const written: string[] = [];
  const log = new DecisionLog('n', clock, (content) => written.push(content));
  const message = 'x'.repeat(2_000);
  for (let second = 0; second < 30; second += 1) {
    for (let count = 0; count < 60; count += 1) {
      log.record(EventCode.LINK_DOWN, {message});
    }
    clock.advance(1_000);
    log.flush();
  }
  expect(written.length).to.equal(1);
  expect(log.countBytes()).to.be.at.most(BYTES_WAITING);
});

// Guards against losing the lines of failed requests because a start logs many
// link events in the same second.
it('decision log: link events do not displace request events', () => {
  const written: string[] = [];
  const log = new DecisionLog('n', new VirtualClock(), (content, done) => {
    written.push(content);
    done();
  });
  for (let count = 0; count < 100; count += 1) {
    log.record(EventCode.LINK_UP, {node: `n-${count}`});
  }
  log.record(EventCode.REQUEST_REFUSED, {reason: 'x'}, 'r-1');
  log.flush();
  expect(written.join('')).to.contain('"requestId":"r-1"');
});
