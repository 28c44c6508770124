/** The retry allowances of a node, one for each service that it calls. */
import type {Clock} from 'sycamoreyoke/clock';
import type {RetryAllowance} from 'sycamoreyoke/process/retryAllowance';
import {createRetryAllowance} from 'sycamoreyoke/process/retryAllowance';
import type {ReloadableSettings} from '../types.js';

/** Returns the allowance of a service, which is created at its first use. */
export function createRetryBudgets(
  clock: Clock,
  /** Read at each use, since settings are reloaded. */
  settings: Pick<ReloadableSettings, 'retryBudget'>,
  countNodes: () => number,
): (service: string) => RetryAllowance {
  const budgets = new Map<string, RetryAllowance>();
  const bounds = {
    get share() {
      return settings.retryBudget.share;
    },
    get slack() {
      return settings.retryBudget.slack;
    },
  };
  return (service) => {
    const known = budgets.get(service);
    if (known) return known;
    const budget = createRetryAllowance(clock, bounds, countNodes);
    budgets.set(service, budget);
    return budget;
  };
}
