import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {CrashWatch, MAX_UNANSWERED, SUSPECT_MS} from './crashWatch.js';

// Guards against mistaking a lost connection for a crash: an execution that
// ended before an answered one started did not crash the upstream.
it('crash watch: a response clears the runs that ended before', () => {
  const clock = new VirtualClock();
  const watch = new CrashWatch<string>(clock);
  watch.recordUnanswered('early');
  clock.advance(10);
  const startedMs = clock.readMs();
  clock.advance(10);
  watch.recordUnanswered('late');
  watch.recordAnswer(startedMs);
  expect(watch.takeSuspects()).to.deep.equal(['late']);
  expect(watch.takeSuspects()).to.deep.equal([]);
});

// Guards against outdated suspects and against unbounded memory.
it('crash watch: suspects are recent and bounded', () => {
  const clock = new VirtualClock();
  const watch = new CrashWatch<number>(clock);
  watch.recordUnanswered(-1);
  clock.advance(SUSPECT_MS + 1);
  for (let run = 0; run <= MAX_UNANSWERED; run += 1) {
    watch.recordUnanswered(run);
  }
  const suspects = watch.takeSuspects();
  expect(suspects).to.have.length(MAX_UNANSWERED);
  expect(suspects).not.to.include(-1);
});
