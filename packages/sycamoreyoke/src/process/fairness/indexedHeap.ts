import type {Compare} from '../heap.js';

/** Binary heap, smallest item at the top, whose items may change their place. */
export class IndexedHeap<T> {
  private readonly items: T[] = [];
  private readonly positions = new Map<T, number>();

  constructor(private readonly compare: Compare<T>) {}

  readFirst(): T | undefined {
    return this.items[0];
  }

  count(): number {
    return this.items.length;
  }

  /** Adds an item, or moves it after its sort key has changed. */
  update(item: T): void {
    let position = this.positions.get(item);
    if (position === undefined) {
      position = this.items.length;
      this.items.push(item);
    }
    this.sortDown(this.sortUp(position, item), item);
  }

  remove(item: T): void {
    const position = this.positions.get(item);
    if (position === undefined) return;
    this.positions.delete(item);
    const last = this.items.pop() as T;
    if (last !== item) this.sortDown(this.sortUp(position, last), last);
  }

  private sortUp(start: number, item: T): number {
    let position = start;
    while (position > 0) {
      const parent = (position - 1) >> 1;
      const above = this.items[parent] as T;
      if (this.compare(above, item) <= 0) break;
      this.set(position, above);
      position = parent;
    }
    this.set(position, item);
    return position;
  }

  private sortDown(start: number, item: T): void {
    const half = this.items.length >> 1;
    let position = start;
    while (position < half) {
      const child = this.chooseChild(2 * position + 1);
      const below = this.items[child] as T;
      if (this.compare(below, item) >= 0) break;
      this.set(position, below);
      position = child;
    }
    this.set(position, item);
  }

  /** Returns the position of the smaller one of two children. */
  private chooseChild(left: number): number {
    const right = left + 1;
    if (right >= this.items.length) return left;
    const order = this.compare(this.items[right] as T, this.items[left] as T);
    return order < 0 ? right : left;
  }

  private set(position: number, item: T): void {
    this.items[position] = item;
    this.positions.set(item, position);
  }
}
