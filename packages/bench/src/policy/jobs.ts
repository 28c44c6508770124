import {DEPLOYMENTS} from './deployments.js';
import {runModel} from './model.js';
import type {RunSummary} from './summary.js';
import {computeSummary} from './summary.js';
import type {Scenario} from './types.js';
import {MAIN_SCENARIO, WRONG_SLOTS_SCENARIO} from './types.js';
import type {Variant} from './variants.js';
import {
  LIMITER_VARIANTS,
  MAIN_VARIANTS,
  ABLATION_VARIANTS,
} from './variants.js';

/** Scenarios, by the name that the report shows. */
export enum ScenarioName {
  MAIN = 'main',
  WRONG_SLOTS = 'wrong slots',
}

const SCENARIOS: Readonly<Record<ScenarioName, Scenario>> = {
  [ScenarioName.MAIN]: MAIN_SCENARIO,
  [ScenarioName.WRONG_SLOTS]: WRONG_SLOTS_SCENARIO,
};

const VARIANTS = [...MAIN_VARIANTS, ...LIMITER_VARIANTS, ...ABLATION_VARIANTS];

/** A run, given by names only, so that it can be sent to a worker. */
export interface PolicyJob {
  readonly deployment: string;
  readonly scenario: ScenarioName;
  readonly variant: string;
  readonly seed: number;
}

/** Result of one run. */
export interface PolicyResult {
  readonly job: PolicyJob;
  readonly summary: RunSummary;
  /** Number of invariant violations that the gates reported. */
  readonly violations: number;
}

/** Seeds for each variant other than the main ones, to save time. */
const VARIANT_SEEDS = 2;

/** Creates the jobs of the whole measurement. */
export function createJobs(seeds: readonly number[]): PolicyJob[] {
  const firstVariants = MAIN_VARIANTS.slice(0, 2);
  const fewerSeeds = seeds.slice(0, VARIANT_SEEDS);
  return [
    ...combineJobs(MAIN_VARIANTS, ScenarioName.MAIN, seeds),
    ...combineJobs(LIMITER_VARIANTS, ScenarioName.MAIN, fewerSeeds),
    ...combineJobs(ABLATION_VARIANTS, ScenarioName.MAIN, fewerSeeds),
    ...combineJobs(firstVariants, ScenarioName.WRONG_SLOTS, fewerSeeds),
    ...combineJobs(LIMITER_VARIANTS, ScenarioName.WRONG_SLOTS, fewerSeeds),
  ];
}

function combineJobs(
  variants: readonly Variant[],
  scenario: ScenarioName,
  seeds: readonly number[],
): PolicyJob[] {
  return variants.flatMap(({name: variant}) =>
    DEPLOYMENTS.flatMap(({name: deployment}) =>
      seeds.map((seed) => ({deployment, scenario, variant, seed})),
    ),
  );
}

/**
 * Runs one job.
 * @throws Error if no deployment or variant has the name in the job.
 */
export function runJob(job: PolicyJob): PolicyResult {
  const deployment = DEPLOYMENTS.find(({name}) => name === job.deployment);
  const variant = VARIANTS.find(({name}) => name === job.variant);
  if (!deployment || !variant) {
    throw new Error(`unknown deployment or variant: ${JSON.stringify(job)}`);
  }
  const scenario = SCENARIOS[job.scenario];
  let violations = 0;
  const run = runModel(deployment, scenario, variant, job.seed, () => {
    violations += 1;
  });
  const summary = computeSummary(deployment, scenario, run);
  return {job, summary, violations};
}
