import {computeIdealGoodput} from './idealGoodput.js';
import type {ModelRun} from './model.js';
import {getServiceTimeFactor} from './model.js';
import {BIN_MS} from './runCounts.js';
import type {Deployment, Scenario} from './types.js';

/** Share of the requests of a bin that must be answered after recovery. */
const RECOVERED_SHARE = 0.95;

/** Summary of one run. */
export interface RunSummary {
  /** Requests served during the trigger, as a share of the ideal goodput. */
  readonly goodputShare: number;
  /** Served share of the requests offered during the trigger, by kind. */
  readonly goodputByKind: ReadonlyMap<string, number>;
  /** Share of the offered requests that could have been served, by kind. */
  readonly idealByKind: ReadonlyMap<string, number>;
  /** Time from the end of the trigger to recovery; 0 if there was no delay. */
  readonly recoveryMs: number;
  readonly mostNodeRetries: number;
  readonly mostStarts: number;
  /** Share of the slot time spent on sends that failed or timed out. */
  readonly wastedShare: number;
  readonly criticalShed: number;
  readonly earlyRefusals: number;
  readonly servedBins: readonly number[];
  readonly offeredBins: readonly number[];
}

/** Computes the summary of a run. */
export function computeSummary(
  deployment: Deployment,
  scenario: Scenario,
  run: ModelRun,
): RunSummary {
  const {counts} = run;
  const ideal = computeTriggerIdeal(deployment, scenario, run);
  const sum = (values: Iterable<number>): number =>
    [...values].reduce((total, value) => total + value, 0);
  const slotMs = counts.usefulSlotMs + counts.wastedSlotMs;
  return {
    goodputShare:
      sum(counts.servedDuringTrigger.values()) / sum(ideal.values()),
    goodputByKind: new Map(
      deployment.kinds.map(({name}) => [
        name,
        (counts.servedDuringTrigger.get(name) ?? 0) /
          (counts.offeredDuringTrigger.get(name) ?? 1),
      ]),
    ),
    idealByKind: new Map(
      deployment.kinds.map(({name}) => [
        name,
        (ideal.get(name) ?? 0) / (counts.offeredDuringTrigger.get(name) ?? 1),
      ]),
    ),
    recoveryMs: computeRecoveryMs(scenario, run),
    mostNodeRetries: counts.mostNodeRetries,
    mostStarts: counts.mostStarts,
    wastedShare: counts.wastedSlotMs / slotMs,
    criticalShed: counts.criticalShed,
    earlyRefusals: counts.earlyRefusals,
    servedBins: counts.servedBins,
    offeredBins: counts.offeredBins,
  };
}

function computeTriggerIdeal(
  deployment: Deployment,
  scenario: Scenario,
  {counts}: ModelRun,
): Map<string, number> {
  return computeIdealGoodput(
    deployment,
    {
      durationMs: scenario.triggerEndMs - scenario.triggerStartMs,
      upstreams: new Map(
        deployment.services.map(({name, upstreams, slots}) => [
          name,
          Array.from({length: upstreams}, (_, index) => ({
            slots,
            serviceTimeFactor: getServiceTimeFactor(index),
          })),
        ]),
      ),
      computeSlowdownFactor: (service) =>
        service === deployment.slowService ? scenario.slowdownFactor : 1,
    },
    counts.offeredDuringTrigger,
  );
}

/**
 * Computes the time from the end of the trigger to the end of the last bin in
 * which too few requests were answered.
 */
function computeRecoveryMs(scenario: Scenario, {counts}: ModelRun): number {
  const lastBin = Math.floor(scenario.endMs / BIN_MS) - 1;
  const firstBin = scenario.triggerEndMs / BIN_MS;
  for (let index = lastBin; index >= firstBin; index -= 1) {
    const offered = counts.offeredBins[index] ?? 0;
    const answered = counts.answeredBins[index] ?? 0;
    if (answered < RECOVERED_SHARE * offered) {
      return (index + 1) * BIN_MS - scenario.triggerEndMs;
    }
  }
  return 0;
}
