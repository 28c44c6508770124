/**
 * Time constant of the exponential decay of the counts. With 300 ms the
 * admitted share takes 5 s to recover after downstream refusals end.
 */
export const BUSY_DECAY_MS = 150;
/**
 * Time constant for gates that receive only tens of requests per second. With
 * the shorter one their counts never reach the minimum for throttling.
 */
export const QUIET_DECAY_MS = 500;
/**
 * Minimum share of requests that is admitted, even if all of their downstream
 * calls are refused.
 */
const MIN_ADMITTED_SHARE = 0.02;
/** Below this count of requests a kind is not throttled. */
const MIN_REQUEST_COUNT = 10;

/** Decaying counts of one request kind. */
interface KindCounts {
  /** Requests that finished or were throttled. */
  requests: number;
  succeeded: number;
  updatedMs: number;
  /** Accumulated admitted share; each admitted request uses up 1. */
  credit: number;
}

/**
 * Throttles request kinds whose own calls are refused downstream. Such a
 * request would occupy a slot here and fail, in place of one that could
 * succeed. For each success `headroom` requests are admitted; a value above 1
 * lets the admitted share grow again once the refusals end.
 */
export class DownstreamThrottle {
  private readonly kinds = new Map<string, KindCounts>();

  constructor(
    private readonly headroom: number,
    private readonly decayMs = BUSY_DECAY_MS,
  ) {}

  /** Records the result of a request that ran. */
  observe(kind: string, succeeded: boolean, nowMs: number): void {
    const counts = this.refreshCounts(kind, nowMs);
    counts.requests += 1;
    if (succeeded) counts.succeeded += 1;
  }

  /** Decides whether to admit a request of the kind, and counts it. */
  admit(kind: string, nowMs: number): boolean {
    const counts = this.refreshCounts(kind, nowMs);
    const share = this.computeShare(counts);
    if (share >= 1) return true;
    counts.credit += share;
    if (counts.credit >= 1) {
      counts.credit -= 1;
      return true;
    }
    counts.requests += 1;
    return false;
  }

  private computeShare({requests, succeeded}: KindCounts): number {
    if (requests < MIN_REQUEST_COUNT) return 1;
    return Math.max(MIN_ADMITTED_SHARE, (this.headroom * succeeded) / requests);
  }

  private refreshCounts(kind: string, nowMs: number): KindCounts {
    let counts = this.kinds.get(kind);
    if (!counts) {
      counts = {requests: 0, succeeded: 0, updatedMs: nowMs, credit: 0};
      this.kinds.set(kind, counts);
    }
    const factor = Math.exp((counts.updatedMs - nowMs) / this.decayMs);
    counts.requests *= factor;
    counts.succeeded *= factor;
    counts.updatedMs = nowMs;
    return counts;
  }
}
