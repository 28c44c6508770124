/** Records and summaries of the requests of a load run. */
import {build} from 'hdr-histogram-js';
import {Outcome} from 'sycamoreyoke/types';

/** Result of one request, as seen by its caller. */
export interface RequestRecord {
  readonly requestId: string;
  readonly requestClass: string;
  /** Time since the start of the run, in milliseconds. */
  readonly startMs: number;
  readonly latencyMs: number;
  readonly sends: number;
  readonly outcome: Outcome;
  readonly status: number;
  /** Total of the retries that the nodes reported for all sends. */
  readonly retries: number;
  /** The response was complete and answered this request. */
  readonly isWhole: boolean;
  /** A successful response was damaged or belonged to another request. */
  readonly isForeign: boolean;
}

/** Counts and latencies of the requests of a class. */
export interface ClassSummary {
  readonly requestClass: string;
  readonly offered: number;
  /** Requests with a complete response of their own. */
  readonly whole: number;
  /** Requests that were certainly not run. */
  readonly shed: number;
  readonly unknown: number;
  /** Requests that ran but brought no successful, complete response. */
  readonly failed: number;
  readonly foreign: number;
  /** Median latency of the complete responses, in milliseconds. */
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxRetries: number;
}

const HIGHEST_LATENCY_MS = 120_000;

/** Summarises the records by class, sorted by class name. */
export function computeSummaries(
  records: readonly RequestRecord[],
): ClassSummary[] {
  const classes = [...new Set(records.map((record) => record.requestClass))];
  return classes.sort().map((requestClass) =>
    computeSummary(
      requestClass,
      records.filter((record) => record.requestClass === requestClass),
    ),
  );
}

function computeSummary(
  requestClass: string,
  records: readonly RequestRecord[],
): ClassSummary {
  const histogram = build({highestTrackableValue: HIGHEST_LATENCY_MS});
  const wholeRecords = records.filter((record) => record.isWhole);
  for (const record of wholeRecords) {
    histogram.recordValue(Math.max(1, Math.round(record.latencyMs)));
  }
  const countByOutcome = (outcome: Outcome) =>
    records.filter((record) => record.outcome === outcome).length;
  return {
    requestClass,
    offered: records.length,
    whole: wholeRecords.length,
    shed: countByOutcome(Outcome.NOT_RUN),
    unknown: countByOutcome(Outcome.UNKNOWN),
    failed: countByOutcome(Outcome.DONE) - wholeRecords.length,
    foreign: records.filter((record) => record.isForeign).length,
    p50Ms: histogram.getValueAtPercentile(50),
    p99Ms: histogram.getValueAtPercentile(99),
    maxRetries: records.reduce(
      (maximum, record) => Math.max(maximum, record.retries),
      0,
    ),
  };
}

/** Length of the time windows whose success rates are compared. */
const RECOVERY_WINDOW_MS = 250;
/** Fraction of complete responses from which a window counts as recovered. */
const RECOVERED_FRACTION = 0.95;

/**
 * Computes the recovery time: milliseconds from the end of the trigger to the
 * first window from which on all windows before `untilMs` are recovered.
 * Returns undefined when the last window is not recovered.
 */
export function computeRecoveryMs(
  records: readonly RequestRecord[],
  triggerEndMs: number,
  untilMs: number,
): number | undefined {
  let recoveredAtMs: number | undefined;
  for (
    let windowStartMs = triggerEndMs;
    windowStartMs < untilMs;
    windowStartMs += RECOVERY_WINDOW_MS
  ) {
    const windowRecords = records.filter(
      ({startMs}) =>
        startMs >= windowStartMs &&
        startMs < windowStartMs + RECOVERY_WINDOW_MS,
    );
    const wholeCount = windowRecords.filter((record) => record.isWhole).length;
    const isRecovered = wholeCount >= windowRecords.length * RECOVERED_FRACTION;
    if (!isRecovered) recoveredAtMs = undefined;
    else recoveredAtMs ??= windowStartMs;
  }
  return recoveredAtMs === undefined ? undefined : recoveredAtMs - triggerEndMs;
}
