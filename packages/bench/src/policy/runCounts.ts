/** Totals and series that one run produces. */
export interface RunCounts {
  /** Requests first sent during the trigger, by kind. */
  readonly offeredDuringTrigger: Map<string, number>;
  /** Requests answered during the trigger, by kind. */
  readonly servedDuringTrigger: Map<string, number>;
  /** Requests, and those answered, by the time of their first send. */
  readonly offeredBins: number[];
  readonly answeredBins: number[];
  /** Answered requests by the time of their response. */
  readonly servedBins: number[];
  /** Slot time of sends whose response arrived in time. */
  usefulSlotMs: number;
  /** Slot time of sends that failed or timed out, and of work after that. */
  wastedSlotMs: number;
  /** Critical requests shed although a less important one started. */
  criticalShed: number;
  /** Calls refused by the egress without being sent. */
  earlyRefusals: number;
  /** Highest number of retries by nodes for one request. */
  mostNodeRetries: number;
  /** Highest number of starts on upstreams for one request. */
  mostStarts: number;
}

/** Bin width of a time series. */
export const BIN_MS = 250;

/** Creates counts with all totals at zero. */
export function createRunCounts(): RunCounts {
  return {
    offeredDuringTrigger: new Map(),
    servedDuringTrigger: new Map(),
    offeredBins: [],
    answeredBins: [],
    servedBins: [],
    usefulSlotMs: 0,
    wastedSlotMs: 0,
    criticalShed: 0,
    earlyRefusals: 0,
    mostNodeRetries: 0,
    mostStarts: 0,
  };
}

/** Increments the bin that contains a time. */
export function addToBin(bins: number[], timeMs: number): void {
  const index = Math.floor(timeMs / BIN_MS);
  bins[index] = (bins[index] ?? 0) + 1;
}

/** Increments the count of a name. */
export function addToCount(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
