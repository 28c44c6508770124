/** Checks on the outcomes of a soak run. */
import {Outcome} from 'sycamoreyoke/types';
import type {FaultRecord} from './faultRunner.js';
import {FaultKind} from './faults.js';
import type {SoakRecord} from './load.js';

/** A broken rule; the request is named where there is one. */
export interface Violation {
  readonly rule: string;
  readonly requestId?: string;
}

/** Time after the last fault in which requests may still fail. */
export const RECOVERY_MS = 10_000;
/** A fault may affect requests for this long after its end. */
const AFTERMATH_MS = 3_000;

function describeRecord(record: SoakRecord): string {
  const {requestClass, startMs, endMs, outcome, reason} = record;
  const span = `${Math.round(startMs)}-${Math.round(endMs)} ms`;
  return `${requestClass} at ${span}, outcome ${outcome} ${reason}`;
}

/** Checks each request against the number of its runs. */
export function checkRuns(
  records: readonly SoakRecord[],
  runs: ReadonlyMap<string, number>,
): Violation[] {
  return records.flatMap((record) => {
    const {requestId, requestClass, outcome} = record;
    const count = runs.get(requestId) ?? 0;
    const rules: string[] = [];
    const isIdempotent = requestClass === 'read-status';
    if (!isIdempotent && count > 1) rules.push(`ran ${count} times`);
    if (outcome === Outcome.NOT_RUN && count > 0) rules.push('not-run but ran');
    if (record.isForeign) rules.push('foreign or incomplete response');
    return rules.map((rule) => ({
      rule: `${rule}: ${describeRecord(record)}`,
      requestId,
    }));
  });
}

/** Requests that start after the recovery time have to be whole. */
export function checkRecovery(
  records: readonly SoakRecord[],
  faultsEndMs: number,
): Violation[] {
  return records
    .filter(({startMs}) => startMs >= faultsEndMs + RECOVERY_MS)
    .filter(({isWhole}) => !isWhole)
    .map((record) => ({
      rule: `not whole after recovery: ${describeRecord(record)}`,
      requestId: record.requestId,
    }));
}

/** A stop of a node alone must not leave a request without an answer. */
export function checkStops(
  records: readonly SoakRecord[],
  faults: readonly FaultRecord[],
): Violation[] {
  const stops = faults.filter(({fault}) => fault.kind === FaultKind.STOP_NODE);
  const others = faults.filter(({fault}) => fault.kind !== FaultKind.STOP_NODE);
  const overlaps = (record: SoakRecord, fault: FaultRecord, afterMs: number) =>
    record.endMs >= fault.startMs && record.startMs <= fault.endMs + afterMs;
  return records
    .filter(({outcome}) => outcome === Outcome.UNKNOWN)
    .filter((record) => stops.some((stop) => overlaps(record, stop, 0)))
    .filter(
      (record) => !others.some((each) => overlaps(record, each, AFTERMATH_MS)),
    )
    .map((record) => ({
      rule: `unknown during a planned stop: ${describeRecord(record)}`,
      requestId: record.requestId,
    }));
}
