import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {reportByThrowing} from '../invariants.js';
import {createRandom, takeInteger} from '../random.js';
import {Drain, DrainActionKind, DrainState} from './drain.js';
import {PauseDetector} from './pauseDetector.js';
import {WarmUp, WarmUpEnd} from './warmUp.js';

interface Job {
  readonly deadline: number;
  isRunning: boolean;
  isRecord: boolean;
}

// Guards against an exit while a caller still waits for a response or may
// resend its request, a request that starts after LEAVING, a queued request
// that is never answered, a second stop that ends the process at once, and a
// drain that never ends.
it('drain: no request is cut, nothing starts after leaving', () => {
  const random = createRandom(81);
  const seen = new Set<string>();
  for (let run = 0; run < 1_000; run += 1) {
    const clock = new VirtualClock();
    const drain = new Drain(clock, reportByThrowing);
    const jobs = new Map<string, Job>();
    let announcements = 0;
    let exitMs: number | undefined;
    let leavingMs: number | undefined;
    let upstreamCalls = 0;
    const isLive = (job: Job) => job.deadline > clock.readMs();
    const apply = (actions: ReturnType<Drain['tick']>) => {
      for (const action of actions) {
        seen.add(action.kind);
        if (action.kind === DrainActionKind.REFUSE) {
          expect(jobs.get(action.ticket)?.isRunning).to.equal(false);
          jobs.delete(action.ticket);
        } else if (action.kind === DrainActionKind.ANNOUNCE_LEAVING) {
          announcements += 1;
        } else if (action.kind === DrainActionKind.ANSWER_UPSTREAM) {
          upstreamCalls = 0;
          const live = [...jobs.values()].filter(isLive);
          expect(live.every(({isRecord}) => isRecord)).to.equal(true);
        } else {
          exitMs = clock.readMs();
          expect([...jobs.values()].filter(isLive)).to.have.length(0);
          expect(exitMs - leavingMs!).to.be.at.least(3_000);
        }
      }
    };
    for (let step = 0; exitMs === undefined; step += 1) {
      expect(step).to.be.below(2_000);
      clock.advance(random() < 0.005 ? 8_000 * random() : 100 * random());
      const isServing = drain.readState() === DrainState.SERVING;
      if (random() < 0.5) {
        const ticket = `t${step}`;
        const deadline = clock.readMs() + 10_000 * random();
        expect(drain.admit(ticket, deadline)).to.equal(isServing);
        if (isServing) {
          jobs.set(ticket, {deadline, isRunning: false, isRecord: false});
        }
      }
      const tickets = [...jobs.keys()];
      const ticket = tickets[takeInteger(random, tickets.length)];
      const job = ticket === undefined ? undefined : jobs.get(ticket);
      if (ticket !== undefined && job) {
        if (job.isRecord) {
          jobs.delete(ticket);
          apply(drain.markDelivered(ticket));
        } else if (!job.isRunning && random() < 0.2) {
          jobs.delete(ticket);
          apply(drain.cancel(ticket));
        } else if (!job.isRunning) {
          job.isRunning = drain.start(ticket);
          expect(job.isRunning).to.equal(isServing);
        } else if (random() < 0.3) {
          apply(drain.cancel(ticket));
        } else {
          job.isRecord = random() < 0.5;
          if (!job.isRecord) jobs.delete(ticket);
          const recordDeadline = job.isRecord ? job.deadline : undefined;
          apply(drain.finish(ticket, recordDeadline));
        }
      }
      const isStopped = step > 30 && random() < 0.05;
      if (isStopped) {
        leavingMs ??= clock.readMs();
        const isUpstream = random() < 0.5;
        if (isUpstream) upstreamCalls += 1;
        apply(isUpstream ? drain.drainUpstream() : drain.stopNode());
      }
      apply(drain.tick());
      const work = [...jobs.values()].filter(({isRecord}) => !isRecord);
      expect(drain.countWork()).to.equal(work.length);
    }
    expect(announcements).to.equal(1);
    expect(upstreamCalls).to.equal(0);
    expect(drain.readState()).to.equal(DrainState.CLOSED);
  }
  expect(seen.size).to.equal(4);
});

// Guards against refusing the outgoing calls of a running request, and against
// calls without a parent request delaying the shutdown.
it('drain: only calls of running requests go out while leaving', () => {
  const drain = new Drain(new VirtualClock(), reportByThrowing);
  drain.admit('running', 9_000);
  drain.start('running');
  drain.stopNode();
  expect(drain.admitCall('running')).to.equal(true);
  expect(drain.admitCall('other')).to.equal(false);
  expect(drain.admitCall(undefined)).to.equal(false);
});

// Guards against serving data that was read before a pause or before the
// refresh has finished, and against a refresh for an earlier pause completing a
// later one.
it('pause detector: data read before a pause is not served', () => {
  const clock = new VirtualClock();
  const detector = new PauseDetector(clock);
  const mark = detector.readMark()!;
  clock.advance(1_000);
  expect(detector.observe()).to.have.length(0);
  expect(detector.isCurrent(mark)).to.equal(true);
  clock.advance(1_001);
  expect(detector.isCurrent(mark)).to.equal(false);
  expect(detector.observe()).to.have.length(2);
  expect(detector.readMark()).to.equal(undefined);
  clock.advance(5_000);
  expect(detector.observe()[0]?.pause).to.equal(2);
  detector.finishRefresh(1);
  expect(detector.readMark()).to.equal(undefined);
  detector.finishRefresh(2);
  expect(detector.isCurrent(mark)).to.equal(false);
  expect(detector.isCurrent(detector.readMark()!)).to.equal(true);
});

// Guards against a warm-up that exceeds 16 concurrent calls or never ends.
it('warm-up: ends by count, time limit or failures', () => {
  const run = (stepMs: number, isSuccess: boolean) => {
    const clock = new VirtualClock();
    const warmUp = new WarmUp(clock);
    let step = warmUp.start();
    let inFlight = step.sends;
    while (!step.end) {
      expect(inFlight).to.be.within(1, 16);
      clock.advance(stepMs);
      step = warmUp.finishCall(isSuccess);
      inFlight += step.sends - 1;
    }
    expect(warmUp.tick()).to.deep.equal({sends: 0});
    return [step.end, warmUp.countFinished()];
  };
  expect(run(0.5, true)).to.deep.equal([WarmUpEnd.COMPLETED, 3_000]);
  expect(run(5, true)).to.deep.equal([WarmUpEnd.TIME_LIMIT, 1_000]);
  expect(run(0.5, false)).to.deep.equal([WarmUpEnd.FAILING, 50]);
});
