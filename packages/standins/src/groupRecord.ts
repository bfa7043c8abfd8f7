/** One executed statement. */
interface Execution {
    readonly kind: "read" | "write" | "begin" | "statement" | "commit" | "rollback" | "cancel";
    readonly connection: number;
    readonly transaction?: string;
    readonly requestId?: string;
    readonly sql: string;
    readonly role: "primary" | "replica";
    /** Term and position as `7.121`. */
    readonly at: string;
}

const maxExecutions = 500_000;

/** Everything that an upstream executed, for counting lost, doubled and mixed requests. */
export class GroupRecord {
    private readonly executions: Execution[] = [];
    private readonly counts = { readsAsPrimary: 0, readsAsReplica: 0, readsInTransactions: 0, writes: 0, commits: 0, rejected: 0, omitted: 0 };

    private constructor() {}

    public static create(): GroupRecord {
        return new GroupRecord();
    }

    public add(execution: Execution, isRead: boolean): void {
        if (isRead && execution.kind === "statement") this.counts.readsInTransactions++;
        else if (isRead) this.counts[execution.role === "primary" ? "readsAsPrimary" : "readsAsReplica"]++;
        if (execution.kind === "write") this.counts.writes++;
        if (execution.kind === "commit") this.counts.commits++;
        if (this.executions.length < maxExecutions) this.executions.push(execution);
        else this.counts.omitted++;
    }

    public addRejection(): void {
        this.counts.rejected++;
    }

    public get summary(): Readonly<Record<string, number>> {
        return { ...this.counts };
    }

    public get all(): readonly Execution[] {
        return this.executions;
    }
}
