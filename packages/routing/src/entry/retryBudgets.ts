import { RetryBudget } from "./retryBudget";

/** The retry budget of each database group. Separate budgets keep the failure of one group from blocking retries in others. */
export class RetryBudgets {
    private readonly budgets = new Map<string, RetryBudget>();

    private constructor() {}

    public static create(): RetryBudgets {
        return new RetryBudgets();
    }

    public getOrCreate(group: string): RetryBudget {
        let budget = this.budgets.get(group);
        if (budget === undefined) {
            budget = RetryBudget.create();
            this.budgets.set(group, budget);
        }
        return budget;
    }
}
