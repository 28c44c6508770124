/**
 * Counts requests by account and result for the accounts with the most requests,
 * and for the rest together, so that the number of series is bounded.
 */

/** Accounts with counts of their own. */
export const COUNTED_ACCOUNTS = 20;

/** Counts of an account by result. */
export type ResultCounts = ReadonlyMap<string, number>;

interface Entry {
  readonly counts: Map<string, number>;
  /** Requests, with those of accounts that had the place before. */
  weight: number;
}

/** Name under which all other accounts are counted. */
export const OTHER_ACCOUNTS = 'other';

/**
 * Counts with the space-saving method: an account without a place takes that of
 * the account with the fewest requests, whose counts go to the rest.
 */
export class AccountCounts {
  private readonly entries = new Map<string, Entry>();
  private readonly rest = new Map<string, number>();

  constructor(private readonly size = COUNTED_ACCOUNTS) {}

  count(account: string, result: string): void {
    const entry = this.entries.get(account) ?? this.open(account);
    entry.weight += 1;
    addCount(entry.counts, result, 1);
  }

  /** Lists the counts by account, the rest under OTHER_ACCOUNTS. */
  list(): ReadonlyArray<readonly [account: string, counts: ResultCounts]> {
    const own = [...this.entries].map(
      ([account, {counts}]) => [account, counts] as const,
    );
    return [...own, [OTHER_ACCOUNTS, this.rest]];
  }

  private open(account: string): Entry {
    const weight =
      this.entries.size < this.size ? 0 : this.releaseSmallest().weight;
    const entry = {counts: new Map<string, number>(), weight};
    this.entries.set(account, entry);
    return entry;
  }

  private releaseSmallest(): Entry {
    let smallest: [string, Entry] | undefined;
    for (const candidate of this.entries) {
      if (!smallest || candidate[1].weight < smallest[1].weight) {
        smallest = candidate;
      }
    }
    if (!smallest) return {counts: new Map(), weight: 0};
    const [account, entry] = smallest;
    this.entries.delete(account);
    for (const [result, count] of entry.counts) {
      addCount(this.rest, result, count);
    }
    return entry;
  }
}

function addCount(
  counts: Map<string, number>,
  result: string,
  amount: number,
): void {
  counts.set(result, (counts.get(result) ?? 0) + amount);
}
