import { Clock } from "@vanillarouter/base/clock";
import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { UpstreamConnector } from "../group/upstreamConnector";
import { ConfirmationWait } from "./confirmationWait";
import { ReplicaConfirmation } from "./replicaConfirmation";

/**
 * Waits until a majority of the group, including the primary, holds a log entry under the primary's term. An entry of an
 * older term on a new primary is not safe by itself. Callers therefore wait for an entry of the current term at its position,
 * which an upstream holds only together with everything before it.
 */
export class WriteConfirmation {
    private readonly replicas: readonly ReplicaConfirmation[];
    private readonly requiredReplicas: number;

    private constructor(private readonly clock: Clock, connector: UpstreamConnector, group: DatabaseGroup, upstream: string) {
        const others = group.upstreams.filter(other => other.id !== upstream);
        this.replicas = others.map(other => ReplicaConfirmation.create(clock, connector.openControl(other)));
        this.requiredReplicas = Math.floor(group.upstreams.length / 2);
    }

    public static create(clock: Clock, connector: UpstreamConnector, group: DatabaseGroup, upstream: string): WriteConfirmation {
        return new WriteConfirmation(clock, connector, group, upstream);
    }

    /** Starts the tasks that query the replicas. */
    public start(tasks: TaskGroup): void {
        for (const replica of this.replicas) tasks.start(replica.run());
    }

    /** Returns true when a majority holds the log entry, false when none can hold it under its term any more, undefined on timeout. */
    public *wait(entry: LogPosition, timeoutMs: number): Operation<boolean | undefined> {
        const wait = ConfirmationWait.create(entry, this.requiredReplicas, this.replicas.length);
        for (const replica of this.replicas) replica.add(wait);
        try {
            return yield* withTimeout(this.clock, timeoutMs, wait.wait());
        }
        finally {
            for (const replica of this.replicas) replica.remove(wait);
        }
    }
}
