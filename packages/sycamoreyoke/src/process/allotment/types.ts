/** Types of the allotments of client accounts. */

/** What an account may use over all nodes together. */
export interface Allotment {
  readonly ratePerS: number;
  /** Requests that may exceed the rate at once. */
  readonly burst: number;
  /** Tolerated excess in a window by tokens that were lent before it. */
  readonly excess?: number;
}

/** An origin's ask for tokens of an account. */
export interface TokenAsk {
  readonly account: string;
  readonly wanted: number;
  /** Unused tokens, lent by the owner that is asked. */
  readonly returned: number;
}

/** An owner's answer to an ask; accounts that it does not lend are left out. */
export interface TokenGrant {
  readonly account: string;
  readonly granted: number;
  /** Validity of the tokens from the sending of the ask, ms. */
  readonly lifetimeMs: number;
  /** Time until the owner has another token, ms. */
  readonly nextTokenMs: number;
}

/** Excess over the allotments that the deployment tolerates. */
export interface AllotmentTolerance {
  readonly windowMs: number;
  /** Share of the allotment. */
  readonly overage: number;
  /** Requests in a window. */
  readonly slack: number;
}
