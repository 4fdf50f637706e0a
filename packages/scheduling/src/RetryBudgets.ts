/** The retry budgets of the services of one pool. */
import { type ServiceId } from '@acaciadock/core';
import { RetryBudget } from './RetryBudget.js';

export class RetryBudgets {
  private readonly budgets = new Map<ServiceId, RetryBudget>();

  /** Counts an attempt; returns false if it is a retry that the budget does not allow. */
  admit(serviceId: ServiceId, attempt: number, ratio: number): boolean {
    const budget = this.budgetOf(serviceId, ratio);
    if (attempt > 1) return budget.trySpend();
    budget.earn();
    return true;
  }

  retain(keep: (serviceId: ServiceId) => boolean): void {
    this.budgets.forEach((_, serviceId) => {
      if (!keep(serviceId)) this.budgets.delete(serviceId);
    });
  }

  private budgetOf(serviceId: ServiceId, ratio: number): RetryBudget {
    const known = this.budgets.get(serviceId);
    if (known) return Object.assign(known, { ratio });
    const budget = new RetryBudget(ratio);
    this.budgets.set(serviceId, budget);
    return budget;
  }
}
