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
import { GroupPeer } from "../group/groupPeer";
import { UpstreamPeer } from "../group/upstreamPeer";
import { UpstreamStatus } from "../group/upstreamStatus";
import { ConfirmationWait } from "./confirmationWait";
import { ConfirmedPosition } from "./confirmedPosition";
import { SharedRound } from "./sharedRound";

/** Time that one question of a round may take, in milliseconds. */
const questionTimeoutMs = 500;

type RoundResult = Result<ConfirmedPosition, Failure>;
type StatusResult = Result<UpstreamStatus, Failure>;

/**
 * Confirms that an upstream is primary in the group's newest term, and reads its position. When the upstream and enough
 * replicas to make a majority have the same accepted term, all after the question, no primary of a higher term had
 * acknowledged a write before the question.
 */
export class PositionConfirmation {
    private readonly rounds: SharedRound<RoundResult>;
    private readonly replicas: readonly GroupPeer[];
    /** Replicas with an open question. Another one would wait behind it, and its answer would be as late. */
    private readonly asked = new Set<GroupPeer>();
    private readonly needed: number;

    private constructor(
        private readonly clock: Clock,
        private readonly tasks: TaskGroup,
        private readonly own: GroupPeer,
        private readonly group: DatabaseGroup,
        peer: UpstreamPeer,
        private readonly onStatus: (status: UpstreamStatus) => void,
    ) {
        const others = group.upstreams.filter(other => other.id !== own.upstream);
        this.replicas = others.map(other => peer.openGroupPeer(other));
        this.needed = Math.floor(group.upstreams.length / 2);
        this.rounds = SharedRound.create(tasks, () => this.runRound());
    }

    /** `onStatus` is called with each status of the primary. */
    public static create(
        clock: Clock,
        tasks: TaskGroup,
        own: GroupPeer,
        group: DatabaseGroup,
        peer: UpstreamPeer,
        onStatus: (status: UpstreamStatus) => void,
    ): PositionConfirmation {
        return new PositionConfirmation(clock, tasks, own, group, peer, onStatus);
    }

    /** Confirms after the call began. Failures have outcome DidNotRun, as nothing runs. */
    public *confirm(timeoutMs: number): Operation<RoundResult> {
        const result = yield* withTimeout(this.clock, timeoutMs, this.rounds.join());
        return result ?? Err(createFailure(Diagnostics.timedOut, RunOutcome.DidNotRun, Math.round(timeoutMs)));
    }

    public close(): void {
        for (const replica of this.replicas) replica.close();
    }

    private *runRound(): Operation<RoundResult> {
        const own = this.tasks.start(this.own.readStatus(questionTimeoutMs));
        const wait = ConfirmationWait.create({ term: 0, position: 0 }, this.needed, this.replicas.length);
        for (const replica of this.replicas) {
            if (this.asked.has(replica)) wait.reject();
            else this.tasks.start(this.askReplica(replica, own, wait));
        }
        const status = yield* own.join();
        if (!status.ok) return status;
        this.onStatus(status.val);
        const isConfirmed = status.val.isPrimary && (yield* wait.wait());
        if (isConfirmed) return Ok({ group: this.group.name, term: status.val.acceptedTerm, position: status.val.received });
        return Err(createFailure(Diagnostics.positionNotConfirmed, RunOutcome.DidNotRun, this.own.upstream));
    }

    private *askReplica(replica: GroupPeer, own: Task<StatusResult>, wait: ConfirmationWait): Operation<void> {
        this.asked.add(replica);
        try {
            const answer = yield* replica.readStatus(questionTimeoutMs);
            const status = yield* own.join();
            if (answer.ok && status.ok && answer.val.acceptedTerm === status.val.acceptedTerm) wait.confirm();
            else wait.reject();
        }
        finally {
            this.asked.delete(replica);
        }
    }
}
