/** One executed statement or cancellation. */
interface Execution {
    readonly kind: "read" | "write" | "begin" | "statement" | "commit" | "rollback" | "cancel";
    readonly connection: number;
    readonly transaction?: string;
    readonly requestId?: string;
    readonly sql: string;
    readonly role: "primary" | "replica";
    /** Log position of the execution as `TERM.POSITION`, such as `7.121`. */
    readonly at: string;
}

const maxExecutions = 500_000;

/**
 * Record of the statements that an upstream executed. It is used to count lost and duplicated requests, and transactions
 * that contain statements of several requests.
 */
export class ExecutionRecord {
    private readonly executions: Execution[] = [];
    private readonly counts = { readsAsPrimary: 0, readsAsReplica: 0, readsInTransactions: 0, writes: 0, commits: 0, rejected: 0, omitted: 0 };

    private constructor() {}

    public static create(): ExecutionRecord {
        return new ExecutionRecord();
    }

    public add(execution: Execution, isRead: boolean): void {
        if (isRead && execution.kind === "statement") this.counts.readsInTransactions++;
        else if (isRead) this.counts[execution.role === "primary" ? "readsAsPrimary" : "readsAsReplica"]++;
        if (execution.kind === "write") this.counts.writes++;
        if (execution.kind === "commit") this.counts.commits++;
        if (this.executions.length < maxExecutions) this.executions.push(execution);
        else this.counts.omitted++;
    }

    public countRejection(): void {
        this.counts.rejected++;
    }

    public get summary(): Readonly<Record<string, number>> {
        return { ...this.counts };
    }

    public get all(): readonly Execution[] {
        return this.executions;
    }
}
