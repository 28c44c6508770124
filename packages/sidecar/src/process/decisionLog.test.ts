import {expect} from 'chai';
import {VirtualClock} from 'sycamoreyoke/clock';
import {EventCode} from 'sycamoreyoke/process/events';
import {DecisionLog} from './decisionLog.js';

const FLOOD = 100_000;
/** Bounds of the log: 70 lines a second of at most 1 KB. */
const LINES_PER_S = 72;
const BYTES_WAITING = 300 * 1024;

// Guards against a flood of failures that fills the disk of a collector, or
// takes the processor from requests.
it('decision log: a flood is cut to its budget and says so', () => {
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

// Guards against a reader that does not read and stops the process or fills
// its memory.
it('decision log: a blocked reader costs lines, not memory', () => {
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

// Guards against a start whose lines of links hide the requests that fail in
// the same second.
it('decision log: lines of links leave room for those of requests', () => {
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
