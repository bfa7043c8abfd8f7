import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Task } from "@vanillarouter/base/task";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { UpstreamConnector } from "../group/upstreamConnector";
import { UpstreamControl } from "../group/upstreamControl";
import { UpstreamStatus } from "../group/upstreamStatus";
import { CoalescedOperation } from "./coalescedOperation";
import { ConfirmationWait } from "./confirmationWait";
import { ConfirmedPosition } from "./confirmedPosition";

/** Time limit of one status request, in milliseconds. */
const statusTimeoutMs = 500;

type RoundResult = Result<ConfirmedPosition, Failure>;
type StatusResult = Result<UpstreamStatus, Failure>;

/**
 * Confirms that an upstream is primary in the group's newest term, and reads its position. When the upstream and enough
 * replicas for a majority report the same accepted term, all after the request, no primary of a higher term can have
 * acknowledged a write before the request.
 */
export class PositionConfirmation {
    private readonly rounds: CoalescedOperation<RoundResult>;
    private readonly replicas: readonly UpstreamControl[];
    /** Replicas with a request in flight. Another request would queue behind it, and its response would be as late. */
    private readonly queriedReplicas = new Set<UpstreamControl>();
    private readonly requiredReplicas: number;

    private constructor(
        private readonly clock: Clock,
        private readonly tasks: TaskGroup,
        private readonly ownControl: UpstreamControl,
        private readonly group: DatabaseGroup,
        connector: UpstreamConnector,
        private readonly onStatus: (status: UpstreamStatus) => void,
    ) {
        const others = group.upstreams.filter(other => other.id !== ownControl.upstream);
        this.replicas = others.map(other => connector.openControl(other));
        this.requiredReplicas = Math.floor(group.upstreams.length / 2);
        this.rounds = CoalescedOperation.create(tasks, () => this.runRound());
    }

    /** `onStatus` is called with each status of the primary. */
    public static create(
        clock: Clock,
        tasks: TaskGroup,
        ownControl: UpstreamControl,
        group: DatabaseGroup,
        connector: UpstreamConnector,
        onStatus: (status: UpstreamStatus) => void,
    ): PositionConfirmation {
        return new PositionConfirmation(clock, tasks, ownControl, group, connector, onStatus);
    }

    /** Confirms the position with requests sent after this call began. Failures have outcome DidNotRun, as no statement runs. */
    public *confirm(timeoutMs: number): Operation<RoundResult> {
        const result = yield* withTimeout(this.clock, timeoutMs, this.rounds.join());
        return result ?? Err(createFailure(Diagnostics.timedOut, RunOutcome.DidNotRun, Math.round(timeoutMs)));
    }

    public close(): void {
        for (const replica of this.replicas) replica.close();
    }

    private *runRound(): Operation<RoundResult> {
        const ownStatus = this.tasks.start(this.ownControl.readStatus(statusTimeoutMs));
        // The wait only counts confirmations; its log entry is not used.
        const wait = ConfirmationWait.create({ term: 0, position: 0 }, this.requiredReplicas, this.replicas.length);
        for (const replica of this.replicas) {
            if (this.queriedReplicas.has(replica)) wait.reject();
            else this.tasks.start(this.queryReplica(replica, ownStatus, wait));
        }
        const status = yield* ownStatus.join();
        if (!status.ok) return status;
        this.onStatus(status.val);
        const isConfirmed = status.val.isPrimary && (yield* wait.wait());
        if (isConfirmed) return Ok({ group: this.group.name, term: status.val.acceptedTerm, position: status.val.received });
        return Err(createFailure(Diagnostics.positionNotConfirmed, RunOutcome.DidNotRun, this.ownControl.upstream));
    }

    private *queryReplica(replica: UpstreamControl, ownStatus: Task<StatusResult>, wait: ConfirmationWait): Operation<void> {
        this.queriedReplicas.add(replica);
        try {
            const response = yield* replica.readStatus(statusTimeoutMs);
            const status = yield* ownStatus.join();
            if (response.ok && status.ok && response.val.acceptedTerm === status.val.acceptedTerm) wait.confirm();
            else wait.reject();
        }
        finally {
            this.queriedReplicas.delete(replica);
        }
    }
}
