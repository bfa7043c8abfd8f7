import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { ClusterState } from "@vanillarouter/session/cluster/clusterState";
import { Abandonment } from "@vanillarouter/session/entry/abandonment";
import { CallerRequest } from "@vanillarouter/session/entry/callerRequest";
import { FloorTable } from "@vanillarouter/session/entry/floorTable";
import { SessionValues } from "@vanillarouter/session/entry/sessionValues";
import { StatementOutcome } from "@vanillarouter/session/entry/statementOutcome";
import { CallerTransaction } from "@vanillarouter/session/model/callerTransaction";
import { OperationExecutor } from "@vanillarouter/session/model/operationExecutor";
import { StatementKind } from "@vanillarouter/session/model/statementKind";
import { StoreChange } from "@vanillarouter/session/model/storeChange";
import { StorePosition } from "@vanillarouter/session/model/storePosition";
import { QuotaGrant } from "@vanillarouter/session/quota/quotaGrant";
import { QuotaRequest } from "@vanillarouter/session/quota/quotaRequest";
import { ChangeLog } from "./changeLog";
import { RelayLimits } from "./relayLimits";
import { RelayRequest } from "./relayRequest";
import { RelayResponse } from "./relayResponse";

type RunRequest = Extract<RelayRequest, { readonly kind: "run"; }>;
type TransactRequest = Extract<RelayRequest, { readonly kind: "transact"; }>;
type FollowRequest = Extract<RelayRequest, { readonly kind: "follow"; }>;
type ConfigurationRequest = Extract<RelayRequest, { readonly kind: "configuration"; }>;
type QuotaMessage = Extract<RelayRequest, { readonly kind: "quota"; }>;
type RelayedOperation = RunRequest["operation"];

interface HeldTransaction {
    readonly req: CallerRequest;
    readonly transaction: CallerTransaction;
    /** A statement is running, so the connection must not be used for anything else. */
    isBusy: boolean;
    /** The transaction is to be rolled back as soon as its running statement ends. */
    isRollbackPending: boolean;
}

/** Executes the requests that one entry VM sends over one link. */
export class RelayRequestHandler {
    private readonly transactions = new Map<number, HeldTransaction>();
    /** Operations that are running a statement, by the number of the call. */
    private readonly running = new Map<number, Abandonment>();

    private constructor(
        private readonly cluster: ClusterState,
        private readonly declinesService: (service: string) => boolean,
        private readonly executor: OperationExecutor,
        private readonly changeLog: ChangeLog,
        private readonly clock: Clock,
        private readonly readNewerConfiguration: (after: StorePosition) => Operation<StoreChange | undefined>,
        private readonly grantTokens: (request: QuotaRequest) => QuotaGrant,
    ) {}

    /**
     * `declinesService` returns whether this VM accepts no new work of a service: it reaches too few upstreams, or it is about to exit.
     * `readNewerConfiguration` reads the configuration from the store if this VM knows that it changed after a position. `grantTokens`
     * grants tokens of the parts of tenants' limits that this VM keeps.
     */
    public static create(
        cluster: ClusterState,
        declinesService: (service: string) => boolean,
        executor: OperationExecutor,
        changeLog: ChangeLog,
        clock: Clock,
        readNewerConfiguration: (after: StorePosition) => Operation<StoreChange | undefined>,
        grantTokens: (request: QuotaRequest) => QuotaGrant,
    ): RelayRequestHandler {
        return new RelayRequestHandler(cluster, declinesService, executor, changeLog, clock, readNewerConfiguration, grantTokens);
    }

    /** Number of transactions that are open for the entry VM. */
    public get openTransactions(): number {
        return this.transactions.size;
    }

    /** Whether this VM accepts new work for the service. */
    public acceptsService(service: string): boolean {
        return this.cluster.gateways.isGateway(service) && !this.declinesService(service);
    }

    public *run(message: RunRequest): Operation<RelayResponse> {
        if (!this.acceptsService(message.operation.workClass.service)) return { kind: "declined", call: message.call };
        const req = this.createRequest(message.operation);
        this.applySession(req, message);
        return this.createOutcomeResponse(message.call, req, yield* this.track(message.call, req, this.executor.runStatement(req, message.statement)));
    }

    public *transact(message: TransactRequest): Operation<RelayResponse> {
        const held = this.transactions.get(message.transaction) ?? this.beginTransaction(message);
        // Statements of a transaction come one after another. A second one beside it would use the same connection.
        if (held === undefined || held.isBusy) return { kind: "declined", call: message.call };
        this.applySession(held.req, message);
        const isCommit = message.statement.kind === StatementKind.Commit;
        held.isBusy = true;
        const statement = isCommit ? held.transaction.commit(message.statement) : held.transaction.runStatement(message.statement);
        const outcome = yield* this.track(message.call, held.req, statement);
        held.isBusy = false;
        if (held.isRollbackPending) held.transaction.rollBack();
        else if (isCommit || outcome.error !== undefined) this.rollBack(message.transaction);
        return this.createOutcomeResponse(message.call, held.req, outcome);
    }

    /** Responds to a long poll with the changes of the store that this VM has seen. */
    public *follow(message: FollowRequest): Operation<RelayResponse> {
        const { call, era, after, waitMs } = message;
        const latest = era === undefined ? undefined : yield* this.changeLog.waitForChangesAfter({ era, revision: after }, waitMs);
        if (latest === undefined) return { kind: "declined", call };
        const changes = latest.changes.map(({ key, text, revision }) =>
            text !== undefined && text.length > RelayLimits.maxInlineTextLength ? { key, isLarge: true, revision } : { key, text, revision }
        );
        return { kind: "changes", call, changes, era, revision: latest.position.revision };
    }

    /** Responds with the configuration, of any size, if it changed after the sender's. */
    public *readConfiguration({ call, era, after }: ConfigurationRequest): Operation<RelayResponse> {
        const change = yield* this.readNewerConfiguration({ era, revision: after });
        return change === undefined ? { kind: "declined", call } : { kind: "changes", call, changes: [change], era, revision: after };
    }

    /** Drops what a call has not sent yet, because its caller has left. A call that has been answered is not affected. */
    public cancel(call: number): void {
        this.running.get(call)?.abandon();
    }

    /** Responds with the tokens that this VM grants. */
    public grant({ call, tenant, part, count }: QuotaMessage): RelayResponse {
        return { kind: "granted", call, ...this.grantTokens({ tenant, part, count }) };
    }

    /** Rolls back a transaction, after its statement if one is running. A transaction that has committed is not affected. */
    public rollBack(transaction: number): void {
        const held = this.transactions.get(transaction);
        if (held === undefined) return;
        this.transactions.delete(transaction);
        if (held.isBusy) held.isRollbackPending = true;
        else held.transaction.rollBack();
    }

    public rollBackAll(): void {
        for (const transaction of [...this.transactions.keys()]) this.rollBack(transaction);
    }

    private *track(call: number, { abandonment }: CallerRequest, operation: Operation<StatementOutcome>): Operation<StatementOutcome> {
        if (abandonment !== undefined) this.running.set(call, abandonment);
        try {
            return yield* operation;
        }
        finally {
            this.running.delete(call);
        }
    }

    private beginTransaction(message: TransactRequest): HeldTransaction | undefined {
        const { operation } = message;
        if (operation === undefined || !this.acceptsService(operation.workClass.service)) return undefined;
        const req = this.createRequest(operation);
        const held = { req, transaction: this.executor.openTransaction(req), isBusy: false, isRollbackPending: false };
        this.transactions.set(message.transaction, held);
        return held;
    }

    private createRequest(operation: RelayedOperation): CallerRequest {
        const { id, workClass, tenant, floor, waitedMs, readOnly, mayRead } = operation;
        const floors = FloorTable.create();
        if (floor !== undefined) floors.raise(workClass.service, floor);
        const receivedAt = this.clock.now() - waitedMs;
        return { id, workClass, tenant, abandonment: Abandonment.create(), session: SessionValues.create(), floors, receivedAt, readOnly, mayRead };
    }

    /** Applies the session state sent with a statement. It may change within a transaction, so every statement carries it. */
    private applySession(req: CallerRequest, message: RunRequest | TransactRequest): void {
        const { values, prepared } = message.session;
        req.session.values.clear();
        for (const [name, value] of values) req.session.values.set(name, value);
        if (prepared !== undefined) req.session.prepared.set(message.statement.name, prepared);
    }

    private createOutcomeResponse(call: number, req: CallerRequest, outcome: StatementOutcome): RelayResponse {
        return { kind: "outcome", call, outcome: { ...outcome, rows: [...outcome.rows] }, floor: req.floors.find(req.workClass.service) };
    }
}
