import { Operation } from "@vanillarouter/base/operation";
import { Task } from "@vanillarouter/base/task";
import { OwnerLink } from "@vanillarouter/routing/owner/ownerLink";

const rollbackTimeoutMs = 2_000;

/** Transactions opened over one link, which are rolled back when the link closes. */
export class OpenTransactions {
    private readonly upstreams = new Map<string, string>();

    private constructor() {}

    public static create(): OpenTransactions {
        return new OpenTransactions();
    }

    public add(transactionId: string, upstream: string): void {
        this.upstreams.set(transactionId, upstream);
    }

    public remove(transactionId: string): void {
        this.upstreams.delete(transactionId);
    }

    /** Starts rolling back every transaction that is still open. */
    public rollBackAll(owner: OwnerLink): void {
        for (const [transactionId, upstream] of this.upstreams) Task.start(rollBack(owner, transactionId, upstream));
        this.upstreams.clear();
    }
}

function* rollBack(owner: OwnerLink, transactionId: string, upstream: string): Operation<void> {
    yield* owner.endTransaction({ transactionId, upstream, commit: false, timeoutMs: rollbackTimeoutMs });
}
