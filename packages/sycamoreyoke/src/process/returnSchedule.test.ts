import {expect} from 'chai';
import {Importance} from '../types.js';
import {PromisedReturns, ReturnSchedule} from './returnSchedule.js';

const PERIOD = {firstMs: 100, maxMs: 1_100, msPerReturn: 10};
const BUCKET_MS = 100;

/** Refuses clients of one importance at the same time; returns their delays. */
function reserveAll(
  schedule: ReturnSchedule,
  importance: Importance,
  count: number,
): number[] {
  return Array.from({length: count}, () =>
    schedule.reserve(importance, PERIOD, 0),
  );
}

function countBusiestBucket(delays: readonly number[]): number {
  const counts = new Map<number, number>();
  for (const delayMs of delays) {
    const bucket = Math.floor(delayMs / BUCKET_MS);
    counts.set(bucket, (counts.get(bucket) ?? 0) + 1);
  }
  return Math.max(...counts.values());
}

// Guards against refused clients that return together and are refused again.
it('return schedule: clients return at the pace of the capacity', () => {
  const schedule = new ReturnSchedule();
  const delays = reserveAll(schedule, Importance.NORMAL, 100);
  expect(countBusiestBucket(delays)).to.be.at.most(11);
  expect(Math.max(...delays)).to.be.at.most(PERIOD.maxMs);
  const more = reserveAll(schedule, Importance.NORMAL, 200);
  expect(countBusiestBucket([...delays, ...more])).to.be.at.most(33);
});

// Guards against a less important client that returns before bookings.
it('return schedule: important clients return first', () => {
  const schedule = new ReturnSchedule();
  reserveAll(schedule, Importance.LOW, 50);
  const bookings = reserveAll(schedule, Importance.CRITICAL, 30);
  const pages = reserveAll(schedule, Importance.NORMAL, 30);
  expect(Math.min(...bookings)).to.equal(PERIOD.firstMs);
  expect(Math.max(...bookings)).to.be.below(Math.min(...pages));
});

// Guards against a delay beyond what the client honours.
it('return schedule: no delay is above the maximum', () => {
  const schedule = new ReturnSchedule();
  reserveAll(schedule, Importance.CRITICAL, 500);
  const short = {...PERIOD, maxMs: 50};
  expect(schedule.reserve(Importance.LOW, short, 0)).to.be.at.most(50);
});

// Guards against a client that repeats at once and is served before those that
// wait, and against remembering requests without limit.
it('promised returns: a repeat before its time is early', () => {
  const promises = new PromisedReturns();
  promises.add('a', 500);
  expect(promises.computeLeftMs('a', 100)).to.equal(400);
  expect(promises.computeLeftMs('b', 100)).to.equal(0);
  expect(promises.computeLeftMs('a', 490)).to.equal(0);
  promises.add('old', 500);
  for (let id = 0; id < 5_000; id += 1) promises.add(String(id), 500);
  expect(promises.computeLeftMs('old', 100)).to.equal(0);
});
