/** Counts results by client account, for the largest accounts and the rest. */
import type {CounterSample} from './metrics.js';

/** Accounts that have their own series. */
const NAMED_ACCOUNTS = 20;
/** Accounts whose recent requests are counted to find the largest. */
const TRACKED_ACCOUNTS = 4 * NAMED_ACCOUNTS;
/**
 * An account gets the series of a named one only if it has this many times its
 * recent requests, so that equal accounts do not take turns.
 */
const REPLACEMENT_RATIO = 2;
const HALF_LIFE_MS = 60_000;
/** Weight of a new request at which all weights are scaled down. */
const MAX_WEIGHT = 2 ** 100;

/** Label of the accounts without their own series; no account has a space. */
export const REST_LABEL = 'all others';

/** Limits of the metrics. */
export interface AccountMetricsLimits {
  readonly named: number;
  readonly tracked: number;
}

/** Recent requests of an account, as far as they are known. */
interface Score {
  /** Upper bound. */
  readonly total: number;
  /** Requests of the account that it replaced, which may not be its own. */
  readonly uncertain: number;
}

const NO_SCORE: Score = {total: 0, uncertain: 0};

/** Results of one account by their kind. */
type Series = Map<string, CounterSample>;

/**
 * Metrics of client accounts in bounded memory. The largest accounts by recent
 * requests are found with a decaying Space-Saving sketch. An account has its own
 * series from the time at which it is one of the largest; it loses them to a
 * clearly larger one. Requests are counted in exactly one series, so the rates
 * of all series add up to the rate of all requests.
 */
export class AccountMetrics {
  /** Recent requests of the tracked accounts, weighted by their time. */
  private readonly scores = new Map<string, Score>();
  private readonly named = new Map<string, Series>();
  private readonly rest: Series = new Map();
  private weightedMs = 0;

  constructor(
    private readonly limits: AccountMetricsLimits = {
      named: NAMED_ACCOUNTS,
      tracked: TRACKED_ACCOUNTS,
    },
  ) {}

  /**
   * Counts a request.
   *
   * @param result how it was answered: a kind from a closed set.
   * @param reason why it was refused, if so: one of a closed set.
   */
  record(account: string, result: string, reason: string, nowMs: number): void {
    this.raiseScore(account, nowMs);
    const series = this.chooseSeries(account);
    const key = `${result} ${reason}`;
    const known = series.get(key);
    const label = series === this.rest ? REST_LABEL : account;
    series.set(key, {
      labels: known?.labels ?? {account: label, answer: result, reason},
      value: (known?.value ?? 0) + 1,
    });
  }

  list(): readonly CounterSample[] {
    const all = [...this.named.values(), this.rest];
    return all.flatMap((series) => [...series.values()]);
  }

  private chooseSeries(account: string): Series {
    const known = this.named.get(account);
    if (known) return known;
    if (this.named.size >= this.limits.named) {
      const smallest = this.findSmallest(this.named.keys(), computeCertain);
      const bound = REPLACEMENT_RATIO * computeCertain(this.getScore(smallest));
      if (computeCertain(this.getScore(account)) <= bound) return this.rest;
      this.named.delete(smallest);
    }
    const series: Series = new Map();
    this.named.set(account, series);
    return series;
  }

  /**
   * Adds a request to the score of an account. A new account replaces the
   * smallest tracked one that has no series of its own.
   */
  private raiseScore(account: string, nowMs: number): void {
    const weight = this.computeWeight(nowMs);
    const score = this.scores.get(account) ?? this.createScore();
    this.scores.set(account, {...score, total: score.total + weight});
  }

  private createScore(): Score {
    if (this.scores.size < this.limits.tracked) return NO_SCORE;
    const unnamed = [...this.scores.keys()].filter(
      (account) => !this.named.has(account),
    );
    const smallest = this.findSmallest(unnamed, ({total}) => total);
    const {total} = this.getScore(smallest);
    this.scores.delete(smallest);
    return {total, uncertain: total};
  }

  /** Weights later requests more, which lets the earlier ones decay. */
  private computeWeight(nowMs: number): number {
    const weight = 2 ** ((nowMs - this.weightedMs) / HALF_LIFE_MS);
    if (weight <= MAX_WEIGHT) return weight;
    for (const [account, {total, uncertain}] of this.scores) {
      this.scores.set(account, {
        total: total / weight,
        uncertain: uncertain / weight,
      });
    }
    this.weightedMs = nowMs;
    return 1;
  }

  private findSmallest(
    accounts: Iterable<string>,
    measure: (score: Score) => number,
  ): string {
    let smallest = '';
    let smallestScore = Infinity;
    for (const account of accounts) {
      const score = measure(this.getScore(account));
      if (score < smallestScore) {
        smallest = account;
        smallestScore = score;
      }
    }
    return smallest;
  }

  private getScore(account: string): Score {
    return this.scores.get(account) ?? NO_SCORE;
  }
}

/** Returns the requests that are certainly the account's. */
function computeCertain({total, uncertain}: Score): number {
  return total - uncertain;
}
