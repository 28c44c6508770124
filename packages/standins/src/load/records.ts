/** What became of each request of a load run. */
import {build} from 'hdr-histogram-js';
import {Outcome} from 'sycamoreyoke/types';

/** One request as its caller saw it. */
export interface RequestRecord {
  readonly requestId: string;
  readonly requestClass: string;
  readonly startMs: number;
  readonly latencyMs: number;
  readonly sends: number;
  readonly outcome: Outcome;
  readonly status: number;
  /** Retries that the nodes reported for all sends together. */
  readonly retries: number;
  /** The response was complete and answered this request. */
  readonly isWhole: boolean;
  /** The response belonged to another request or was mixed. */
  readonly isForeign: boolean;
}

/** Summary of a class. */
export interface ClassSummary {
  readonly requestClass: string;
  readonly offered: number;
  readonly whole: number;
  readonly shed: number;
  readonly unknown: number;
  readonly failed: number;
  readonly foreign: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxRetries: number;
}

const HIGHEST_LATENCY_MS = 120_000;

/** Summarises the records of each class. */
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
  const whole = records.filter((record) => record.isWhole);
  for (const record of whole) {
    histogram.recordValue(Math.max(1, Math.round(record.latencyMs)));
  }
  const countOutcome = (outcome: Outcome) =>
    records.filter((record) => record.outcome === outcome).length;
  return {
    requestClass,
    offered: records.length,
    whole: whole.length,
    shed: countOutcome(Outcome.NOT_RUN),
    unknown: countOutcome(Outcome.UNKNOWN),
    failed: countOutcome(Outcome.DONE) - whole.length,
    foreign: records.filter((record) => record.isForeign).length,
    p50Ms: histogram.getValueAtPercentile(50),
    p99Ms: histogram.getValueAtPercentile(99),
    maxRetries: records.reduce(
      (most, record) => Math.max(most, record.retries),
      0,
    ),
  };
}

/** Width of the windows in which recovery is looked for. */
const RECOVERY_WINDOW_MS = 250;
/** Share of whole responses of a window that counts as recovered. */
const RECOVERED_SHARE = 0.95;

/**
 * Milliseconds from the end of the trigger until every later window up to
 * `untilMs` has its share of whole responses; undefined when it never does.
 */
export function computeRecoveryMs(
  records: readonly RequestRecord[],
  triggerEndMs: number,
  untilMs: number,
): number | undefined {
  let recoveredAt: number | undefined;
  for (let at = triggerEndMs; at < untilMs; at += RECOVERY_WINDOW_MS) {
    const inWindow = records.filter(
      ({startMs}) => startMs >= at && startMs < at + RECOVERY_WINDOW_MS,
    );
    const whole = inWindow.filter((record) => record.isWhole).length;
    const isRecovered = whole >= inWindow.length * RECOVERED_SHARE;
    if (!isRecovered) recoveredAt = undefined;
    else recoveredAt ??= at;
  }
  return recoveredAt === undefined ? undefined : recoveredAt - triggerEndMs;
}
