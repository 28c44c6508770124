import type {Clock} from 'sycamoreyoke/clock';
import {RetryBudget} from 'sycamoreyoke/process/retryBudget';

/** The retry budgets of the services that this node calls. */
export class RetryBudgets {
  private readonly byService = new Map<
    string,
    {readonly share: number; readonly budget: RetryBudget}
  >();

  constructor(private readonly clock: Clock) {}

  /**
   * Returns the budget of a service. `share` is the allowed ratio of retries to
   * first attempts; a changed share replaces the budget with a new one.
   */
  find(service: string, share: number): RetryBudget {
    const existing = this.byService.get(service);
    if (existing?.share === share) return existing.budget;
    const budget = new RetryBudget(this.clock, () => share);
    this.byService.set(service, {share, budget});
    return budget;
  }
}
