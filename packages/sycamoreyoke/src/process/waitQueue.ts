import type {Compare} from './heap.js';
import {Heap} from './heap.js';
import type {Arrival} from './types.js';

/** A request that waits at a gate. */
export interface WaitingRequest {
  readonly arrival: Arrival;
  readonly arrivedMs: number;
  /** Order of arrival at the gate, also used to break ties. */
  readonly sequence: number;
  isWaiting: boolean;
}

/** Order in which waiting requests of one importance start. */
export type WaitingOrder = Compare<WaitingRequest>;

/** Earliest deadline first. */
export const compareByDeadline: WaitingOrder = (first, second) =>
  first.arrival.deadline - second.arrival.deadline ||
  first.sequence - second.sequence;

/** Oldest first. */
export const compareByArrival: WaitingOrder = (first, second) =>
  first.sequence - second.sequence;

/** Newest first. */
export const compareByNewest: WaitingOrder = (first, second) =>
  second.sequence - first.sequence;

/** Removed entries that a heap may hold before it is rebuilt. */
const MAX_STALE_ENTRIES = 64;

/**
 * Double-ended priority queue with one heap for each end. A removed request
 * stays in the heaps until it reaches the top or the heap is rebuilt, which
 * keeps each operation logarithmic on average.
 */
export class WaitQueue {
  private readonly front: Heap<WaitingRequest>;
  private readonly back: Heap<WaitingRequest>;
  private size = 0;

  constructor(order: WaitingOrder) {
    this.front = new Heap(order);
    this.back = new Heap((first, second) => order(second, first));
  }

  add(request: WaitingRequest): void {
    this.front.add(request);
    this.back.add(request);
    this.size += 1;
  }

  /** Returns the request that starts next. */
  readFirst(): WaitingRequest | undefined {
    return readWaiting(this.front);
  }

  /** Returns the request that is evicted next. */
  readLast(): WaitingRequest | undefined {
    return readWaiting(this.back);
  }

  remove(request: WaitingRequest): void {
    request.isWaiting = false;
    this.size -= 1;
    this.removeStale(this.front);
    this.removeStale(this.back);
  }

  count(): number {
    return this.size;
  }

  private removeStale(heap: Heap<WaitingRequest>): void {
    // An empty queue may belong to an account that is kept for a while.
    if (this.size === 0 || heap.count() > 2 * this.size + MAX_STALE_ENTRIES) {
      heap.removeExcept(({isWaiting}) => isWaiting);
    }
  }
}

function readWaiting(heap: Heap<WaitingRequest>): WaitingRequest | undefined {
  let first = heap.readFirst();
  while (first && !first.isWaiting) {
    heap.takeFirst();
    first = heap.readFirst();
  }
  return first;
}
