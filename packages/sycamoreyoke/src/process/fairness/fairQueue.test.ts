import {expect} from 'chai';
import fc from 'fast-check';
import {createRandom, takeInteger} from '../../random.js';
import {Importance} from '../../types.js';
import type {WaitingRequest} from '../waitQueue.js';
import {compareByDeadline} from '../waitQueue.js';
import {BacklogCounts} from './backlogCounts.js';
import {FairQueue} from './fairQueue.js';
import {IndexedHeap} from './indexedHeap.js';

let nextSequence = 0;

function createRequest(
  account: string | undefined,
  deadline = 1_000,
): WaitingRequest {
  nextSequence += 1;
  const ticket = `t${nextSequence}`;
  return {
    arrival: {ticket, importance: Importance.NORMAL, deadline, account},
    arrivedMs: 0,
    sequence: nextSequence,
    isWaiting: true,
  };
}

function addRequests(
  queue: FairQueue,
  account: string | undefined,
  ...deadlines: number[]
): void {
  for (const deadline of deadlines) {
    queue.recordOffer(account, 0);
    queue.add(createRequest(account, deadline));
  }
}

/** Starts the next request; returns its account and deadline. */
function startNext(queue: FairQueue, cost = 1): string {
  const request = queue.readFirst() as WaitingRequest;
  const {account, deadline} = request.arrival;
  queue.remove(request);
  queue.recordStart(account, cost, 0);
  return `${account} ${deadline}`;
}

/** Evicts the last request; returns its account and deadline. */
function shedLast(queue: FairQueue): string {
  const request = queue.readLast() as WaitingRequest;
  queue.remove(request);
  return `${request.arrival.account} ${request.arrival.deadline}`;
}

// Guards against an account that delays others by its backlog, and against
// losing the deadline order within an account and within a round.
it('fair queue: accounts take turns, in the order of deadlines', () => {
  const queue = new FairQueue(compareByDeadline);
  addRequests(queue, 'a', 30, 10, 20);
  addRequests(queue, 'b', 25, 15);
  addRequests(queue, undefined, 5);
  const starts = Array.from({length: 6}, () => startNext(queue));
  expect(starts).to.deep.equal([
    'undefined 5',
    'a 10',
    'b 15',
    'a 20',
    'b 25',
    'a 30',
  ]);
});

// Guards against an account that gains by requests that take longer.
it('fair queue: an account is charged what its requests cost', () => {
  const queue = new FairQueue(compareByDeadline);
  addRequests(queue, 'slow', 1, 2, 3);
  addRequests(queue, 'fast', 11, 12, 13, 14, 15, 16, 17, 18);
  const starts: string[] = [];
  for (let count = 0; count < 8; count += 1) {
    const account = queue.readFirst()?.arrival.account;
    starts.push(startNext(queue, account === 'slow' ? 4 : 1));
  }
  const slow = starts.filter((start) => start.startsWith('slow'));
  expect(slow).to.have.length(2);
});

// Guards against an account that saves up its share while it sends nothing, and
// then takes all capacity for a while.
it('fair queue: an account gains nothing by idle rounds', () => {
  const queue = new FairQueue(compareByDeadline);
  addRequests(queue, 'idle', 1);
  startNext(queue);
  for (let round = 0; round < 50; round += 1) {
    addRequests(queue, 'steady', round);
    startNext(queue);
  }
  const later = Array.from({length: 10}, (_, index) => 100 + index);
  addRequests(queue, 'steady', ...later);
  addRequests(queue, 'idle', ...later.map((deadline) => deadline - 50));
  const starts = Array.from({length: 10}, () => startNext(queue));
  const idle = starts.filter((start) => start.startsWith('idle'));
  expect(idle.length).to.be.at.most(6);
});

// Guards against evicting a request of a small account while another account
// has more than its share in the queue.
it('fair queue: the largest backlog loses its last request', () => {
  const queue = new FairQueue(compareByDeadline);
  addRequests(queue, 'small', 99);
  addRequests(queue, 'large', 10, 40, 30, 20);
  addRequests(queue, 'medium', 50, 60);
  const evictions = Array.from({length: 4}, () => shedLast(queue));
  expect(evictions).to.deep.equal([
    'large 40',
    'large 30',
    'medium 60',
    'large 20',
  ]);
});

// Guards against refusing a request on arrival for a queue that is not ahead of
// it, and against admitting one for which its own account's backlog is.
it('fair queue: counts what is ahead of an account, not the queue', () => {
  const queue = new FairQueue(compareByDeadline);
  const deadlines = Array.from({length: 100}, (_, index) => index);
  addRequests(queue, 'large', ...deadlines);
  addRequests(queue, 'small', 1);
  expect(queue.countAhead('new')).to.equal(2);
  expect(queue.countAhead('small')).to.equal(3);
  expect(queue.countAhead('large')).to.equal(101);
});

// Guards against state that stays for accounts without requests.
it('fair queue: forgets an account 2 s after its last request', () => {
  const queue = new FairQueue(compareByDeadline);
  for (let index = 0; index < 10_000; index += 1) {
    queue.recordOffer(`a-${index}`, 0);
  }
  addRequests(queue, 'waiting', 10);
  expect(queue.countAccounts()).to.equal(10_001);
  queue.removeIdle(1_999);
  expect(queue.countAccounts()).to.equal(10_001);
  queue.removeIdle(2_000);
  expect(queue.countAccounts()).to.equal(1);
  expect(startNext(queue)).to.equal('waiting 10');
});

/** Counts the comparisons of requests for each request at a queue. */
function countComparisons(accounts: number, requests: number): number {
  const random = createRandom(3);
  let comparisons = 0;
  const queue = new FairQueue((first, second) => {
    comparisons += 1;
    return compareByDeadline(first, second);
  });
  const addOne = (index: number): void => {
    const account = `a-${index % accounts}`;
    queue.recordOffer(account, index / 100);
    queue.countAhead(account);
    queue.add(createRequest(account, takeInteger(random, 1_000)));
  };
  // Two requests of each account, so that rounds are equal and are decided by a
  // comparison of requests.
  for (let index = 0; index < 2 * accounts; index += 1) addOne(index);
  comparisons = 0;
  for (let index = 0; index < requests; index += 1) {
    addOne(index);
    if (index % 4 === 0) shedLast(queue);
    else startNext(queue);
  }
  return comparisons / requests;
}

// Guards against work for each request that grows with the number of accounts.
it('fair queue: work for each request is logarithmic in the accounts', () => {
  const few = countComparisons(100, 20_000);
  const many = countComparisons(10_000, 20_000);
  // Twice the accounts cost at most one level more of each heap, so a hundred
  // times cost at most twice as much: log2(10,000) = 2 log2(100).
  expect(many).to.be.below(2 * few);
  expect(many).to.be.below(300);
});

// Guards against a heap that loses its order when an item moves.
it('indexed heap: equals a sorted array', () => {
  const step = fc.record({id: fc.nat(20), key: fc.nat(50)});
  fc.assert(
    fc.property(fc.array(step, {maxLength: 200, size: 'max'}), (steps) => {
      const keys = new Map<number, number>();
      const compare = (first: number, second: number): number =>
        (keys.get(first) ?? 0) - (keys.get(second) ?? 0) || first - second;
      const heap = new IndexedHeap<number>(compare);
      const items = new Set<number>();
      for (const {id, key} of steps) {
        if (key < 15) {
          heap.remove(id);
          items.delete(id);
        } else {
          keys.set(id, key);
          heap.update(id);
          items.add(id);
        }
        expect(heap.readFirst()).to.equal([...items].sort(compare)[0]);
        expect(heap.count()).to.equal(items.size);
      }
    }),
    {seed: 17, numRuns: 300},
  );
});

// Guards against a wrong count after the counts have been extended.
it('backlog counts: equal a sum over all accounts', () => {
  const step = fc.record({
    account: fc.nat(5),
    isAdded: fc.boolean(),
    count: fc.integer({min: 1, max: 80}),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60}), (steps) => {
      const counts = new BacklogCounts();
      const waiting = new Array<number>(6).fill(0);
      for (const {account, isAdded, count} of steps) {
        for (let done = 0; done < count; done += 1) {
          const present = waiting[account] ?? 0;
          if (isAdded) counts.add(present + 1);
          else if (present > 0) counts.remove(present);
          waiting[account] = Math.max(0, present + (isAdded ? 1 : -1));
        }
        for (const positions of [1, 2, 63, 64, 65, 200, 5_000]) {
          const sum = waiting.reduce(
            (total, each) => total + Math.min(each, positions),
            0,
          );
          expect(counts.countUpTo(positions)).to.equal(sum);
        }
      }
    }),
    {seed: 19, numRuns: 200},
  );
});
