/** Checks the invariants against records of callers, upstreams and nodes. */
import type {RequestRecord} from '@sycamoreyoke/standins/load/records';
import type {TimelineEvent} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {Outcome, RefusalReason} from 'sycamoreyoke/types';
import type {CheckResult, DemoClass, DemoEvidence} from './types.js';

const MAX_EXAMPLES = 5;
/** Length of the root request's UUID, with which the ids of its calls begin. */
const ROOT_ID_LENGTH = 36;
/**
 * Within this time after a gate has shed a critical request, it must not start
 * a less important one. Later its queue may have changed.
 */
const GATE_TICK_MS = 20;

function createResult(name: string, failures: readonly string[]): CheckResult {
  return {
    name,
    violations: failures.length,
    examples: failures.slice(0, MAX_EXAMPLES),
  };
}

/** Counts the runs of each request on all upstreams, by class and id. */
function countRuns({executions}: DemoEvidence): Map<string, number> {
  const runCounts = new Map<string, number>();
  for (const {requestClass, requestId, started} of executions) {
    const key = `${requestClass}/${requestId}`;
    runCounts.set(key, (runCounts.get(key) ?? 0) + started);
  }
  return runCounts;
}

/** Runs all checks. */
export function checkEvidence(
  evidence: DemoEvidence,
  classes: readonly DemoClass[],
): CheckResult[] {
  const {records, violationCounts} = evidence;
  const runCounts = countRuns(evidence);
  const nonIdempotent = new Set(
    classes.filter(({isIdempotent}) => !isIdempotent).map(({name}) => name),
  );
  const retryLimits = new Map(
    classes.map(({name, retries}) => [name, retries]),
  );
  const listIds = (isFaulty: (record: RequestRecord) => boolean) =>
    records.filter(isFaulty).map(({requestId}) => requestId);
  return [
    createResult(
      'counted by the nodes',
      [...violationCounts].flatMap(([name, count]) =>
        Array<string>(count).fill(name),
      ),
    ),
    createResult(
      'non-idempotent request ran more than once',
      [...runCounts]
        .filter(([key, count]) => {
          const [requestClass = ''] = key.split('/');
          return count > 1 && nonIdempotent.has(requestClass);
        })
        .map(([key]) => key),
    ),
    createResult(
      'answered as not run, but ran',
      listIds(
        ({outcome, requestClass, requestId}) =>
          outcome === Outcome.NOT_RUN &&
          runCounts.has(`${requestClass}/${requestId}`),
      ),
    ),
    createResult(
      'response of another request',
      listIds(({isForeign}) => isForeign),
    ),
    createResult(
      'critical request shed while a lesser one was started',
      findPriorityInversions(evidence, classes),
    ),
    createResult(
      'drained node did not end by itself',
      evidence.drainExitCode === 0 ? [] : [String(evidence.drainExitCode)],
    ),
    createResult(
      'retries above the bound',
      listIds(
        ({retries, requestClass}) =>
          retries > (retryLimits.get(requestClass) ?? 0),
      ),
    ),
  ];
}

function findCriticalIds(
  {records}: DemoEvidence,
  classes: readonly DemoClass[],
): Set<string> {
  const criticalClasses = new Set(
    classes.filter(({isCritical}) => isCritical).map(({name}) => name),
  );
  return new Set(
    records
      .filter(({requestClass}) => criticalClasses.has(requestClass))
      .map(({requestId}) => requestId),
  );
}

/** Returns the id of the root request to which an event belongs. */
function getRootId({requestId = ''}: TimelineEvent): string {
  return requestId.slice(0, ROOT_ID_LENGTH);
}

function isShed({code, details}: TimelineEvent): boolean {
  return (
    code === EventCode.REQUEST_REFUSED &&
    details['reason'] === RefusalReason.OVERLOADED
  );
}

/** Lists overload refusals of critical requests and of the calls they cause. */
export function findCriticalSheds(
  evidence: DemoEvidence,
  classes: readonly DemoClass[],
): TimelineEvent[] {
  const criticalIds = findCriticalIds(evidence, classes);
  return evidence.events.filter(
    (event) => isShed(event) && criticalIds.has(getRootId(event)),
  );
}

/**
 * Returns the ids of critical calls that a gate shed shortly before it started
 * a less important one.
 */
function findPriorityInversions(
  evidence: DemoEvidence,
  classes: readonly DemoClass[],
): string[] {
  const criticalIds = findCriticalIds(evidence, classes);
  const lessImportantStarts = evidence.events.filter(
    (event) =>
      event.code === EventCode.REQUEST_STARTED &&
      !criticalIds.has(getRootId(event)),
  );
  return findCriticalSheds(evidence, classes)
    .filter((shed) =>
      lessImportantStarts.some((start) => {
        const laterMs = start.time.wallMs - shed.time.wallMs;
        const isWithinTick = laterMs >= 0 && laterMs <= GATE_TICK_MS;
        return isWithinTick && start.process === shed.process;
      }),
    )
    .map(({requestId = ''}) => requestId);
}
