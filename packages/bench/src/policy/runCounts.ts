/** Totals and series that one run produces. */
export interface RunCounts {
  /** Requests by their first send, and those answered, by kind. */
  readonly offeredInTrigger: Map<string, number>;
  readonly servedInTrigger: Map<string, number>;
  /** By the time of the first send. */
  readonly offeredBins: number[];
  readonly answeredBins: number[];
  /** By the time of the response. */
  readonly servedBins: number[];
  usefulSlotMs: number;
  wastedSlotMs: number;
  criticalShed: number;
  earlyRefusals: number;
  /** Resends by nodes for one request, at most. */
  mostNodeRetries: number;
  /** Starts on upstreams for one request, at most. */
  mostStarts: number;
}

/** Width of the bins of a series. */
export const BIN_MS = 250;

export function createRunCounts(): RunCounts {
  return {
    offeredInTrigger: new Map(),
    servedInTrigger: new Map(),
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

/** Adds one to the bin of a time. */
export function addToBin(bins: number[], timeMs: number): void {
  const index = Math.floor(timeMs / BIN_MS);
  bins[index] = (bins[index] ?? 0) + 1;
}

/** Adds one to the count of a name. */
export function addToCount(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
