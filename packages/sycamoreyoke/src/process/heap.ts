/** Compares two items; negative if the first comes before the second. */
export type Compare<T> = (first: T, second: T) => number;

/** Binary heap with the smallest item at the top. */
export class Heap<T> {
  private items: T[] = [];

  constructor(private readonly compare: Compare<T>) {}

  add(item: T): void {
    this.items.push(item);
    this.sortUp(this.items.length - 1);
  }

  /** Returns the top item without removing it. */
  readFirst(): T | undefined {
    return this.items[0];
  }

  takeFirst(): T | undefined {
    const first = this.items[0];
    const last = this.items.pop();
    if (last !== undefined && this.items.length > 0) {
      this.items[0] = last;
      this.sortDown(0);
    }
    return first;
  }

  count(): number {
    return this.items.length;
  }

  /** Removes all items that are not kept, in linear time. */
  removeExcept(isKept: (item: T) => boolean): void {
    this.items = this.items.filter(isKept);
    for (let index = (this.items.length >> 1) - 1; index >= 0; index -= 1) {
      this.sortDown(index);
    }
  }

  private sortUp(start: number): void {
    const item = this.items[start] as T;
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = this.items[parent] as T;
      if (this.compare(above, item) <= 0) break;
      this.items[index] = above;
      index = parent;
    }
    this.items[index] = item;
  }

  private sortDown(start: number): void {
    const item = this.items[start] as T;
    const half = this.items.length >> 1;
    let index = start;
    while (index < half) {
      let child = 2 * index + 1;
      const right = child + 1;
      if (
        right < this.items.length &&
        this.compare(this.items[right] as T, this.items[child] as T) < 0
      ) {
        child = right;
      }
      const below = this.items[child] as T;
      if (this.compare(below, item) >= 0) break;
      this.items[index] = below;
      index = child;
    }
    this.items[index] = item;
  }
}
