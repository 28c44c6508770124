/** Renders the progress lines and the summary of the demo. */
import {renderSummaries} from '@sycamoreyoke/cli/commands/load';
import {
  computeRecoveryMs,
  computeSummaries,
} from '@sycamoreyoke/standins/load/records';
import {findCriticalSheds} from './checks.js';
import {KILL_AT_MS, TRIGGER_END_MS} from './constants.js';
import type {CheckResult, DemoClass, DemoEvidence} from './types.js';

/** Renders a progress line with the latest line of each caller. */
export function renderProgress(
  latestLines: ReadonlyMap<string, string>,
  elapsedMs: number,
): string {
  const seconds = (elapsedMs / 1_000).toFixed(0).padStart(3);
  const callers = [...latestLines].map(
    ([caller, line]) => `${caller}: ${line}`,
  );
  return `${seconds} s  ${callers.join('; ')}`;
}

function renderCheck({name, violations, examples}: CheckResult): string {
  const exampleText = examples.length === 0 ? '' : ` (${examples.join(', ')})`;
  return `  ${violations}  ${name}${exampleText}`;
}

/** Renders the summary: classes, retries, recovery, sheds and checks. */
export function renderSummary(
  evidence: DemoEvidence,
  classes: readonly DemoClass[],
  checks: readonly CheckResult[],
): string {
  const {records} = evidence;
  const summaries = computeSummaries(records);
  const retries = Math.max(0, ...summaries.map(({maxRetries}) => maxRetries));
  const recoveryMs = computeRecoveryMs(records, TRIGGER_END_MS, KILL_AT_MS);
  const recovery =
    recoveryMs === undefined
      ? `not before ${KILL_AT_MS - TRIGGER_END_MS} ms`
      : `${recoveryMs} ms`;
  const criticalShedCount = findCriticalSheds(evidence, classes).length;
  const violations = checks.reduce((sum, check) => sum + check.violations, 0);
  return [
    renderSummaries(summaries),
    '',
    `retries for one request, at most: ${retries}`,
    `time to recover after the trigger: ${recovery}`,
    `critical requests shed for overload (events at gates): ${criticalShedCount}`,
    `gaps in the timeline: ${evidence.timelineGaps}`,
    `invariant violations: ${violations}`,
    ...checks.map(renderCheck),
  ].join('\n');
}
