import { Operation } from "@vanillarouter/base/operation";
import { Task } from "@vanillarouter/base/task";
import { CallerRequest } from "../entry/callerRequest";
import { CallerSession } from "../entry/callerSession";
import { ExecutorSelector } from "../entry/executorSelector";
import { LocalExecutor } from "../entry/localExecutor";
import { SessionContext } from "../entry/sessionContext";
import { Shutdown } from "../entry/shutdown";
import { Admission } from "../model/admission";
import { CallerTransaction } from "../model/callerTransaction";
import { Freshness } from "../model/freshness";
import { OperationExecutor } from "../model/operationExecutor";
import { StatementKind } from "../model/statementKind";
import { TenantDirectory } from "../model/tenantDirectory";
import { FakeCallerChannel } from "./fakeCallerChannel";
import { TestBed } from "./testBed";

/** Sessions of a VM whose configurations, requests and admission checks a test sees. */
export class SessionTestBed {
    /** Requests that reached the executor. */
    public readonly requests: CallerRequest[] = [];
    /** Tenants that were asked for admission. */
    public readonly admitted: string[] = [];
    public rollBackCount = 0;
    /** Called for each admission check. */
    public onAdmit: () => Admission = () => ({ isAdmitted: true, retryDelayMs: 0 });
    public readonly bed = TestBed.create();
    private readonly local = LocalExecutor.create(this.bed.context, this.bed.groups);
    private readonly executor: OperationExecutor = {
        runStatement: (req, statement) => {
            this.requests.push(req);
            return this.local.runStatement(req, statement);
        },
        openTransaction: req => this.openTransaction(req),
    };
    private readonly context: SessionContext = {
        ...this.bed.context,
        cluster: this.bed.cluster,
        executors: { select: () => this.executor } as unknown as ExecutorSelector,
        shutdown: Shutdown.create(this.bed.clock),
        dropsAbandonedWork: false,
        admission: { admit: tenant => this.admit(tenant) },
    };
    private version = 0;

    private constructor() {
        this.bed.group.primaryTracker.recordPrimary("u1", 1);
    }

    public static create(): SessionTestBed {
        return new SessionTestBed();
    }

    /** Puts a configuration in force. `keys` holds the keys of each tenant; undefined if callers are not authenticated. */
    public configure(keys: Readonly<Record<string, readonly string[]>> | undefined, isPublic = false): void {
        const { workClass } = this.bed.createRequest(Freshness.Latest, false);
        const limits = { ratePerSecond: undefined, burst: undefined };
        this.bed.cluster.applyConfiguration({
            version: ++this.version,
            classes: new Map([[workClass.database, workClass]]),
            services: new Map(),
            transactionIdleMs: 0,
            tenants: keys && TenantDirectory.create(Object.entries(keys).map(([name, held]) => ({ tenant: { name, ...limits }, keys: held }))),
            publicDatabases: new Set(isPublic ? [workClass.database] : []),
        });
    }

    public logIn(key: string | undefined): FakeCallerChannel {
        const channel = FakeCallerChannel.create(key);
        Task.start(CallerSession.create(channel, this.context).run());
        return channel;
    }

    /** Sends a statement and lets `durationMs` pass. Returns the kind of the last response. */
    public send(channel: FakeCallerChannel, id: string, kind: StatementKind, durationMs = 40): string | undefined {
        const text = kind === StatementKind.Commit ? "COMMIT" : `${kind.toUpperCase()} a ${id}`;
        channel.statements.send(this.bed.createStatement(id, kind, text));
        this.pass(durationMs);
        return channel.responses.at(-1);
    }

    public pass(durationMs: number): void {
        for (let step = 0; step < durationMs; step++) this.bed.clock.advance(1);
    }

    /** Ids that the primary has committed. */
    public get committedIds(): readonly string[] {
        return this.bed.fakeGroup.find("u1").log.map(entry => entry.id);
    }

    private *admit(tenant: string): Operation<Admission> {
        this.admitted.push(tenant);
        return this.onAdmit();
    }

    private openTransaction(req: CallerRequest): CallerTransaction {
        this.requests.push(req);
        const transaction = this.local.openTransaction(req);
        const rollBack = (): void => {
            this.rollBackCount++;
            transaction.rollBack();
        };
        return { runStatement: statement => transaction.runStatement(statement), commit: statement => transaction.commit(statement), rollBack };
    }
}
