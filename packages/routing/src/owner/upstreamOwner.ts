import { createFailure } from "@vanillarouter/base/createFailure";
import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { race } from "@vanillarouter/base/race";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import { MeasuredShares } from "@vanillarouter/scheduling/measuredShares";
import { SlotRequest } from "@vanillarouter/scheduling/slotRequest";
import { SlotScheduler } from "@vanillarouter/scheduling/slotScheduler";
import { Err, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { OutcomeRequest } from "../entry/outcomeRequest";
import { StatementKind } from "../entry/statementKind";
import { TransactionEndRequest } from "../entry/transactionEndRequest";
import { TransactionStatement } from "../entry/transactionStatement";
import { ConfirmedPosition } from "../freshness/confirmedPosition";
import { FreshnessProver } from "../freshness/freshnessProver";
import { PositionConfirmation } from "../freshness/positionConfirmation";
import { WriteConfirmation } from "../freshness/writeConfirmation";
import { UpstreamControl } from "../group/upstreamControl";
import { UpstreamResponse } from "../group/upstreamResponse";
import { OutcomeResolver } from "../outcomes/outcomeResolver";
import { ConnectionPool } from "./connectionPool";
import { IdleCheck } from "./idleCheck";
import { OwnerContext } from "./ownerContext";
import { OwnerLink } from "./ownerLink";
import { OwnerLoad } from "./ownerLoad";
import { OwnerRequest } from "./ownerRequest";
import { OwnerResponse } from "./ownerResponse";
import { ReadExecutor } from "./readExecutor";
import { StatementRunner } from "./statementRunner";
import { TransactionExecutor } from "./transactionExecutor";
import { TransactionRequest } from "./transactionRequest";
import { UpstreamOwnerSettings } from "./upstreamOwnerSettings";
import { UpstreamWatch } from "./upstreamWatch";
import { WriteExecutor } from "./writeExecutor";

/** Time for which a leaving primary still accepts work while another upstream becomes primary, in milliseconds. */
const leavingPrimaryGraceMs = 2_000;

/** Interval at which a draining owner checks whether its transactions have ended, in milliseconds. */
const drainPollIntervalMs = 50;

/**
 * The owner of one upstream. Holds all connections to it and all its slots, with one queue for all callers. Background
 * work starts with the operation that `run` returns.
 */
export class UpstreamOwner implements OwnerLink {
    private readonly tasks: TaskGroup;
    private readonly context: OwnerContext;
    private readonly statusControl: UpstreamControl;
    private readonly pool: ConnectionPool;
    private readonly prover: FreshnessProver;
    private readonly positions: PositionConfirmation;
    private readonly reads: ReadExecutor;
    private readonly writes: WriteExecutor;
    private readonly transactions: TransactionExecutor;
    private readonly resolver: OutcomeResolver;
    private readonly ended = Signal.create<void>();
    private inFlight = 0;
    private isDraining = false;
    private leavingSince: number | undefined;

    private constructor(private readonly settings: UpstreamOwnerSettings) {
        const { clock, group, upstream, connector, groups, owners, configuration } = settings;
        this.tasks = TaskGroup.create(err => settings.logger?.error({ upstream: upstream.id, err }, "owner task failed"));
        this.statusControl = connector.openControl(upstream);
        this.pool = ConnectionPool.create(clock, connector, upstream);
        this.context = {
            clock,
            group,
            upstream,
            groups,
            control: connector.openControl(upstream),
            scheduler: SlotScheduler.create(clock, upstream.slots, settings.initialShares),
            runner: StatementRunner.create(clock, connector, upstream, this.pool),
            watch: UpstreamWatch.create(clock, this.statusControl),
            confirmation: WriteConfirmation.create(clock, connector, group, upstream.id),
        };
        this.prover = FreshnessProver.create(clock, this.tasks, group.name, groups, owners, configuration);
        this.positions = PositionConfirmation.create(
            clock,
            this.tasks,
            this.statusControl,
            group,
            connector,
            status => this.context.watch.recordStatus(status),
        );
        this.resolver = OutcomeResolver.create(this.context);
        this.reads = ReadExecutor.create(this.context, this.prover);
        this.writes = WriteExecutor.create(this.context, this.resolver);
        this.transactions = TransactionExecutor.create(this.context, this.resolver, this.pool, this.tasks);
    }

    public static create(settings: UpstreamOwnerSettings): UpstreamOwner {
        return new UpstreamOwner(settings);
    }

    public get upstream(): string {
        return this.settings.upstream.id;
    }

    public get group(): DatabaseGroup {
        return this.settings.group;
    }

    /** Runs the background work of the owner until `drain` has completed. */
    public *run(): Operation<void> {
        try {
            this.tasks.start(this.pool.run());
            this.tasks.start(IdleCheck.create(this.context.clock, this.pool).run());
            this.tasks.start(this.context.watch.run());
            this.tasks.start(this.prover.run());
            this.context.confirmation.start(this.tasks);
            while (!this.isEnded) yield* this.ended.wait();
        }
        finally {
            this.pool.close();
            yield* this.tasks.cancelAll();
            this.statusControl.close();
            this.context.control.close();
            this.positions.close();
        }
    }

    /** Refuses new work, waits for work in flight, then ends `run`. Open transactions end by their deadlines at the latest. */
    public *drain(): Operation<void> {
        this.isDraining = true;
        while (!this.isEnded) yield* race([this.ended.wait(), sleep(this.context.clock, drainPollIntervalMs)]);
        this.ended.notifyAll();
    }

    public *execute(req: OwnerRequest): Operation<Result<OwnerResponse, Failure>> {
        const refusal = this.checkAcceptsWork(req.upstream);
        if (refusal !== undefined) return Err(refusal);
        const arrivedAt = this.context.clock.now();
        const isWrite = req.kind === StatementKind.Write;
        const slotRequest: SlotRequest = {
            className: req.className,
            rank: req.rank,
            franchisee: req.franchisee,
            arrivedAt,
            deadline: arrivedAt + req.timeoutMs,
            afterSlotMs: isWrite ? this.writes.expectedConfirmationMs : 0,
            continuesWork: false,
        };
        const response = yield* this.track(isWrite ? this.writes.execute(req, slotRequest) : this.reads.execute(req, slotRequest));
        return response.map(value => this.createResponse(req.requestId, value));
    }

    public *begin(req: TransactionRequest): Operation<Result<void, Failure>> {
        const refusal = this.checkAcceptsWork(req.upstream);
        return refusal === undefined ? yield* this.track(this.transactions.begin(req)) : Err(refusal);
    }

    public *executeInTransaction(req: TransactionStatement): Operation<Result<StatementResult, Failure>> {
        return yield* this.track(this.transactions.execute(req));
    }

    public *endTransaction(req: TransactionEndRequest): Operation<Result<OwnerResponse, Failure>> {
        const response = yield* this.track(this.transactions.end(req));
        return response.map(value => this.createResponse(req.transactionId, value));
    }

    public *resolveOutcome(req: OutcomeRequest): Operation<Result<OwnerResponse, Failure>> {
        const response = yield* this.track(this.resolver.resolve(req.requestId, this.context.clock.now() + req.timeoutMs));
        return response.map(value => this.createResponse(req.requestId, value));
    }

    public *confirmPosition(group: string, upstream: string, timeoutMs: number): Operation<Result<ConfirmedPosition, Failure>> {
        return yield* this.positions.confirm(timeoutMs);
    }

    public hasTransaction(transactionId: string): boolean {
        return this.transactions.has(transactionId);
    }

    /** Rolls back the open transactions of an entry VM that has failed or left. */
    public rollBackTransactionsOf(entryVm: string): void {
        this.transactions.rollBackTransactionsOf(entryVm);
    }

    /** Ordinary shares measured by this owner, for the next owner. */
    public exportShares(): MeasuredShares {
        return { upstream: this.upstream, slotTimeByClass: this.context.scheduler.exportShares(), ageMs: 0 };
    }

    /** Imports shares that a previous owner measured, for classes without a measured share here. */
    public importShares(shares: MeasuredShares): void {
        this.context.scheduler.importShares(shares);
    }

    private get isEnded(): boolean {
        return this.isDraining && this.inFlight === 0 && this.transactions.openCount === 0;
    }

    /** Runs an operation and counts it as work in flight, which `drain` waits for. */
    private *track<T>(operation: Operation<T>): Operation<T> {
        this.inFlight++;
        try {
            return yield* operation;
        }
        finally {
            this.inFlight--;
            if (this.isEnded) this.ended.notifyAll();
        }
    }

    private checkAcceptsWork(upstream: string): Failure | undefined {
        if (upstream !== this.upstream) return createFailure(Diagnostics.ownerChanged, RunOutcome.DidNotRun, upstream);
        if (this.isDraining) return createFailure(Diagnostics.ownerChanged, RunOutcome.DidNotRun, upstream);
        return this.isLeaving() ? createFailure(Diagnostics.upstreamLeaving, RunOutcome.DidNotRun, upstream) : undefined;
    }

    private isLeaving(): boolean {
        const configured = this.settings.configuration.current?.groups.get(this.settings.group.name)?.upstreams.find(other => other.id === this.upstream);
        const leaving = this.context.watch.isLeaving || this.settings.owners.isLeaving(this.upstream) || (configured?.leaving ?? false);
        if (!leaving) {
            this.leavingSince = undefined;
            return false;
        }
        const now = this.context.clock.now();
        this.leavingSince ??= now;
        const isPrimary = this.resolver.findTerm() !== undefined;
        return !isPrimary || now - this.leavingSince >= leavingPrimaryGraceMs;
    }

    private createResponse(requestId: string, response: UpstreamResponse): OwnerResponse {
        return { requestId, result: response.result, at: response.at, load: this.createLoad() };
    }

    private createLoad(): OwnerLoad {
        const { watch, scheduler, clock } = this.context;
        const proof = this.prover.findNewest(watch.applied);
        const provenAgeMs = proof === undefined ? undefined : clock.now() - proof.askedAt;
        return { upstream: this.upstream, queueDelayMs: scheduler.estimateDelay(), applied: watch.applied, provenAgeMs };
    }
}
