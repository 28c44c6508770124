/** Capacity of the first array; it doubles when a backlog exceeds it. */
const INITIAL_CAPACITY = 64;

/**
 * Counts the requests that wait within the first positions of their accounts.
 * `atLeast[position]` is the number of accounts with that many requests or
 * more; its prefix sums are kept in a Fenwick tree.
 */
export class BacklogCounts {
  private atLeast = new Array<number>(INITIAL_CAPACITY + 1).fill(0);
  private tree = new Array<number>(INITIAL_CAPACITY + 1).fill(0);

  /** Records that an account has a request at the position, counted from 1. */
  add(position: number): void {
    while (position >= this.tree.length) this.addCapacity();
    this.change(position, 1);
  }

  /** Records that an account no longer has a request at the position. */
  remove(position: number): void {
    this.change(position, -1);
  }

  /** Sums up min(requests of the account, positions) over all accounts. */
  countUpTo(positions: number): number {
    let sum = 0;
    let index = Math.min(positions, this.tree.length - 1);
    while (index > 0) {
      sum += this.tree[index] ?? 0;
      index -= index & -index;
    }
    return sum;
  }

  private change(position: number, amount: number): void {
    this.atLeast[position] = (this.atLeast[position] ?? 0) + amount;
    this.addToTree(position, amount);
  }

  private addToTree(position: number, amount: number): void {
    for (let at = position; at < this.tree.length; at += at & -at) {
      this.tree[at] = (this.tree[at] ?? 0) + amount;
    }
  }

  /** Doubles the capacity; linear, so constant on average. */
  private addCapacity(): void {
    const length = 2 * (this.tree.length - 1) + 1;
    this.tree = new Array<number>(length).fill(0);
    this.atLeast.forEach((amount, position) => {
      if (position > 0) this.addToTree(position, amount);
    });
    this.atLeast.length = length;
    this.atLeast.fill(0, (length + 1) >> 1);
  }
}
