import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";
import { Operation } from "@vanillarouter/base/operation";
import { race } from "@vanillarouter/base/race";
import { sleep } from "@vanillarouter/base/sleep";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { Diagnostics } from "../diagnostics";
import { CallerChannel } from "../model/callerChannel";
import { CallerStatement } from "../model/callerStatement";
import { CallerTransaction } from "../model/callerTransaction";
import { ErrorKind } from "../model/errorKind";
import { StatementKind } from "../model/statementKind";
import { TransactionState } from "../model/transactionState";
import { WorkClass } from "../model/workClass";
import { Abandonment } from "./abandonment";
import { admitOperation } from "./admitOperation";
import { CallerIdentity } from "./callerIdentity";
import { CallerRequest } from "./callerRequest";
import { createFailedOutcome } from "./createFailedOutcome";
import { FloorTable } from "./floorTable";
import { SessionContext } from "./sessionContext";
import { SessionLog } from "./sessionLog";
import { SessionValues } from "./sessionValues";
import { StatementOutcome } from "./statementOutcome";

/** Time that a login waits for the first configuration. Callers give up on their login after two seconds. */
const configurationTimeoutMs = 1_500;
/** Time for which a session with a withdrawn key stays open, so that statements that have already arrived are answered. */
const finalReadMs = 50;
/** Statements after which an operation is complete, unless a transaction is open. */
const operationEndingKinds: ReadonlySet<StatementKind> = new Set([
    StatementKind.Read,
    StatementKind.Write,
    StatementKind.Execute,
    StatementKind.Commit,
    StatementKind.Rollback,
]);

/** Serves the connection of one caller. */
export class CallerSession {
    private transactionState = TransactionState.Idle;
    private readonly sessionValues = SessionValues.create();
    private readonly floors = FloorTable.create();
    private readonly identity: CallerIdentity;
    private readonly log: SessionLog;
    private transaction: CallerTransaction | undefined;
    /** Tenant for which the latest transaction began. */
    private transactionTenant: string | undefined;
    /** Local time in milliseconds at which the latest transaction began. */
    private transactionBegunAt = 0;
    private lastStatementEndedOperation = false;
    private readonly abandonment: Abandonment | undefined;

    private constructor(private readonly channel: CallerChannel, private readonly context: SessionContext) {
        this.identity = CallerIdentity.create(context.cluster, channel.database, channel.credential);
        channel.forgetCredential();
        this.log = SessionLog.create(channel, context);
        if (!context.dropsAbandonedWork) return;
        const abandonment = Abandonment.create();
        this.abandonment = abandonment;
        channel.onClosed(() => abandonment.abandon());
    }

    public static create(channel: CallerChannel, context: SessionContext): CallerSession {
        return new CallerSession(channel, context);
    }

    /** Runs until the caller disconnects or the VM shuts down. */
    public *run(): Operation<void> {
        if (!(yield* this.waitForConfiguration())) return this.rejectLogin(ErrorKind.Busy, Diagnostics.notConfigured);
        if (this.findClass() === undefined) return this.rejectLogin(ErrorKind.NoDatabase, Diagnostics.noSuchDatabase);
        if (!this.identity.isPermitted) {
            this.log.recordRefusedLogin();
            return this.rejectLogin(ErrorKind.NotAuthenticated, Diagnostics.keyNotAccepted);
        }
        this.channel.sendReady(TransactionState.Idle);
        try {
            for (;;) {
                const statement = yield* this.waitForStatement();
                if (!this.identity.isPermitted) return this.endWithoutKey(statement);
                if (statement === undefined || this.abandonment?.isAbandoned === true) return;
                yield* this.respondToStatement(statement, this.context.clock.now());
                if (this.isBetweenOperations && this.context.shutdown.closesSessionsBetweenOperations) return;
            }
        }
        finally {
            this.transaction?.rollBack();
            this.channel.close();
        }
    }

    /**
     * Waits for the first configuration. A VM that has just started knows no database names yet, so it must not reject a
     * login for an unknown one. Returns whether there is a configuration.
     */
    private *waitForConfiguration(): Operation<boolean> {
        const { cluster, clock } = this.context;
        if (cluster.configuration === undefined) yield* withTimeout(clock, configurationTimeoutMs, cluster.configurationChanged.wait());
        return cluster.configuration !== undefined;
    }

    private rejectLogin(error: ErrorKind, diagnostic: DiagnosticMessage): void {
        this.channel.rejectLogin(error, createFailedOutcome(error, diagnostic).text);
    }

    /** Refuses the statement, if there is one, of a caller whose key was withdrawn. The session ends afterwards. */
    private endWithoutKey(statement: CallerStatement | undefined): void {
        this.endTransaction();
        this.log.recordKeyWithdrawal(statement);
        if (statement !== undefined) this.sendOutcome(createFailedOutcome(ErrorKind.NotAuthenticated, Diagnostics.keyNotAccepted));
    }

    /** Whether the session can be closed without interrupting the caller. A caller that has just set a value or prepared a statement is about to use it. */
    private get isBetweenOperations(): boolean {
        return this.transactionState === TransactionState.Idle && this.lastStatementEndedOperation;
    }

    private findClass(): WorkClass | undefined {
        return this.context.cluster.findClass(this.channel.database);
    }

    /** Waits for a statement. Returns undefined if the session must end. */
    private *waitForStatement(): Operation<CallerStatement | undefined> {
        const events: Operation<CallerStatement | undefined>[] = [this.channel.receive()];
        if (this.isBetweenOperations) events.push(this.context.shutdown.waitForIdleClose());
        else if (this.transactionState === TransactionState.Idle) events.push(this.context.shutdown.waitForUnfinishedClose());
        else events.push(this.waitForTransactionAbort());
        events.push(this.transactionState === TransactionState.Idle ? this.waitForKeyWithdrawal() : this.rollBackOnKeyChange());
        return yield* race(events);
    }

    private *waitForKeyWithdrawal(): Operation<undefined> {
        yield* this.identity.waitForWithdrawal();
        yield* sleep(this.context.clock, finalReadMs);
        return undefined;
    }

    /** Rolls back the open transaction once its tenant no longer holds the key. The caller learns it from the response to its next statement. */
    private *rollBackOnKeyChange(): Operation<never> {
        yield* this.identity.waitForEnd(this.transactionTenant);
        this.transaction?.rollBack();
        this.transaction = undefined;
        for (;;) yield* this.context.cluster.configurationChanged.wait();
    }

    /** Whether the transaction that the caller believes to be open was rolled back, or has to be, because of its key. A key that is added again revives none. */
    private get hasLostTransaction(): boolean {
        return this.transactionState === TransactionState.Open && (this.transaction === undefined || !this.identity.mayContinue(this.transactionTenant));
    }

    /** Waits until the open transaction must be aborted: the caller left it idle for too long, or the VM's shutdown cannot wait for it. */
    private *waitForTransactionAbort(): Operation<undefined> {
        const idleMs = this.context.cluster.configuration?.transactionIdleMs;
        const events: Operation<unknown>[] = [this.context.shutdown.waitForTransactionClose(this.transactionBegunAt)];
        if (idleMs !== undefined && idleMs > 0) events.push(sleep(this.context.clock, idleMs));
        yield* race(events);
        return undefined;
    }

    private *respondToStatement(statement: CallerStatement, receivedAt: number): Operation<void> {
        this.lastStatementEndedOperation = operationEndingKinds.has(statement.kind);
        if (this.transactionState === TransactionState.Failed && statement.kind !== StatementKind.Rollback && statement.kind !== StatementKind.Commit) {
            this.sendOutcome(createFailedOutcome(ErrorKind.Malformed, Diagnostics.transactionFailed));
            return;
        }
        if (this.hasLostTransaction && statement.kind !== StatementKind.Rollback) {
            this.endTransaction();
            this.sendOutcome(createFailedOutcome(ErrorKind.Aborted, Diagnostics.transactionLost, "its tenant no longer holds the key"));
            return;
        }
        switch (statement.kind) {
            case StatementKind.SetValue:
                this.sessionValues.setValue(statement.name, statement.argument);
                return this.acknowledgeSessionChange();
            case StatementKind.Prepare:
                this.sessionValues.prepare(statement.name, { shape: statement.argument, readOnly: statement.readOnly });
                return this.acknowledgeSessionChange();
            case StatementKind.Deallocate:
                this.sessionValues.deallocate(statement.name);
                return this.acknowledgeSessionChange();
            case StatementKind.Begin:
                return yield* this.begin(statement, receivedAt);
            case StatementKind.Rollback:
                this.endTransaction();
                return this.sendEmptySuccess();
            case StatementKind.Malformed:
                return this.sendOutcome(createFailedOutcome(ErrorKind.Malformed, Diagnostics.malformedStatement));
            default:
                yield* this.runDataStatement(statement, receivedAt);
        }
    }

    private sendEmptySuccess(): void {
        this.channel.sendSuccess([], undefined, this.transactionState);
    }

    private acknowledgeSessionChange(): void {
        this.channel.recordSessionLength(this.sessionValues.length);
        this.sendEmptySuccess();
    }

    private *begin(statement: CallerStatement, receivedAt: number): Operation<void> {
        if (this.transactionState !== TransactionState.Idle) return this.sendOutcome(createFailedOutcome(ErrorKind.Malformed, Diagnostics.malformedStatement));
        const workClass = this.findClass();
        if (workClass === undefined) return this.sendOutcome(createFailedOutcome(ErrorKind.NoDatabase, Diagnostics.noSuchDatabase));
        const refusal = yield* admitOperation(this.identity, this.context.admission);
        if (refusal !== undefined) return this.sendRecorded(statement, workClass.database, receivedAt, refusal);
        const req = this.createRequest(statement, workClass, receivedAt, statement.readOnly, true);
        this.transactionTenant = req.tenant;
        this.transaction = this.context.executors.select(workClass.service).openTransaction(req);
        this.transactionState = TransactionState.Open;
        this.transactionBegunAt = receivedAt;
        this.sendEmptySuccess();
    }

    private createRequest(statement: CallerStatement, workClass: WorkClass, receivedAt: number, readOnly: boolean, mayRead: boolean): CallerRequest {
        const { tenant } = this.identity;
        const { abandonment, sessionValues, floors } = this;
        return { id: statement.id, workClass, tenant, abandonment, session: sessionValues, floors, receivedAt, readOnly, mayRead };
    }

    private *runDataStatement(statement: CallerStatement, receivedAt: number): Operation<void> {
        if (statement.kind === StatementKind.Execute && this.sessionValues.findPrepared(statement) === undefined) {
            return this.sendOutcome(createFailedOutcome(ErrorKind.NoStatement, Diagnostics.noSuchStatement));
        }
        if (this.transaction !== undefined) {
            yield* this.runInTransaction(this.transaction, statement, receivedAt);
            return;
        }
        const workClass = this.findClass();
        if (workClass === undefined) return this.sendOutcome(createFailedOutcome(ErrorKind.NoDatabase, Diagnostics.noSuchDatabase));
        if (statement.kind === StatementKind.Commit) return this.sendOutcome(createFailedOutcome(ErrorKind.Malformed, Diagnostics.malformedStatement));
        const refusal = yield* admitOperation(this.identity, this.context.admission);
        if (refusal !== undefined) return this.sendRecorded(statement, workClass.database, receivedAt, refusal);
        const readOnly = this.sessionValues.isReadOnly(statement);
        const req = this.createRequest(statement, workClass, receivedAt, readOnly, readOnly);
        const outcome = yield* this.context.executors.select(workClass.service).runStatement(req, statement);
        this.sendRecorded(statement, workClass.database, receivedAt, outcome);
    }

    private *runInTransaction(transaction: CallerTransaction, statement: CallerStatement, receivedAt: number): Operation<void> {
        const isCommit = statement.kind === StatementKind.Commit;
        const outcome = isCommit ? yield* transaction.commit(statement) : yield* transaction.runStatement(statement);
        if (isCommit || outcome.error !== undefined) this.endTransaction();
        this.sendRecorded(statement, this.channel.database, receivedAt, outcome);
    }

    private endTransaction(): void {
        this.transaction?.rollBack();
        this.transaction = undefined;
        this.transactionState = TransactionState.Idle;
    }

    private sendOutcome(outcome: StatementOutcome): void {
        if (outcome.error === undefined) this.channel.sendSuccess(outcome.rows, outcome.receipt, this.transactionState);
        else this.channel.sendError(outcome.error, outcome.text, this.transactionState);
    }

    private sendRecorded(statement: CallerStatement, workClass: string, receivedAt: number, outcome: StatementOutcome): void {
        this.log.recordOutcome(statement, workClass, receivedAt, outcome, this.abandonment?.isAbandoned === true);
        this.sendOutcome(outcome);
    }
}
